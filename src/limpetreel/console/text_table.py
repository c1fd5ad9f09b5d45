"""Plain-text tables for terminals."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence


def render(titles: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with aligned columns; numbers are right-aligned.

    Parameters
    ----------
    titles : sequence of str
        Titles of the columns.
    rows : sequence of sequence
        Cells.
    """
    cells = [[_text(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(titles, *cells, strict=True)]
    right = [bool(rows) and _is_number(cell) for cell in (rows[0] if rows else titles)]
    lines = [_line(row, widths, right) for row in (titles, *cells)]
    return "\n".join(lines)


def _line(row: Sequence[str], widths: Sequence[int], right: Sequence[bool]) -> str:
    parts = [
        cell.rjust(width) if is_right else cell.ljust(width)
        for cell, width, is_right in zip(row, widths, right, strict=True)
    ]
    return "  ".join(parts).rstrip()


def _is_number(cell: Any) -> bool:
    return isinstance(cell, int | float) and not isinstance(cell, bool)


def _text(cell: Any) -> str:
    if isinstance(cell, list | tuple):
        return ",".join(map(str, cell)) or "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell) if cell != "" else "-"
