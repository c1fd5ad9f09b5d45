"""Base types that every decision core shares."""

from __future__ import annotations
