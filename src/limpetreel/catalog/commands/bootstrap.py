"""First entry of a log."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import port_pool, result, status

if TYPE_CHECKING:
    from limpetreel.catalog import state


class Bootstrap(msgspec.Struct, frozen=True, tag="bootstrap"):
    """Sets what all control instances must agree on from the start.

    The port range is a log entry and not a setting, since instances with
    different settings would allocate different ports.

    Attributes
    ----------
    first_port, last_port : int
        Range of the ports of class addresses; both ports belong to it.
    """

    first_port: int
    last_port: int

    def apply(self, index: int, target: state.State) -> result.Result:
        """Set the range unless it is set already."""
        if target.ports is not None:
            return result.Result(
                status.Status.REFUSED, detail="the port range is already set"
            )
        if not 1 <= self.first_port <= self.last_port <= _MAX_PORT:
            return result.Result(
                status.Status.REFUSED,
                detail=f"{self.first_port} to {self.last_port} is not a port range",
            )
        target.ports = port_pool.PortPool(self.first_port, self.last_port)
        return result.Result(status.Status.APPLIED, index)


_MAX_PORT = 65535
