"""Sockets, timers and process life shared by the shells of all roles."""

from __future__ import annotations
