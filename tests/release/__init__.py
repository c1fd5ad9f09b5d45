"""Tests of which release a process runs."""

from __future__ import annotations
