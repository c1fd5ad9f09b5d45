"""Functions on the members of the group."""

from __future__ import annotations

import msgspec

from limpetreel.consensus import member

Members = tuple[member.Member, ...]

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Members] = msgspec.msgpack.Decoder(Members)


def encode(members: Members) -> bytes:
    """Return the data of a log entry that sets the members."""
    return _ENCODER.encode(members)


def decode(data: bytes) -> Members:
    """Return the members that a log entry sets."""
    return _DECODER.decode(data)


def voters(members: Members) -> list[str]:
    """Return the identities of the voting members."""
    return [m.identity for m in members if m.voting]


def quorum_size(members: Members) -> int:
    """Return the number of voters in a majority."""
    return len(voters(members)) // 2 + 1


def has_quorum(members: Members, identities: set[str]) -> bool:
    """Return whether the identities include a majority of the voters."""
    matching = identities & set(voters(members))
    return len(matching) >= quorum_size(members)


def quorum_value(members: Members, values: dict[str, int]) -> int:
    """Return the highest value that a majority of the voters has reached."""
    reached = sorted((values.get(v, 0) for v in voters(members)), reverse=True)
    return reached[quorum_size(members) - 1] if reached else 0


def find(members: Members, identity: str) -> member.Member | None:
    """Return the member with the identity, None if there is none."""
    return next((m for m in members if m.identity == identity), None)


def removed(members: Members, identity: str) -> Members:
    """Return the members without the one with the identity."""
    return tuple(m for m in members if m.identity != identity)


def corrected(members: Members, identity: str, is_durable: bool) -> Members:
    """Return the members with another durability of the one with the identity."""
    return tuple(
        msgspec.structs.replace(m, is_durable=is_durable)
        if m.identity == identity
        else m
        for m in members
    )


def promoted(members: Members, identity: str) -> Members:
    """Return the members with the one with the identity made voting."""
    return tuple(
        msgspec.structs.replace(m, voting=True) if m.identity == identity else m
        for m in members
    )
