"""Processor time, memory and bytes as linear functions of the size."""

from __future__ import annotations
