"""Progress line on a terminal."""

from __future__ import annotations

from typing import TextIO


class Progress:
    """Progress line that is overwritten in place, shown only on a terminal.

    Parameters
    ----------
    stream : TextIO
        Output stream, normally standard error.
    """

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self._is_terminal = stream.isatty()
        self._width = 0

    def show(self, text: str) -> None:
        """Replace the line."""
        if not self._is_terminal:
            return
        self._stream.write("\r" + text.ljust(self._width))
        self._stream.flush()
        self._width = len(text)

    def clear(self) -> None:
        """Remove the line."""
        if self._is_terminal and self._width:
            self._stream.write("\r" + " " * self._width + "\r")
            self._stream.flush()
            self._width = 0
