"""Base class of the formats of configuration documents."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.configuration import configuration


class DocumentParser(abc.ABC):
    """Reads a configuration from the document that an operator sent."""

    @abc.abstractmethod
    def parse(self, document: bytes) -> configuration.Configuration:
        """Return the configuration.

        Parameters
        ----------
        document : bytes
            The document as it was sent.

        Raises
        ------
        DocumentError
            If the document is not valid in every part.
        """
