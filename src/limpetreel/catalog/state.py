"""Replicated state that commands change."""

from __future__ import annotations

from limpetreel.catalog import port_pool, table


class State:
    """Table, class numbers and ports.

    Attributes
    ----------
    table : Table
        The records.
    next_class_id : int
        Number of the next class.
    ports : PortPool or None
        Ports of class addresses; None before the bootstrap entry.
    """

    def __init__(self) -> None:
        self.table = table.Table()
        self.next_class_id = 1
        self.ports: port_pool.PortPool | None = None
