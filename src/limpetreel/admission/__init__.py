"""Admission of work to one upstream."""

from __future__ import annotations
