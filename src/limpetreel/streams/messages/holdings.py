"""Answer of an agent about flows that an entry searches for."""

from __future__ import annotations

import msgspec


class Holdings(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Sent by an agent for each `Search`, and once an upstream has shown more.

    Attributes
    ----------
    owned : tuple of bytes
        Keys of the flows that the upstream holds.
    missing : tuple of bytes
        Keys of the flows that the upstream does not hold.
    unsure : tuple of bytes
        Keys of flows that the upstream may hold, since it started before the agent;
        the agent asks it when it gets a `Probe`.
    number : int
        Number of the `Search`; 0 from an older agent, or if the upstream has shown it.
    tried : tuple of bytes
        Keys of flows of which the agent has lately sent a packet to the upstream, to
        learn whether it holds them.
    pending : tuple of bytes
        Those of them that the upstream may yet return.
    is_rest_missing : bool
        Whether the upstream does not hold the flows of the `Search` with this number
        that the answer does not name. Such flows are not repeated in `missing`.
    """

    owned: tuple[bytes, ...] = ()
    missing: tuple[bytes, ...] = ()
    unsure: tuple[bytes, ...] = ()
    number: int = 0
    tried: tuple[bytes, ...] = ()
    pending: tuple[bytes, ...] = ()
    is_rest_missing: bool = False
