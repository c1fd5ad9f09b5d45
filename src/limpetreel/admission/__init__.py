"""Admission control for the requests sent to one upstream."""

from __future__ import annotations
