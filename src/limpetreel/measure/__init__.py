"""Measurements on the decision cores."""

from __future__ import annotations
