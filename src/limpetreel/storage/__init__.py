"""Durable files of a control instance."""

from __future__ import annotations
