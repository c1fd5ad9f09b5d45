"""Routes and services that operators configure, versioned as one document."""

from __future__ import annotations
