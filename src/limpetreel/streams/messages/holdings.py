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
    """

    owned: tuple[bytes, ...] = ()
    missing: tuple[bytes, ...] = ()
    unsure: tuple[bytes, ...] = ()
