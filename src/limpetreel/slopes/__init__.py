"""Measured slopes of processor time, memory and bytes against size."""

from __future__ import annotations
