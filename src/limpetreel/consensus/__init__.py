"""Replicated log of the control instances."""

from __future__ import annotations
