"""Event: the table has changed."""

from __future__ import annotations

import msgspec

from limpetreel.flows import class_view


class TableChanged(msgspec.Struct, frozen=True, tag="table_changed"):
    """The agent has received a new table.

    Attributes
    ----------
    view : class_view.ClassView
        The class in that table.
    """

    view: class_view.ClassView
