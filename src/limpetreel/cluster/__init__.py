"""Control instances that replicate the configuration and track upstreams."""

from __future__ import annotations
