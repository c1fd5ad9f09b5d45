"""Commands of the command line, one class a file."""

from __future__ import annotations
