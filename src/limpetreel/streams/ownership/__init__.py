"""Which agent owns an open flow: what agents know, and how entries find it."""

from __future__ import annotations
