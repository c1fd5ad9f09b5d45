"""Soak of the real programs with faults from outside."""

from __future__ import annotations
