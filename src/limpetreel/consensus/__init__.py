"""Raft consensus among the control instances."""

from __future__ import annotations
