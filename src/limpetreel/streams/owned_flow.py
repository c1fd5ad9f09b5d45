"""Flow at the agent that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase

if TYPE_CHECKING:
    from limpetreel.streams.serving import packet_gaps


ROUTE_BYTES = slice(6, 12)
"""Part of a key that names the service address; see `stream_key`."""
_SEQUENCE_MASK = 0xFFFFFFFF
_HALF_RANGE = 0x80000000


class OwnedFlow:
    """State of one flow.

    Its attribute `is_established` tells whether the upstream has sent a packet after
    the handshake, which shows that it took the caller's last packet of it.

    Of the latest request, `request_at` and `data_at` are the times of its first and
    last data, `gaps` are its missing packets and `has_last_packet` tells whether the
    packet that ends it has come. `forced_priority` is the priority of a request whose
    wait for a slot expired.

    Parameters
    ----------
    key : bytes
        Identifies the flow, see `stream_key`.
    now : float
        Time of the opening packet.
    phase : FlowPhase
        Initial phase.
    """

    __slots__ = (
        "caller_ack",
        "caller_end",
        "data_at",
        "entry",
        "first_sequence",
        "forced_priority",
        "gaps",
        "has_caller_fin",
        "has_last_packet",
        "has_upstream_fin",
        "is_confirmed",
        "is_established",
        "key",
        "last_at",
        "last_packet",
        "offer_id",
        "phase",
        "phase_at",
        "request_at",
        "requests",
        "upstream_end",
    )

    def __init__(self, key: bytes, now: float, phase: flow_phase.FlowPhase) -> None:
        self.key = key
        self.phase = phase
        self.phase_at = now
        self.last_at = now
        # Last packet of the caller that was sent to the upstream.
        self.last_packet: bytes | None = None
        self.offer_id = 0
        self.entry = ("", 0)
        self.first_sequence: int | None = None
        self.upstream_end: int | None = None
        self.caller_end: int | None = None
        self.caller_ack: int | None = None
        self.requests = 0
        self.request_at = now
        self.data_at = now
        self.gaps: packet_gaps.PacketGaps | None = None
        self.has_last_packet = False
        self.forced_priority: int | None = None
        self.is_confirmed = False
        self.is_established = False
        self.has_caller_fin = False
        self.has_upstream_fin = False

    @property
    def has_open_request(self) -> bool:
        """Return whether neither end has closed the flow before a response has come."""
        is_closing = self.has_caller_fin or self.has_upstream_fin
        return self.phase in flow_phase.REQUEST_PHASES and not is_closing

    def record_sent(self, sequence: int, size: int) -> None:
        """Record data that the upstream has sent."""
        end = (sequence + size) & _SEQUENCE_MASK
        previous = self.upstream_end
        if previous is None or self._is_after(end, previous):
            self.upstream_end = end

    @property
    def reset_ack(self) -> int | None:
        """Return a number near what the caller acknowledged last, None if unknown.

        A flow that is older than this process is known from its upstream's packets.
        """
        return self.upstream_end if self.caller_ack is None else self.caller_ack

    def has_sent(self, ack: int) -> bool:
        """Return whether the upstream has sent what the caller acknowledges.

        The handshake and the end of the flow each take one number without data.
        """
        if self.first_sequence is None or self.upstream_end is None:
            return True
        return self._offset(ack) <= self._offset(self.upstream_end) + 2

    def _is_after(self, end: int, previous: int) -> bool:
        if self.first_sequence is not None:
            return self._offset(end) > self._offset(previous)
        return 0 < (end - previous) & _SEQUENCE_MASK < _HALF_RANGE

    def _offset(self, number: int) -> int:
        assert self.first_sequence is not None
        return (number - self.first_sequence) & _SEQUENCE_MASK

    @property
    def route_address(self) -> bytes:
        """Return the address that the flow was opened to."""
        return self.key[ROUTE_BYTES]

    @property
    def is_closed(self) -> bool:
        """Return whether both ends have closed the flow."""
        return self.has_caller_fin and self.has_upstream_fin
