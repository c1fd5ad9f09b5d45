"""Sockets, clocks and process control shared by the shells of all roles."""

from __future__ import annotations
