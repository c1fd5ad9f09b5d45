"""Tests of the files that the platform deploys from."""

from __future__ import annotations
