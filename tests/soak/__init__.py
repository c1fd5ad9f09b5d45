"""Soak test of the real programs with external faults."""

from __future__ import annotations
