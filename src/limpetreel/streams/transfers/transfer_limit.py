"""Limit on the large requests that pass through the link of an entry at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.transfers import waiting_opening

if TYPE_CHECKING:
    from limpetreel.streams import segment

FULL_PACKET_BYTES = 1200
"""Most data in one packet; a request goes on after a packet with as much."""
WINDOW_BYTES = 2 * 16 * 1260
"""Bytes on the link for what one caller sends before it awaits an acknowledgement; each
packet arrives and is forwarded on the same link."""
MAX_QUEUE_SECONDS = 0.1
"""Longest queue on the link that full windows may cause. Callers retransmit after
0.2 s, and with a longer queue their copies fill the link in place of new data."""
ACTIVE_SECONDS = 0.25
"""Time after the last packet of a transfer, or after its opening, for which it counts
as active; somewhat longer than a caller waits before its first retransmission."""
ENDED_SECONDS = 2.0
"""Time after the end of a transfer in which full packets of its flow count as copies;
the interval of retransmission grows up to 1.6 s."""
INITIAL_TRANSFER_SECONDS = 0.2
"""Assumed duration of a transfer until the first one has ended."""
WEIGHT = 0.1
"""Weight of a new sample in the moving average of durations."""
SWEEP_SECONDS = 1.0
"""Interval at which transfers without packets are forgotten on a link with room."""
MAX_WAIT_SECONDS = 1.0
"""Longest wait of an opening. Callers end an attempt 1.4 s after its first packet; the
difference is for the handshake."""


class TransferLimit:
    """Holds openings of large requests back while the link carries enough others.

    Parameters
    ----------
    bytes_per_second : float
        Bandwidth of the link.
    """

    def __init__(self, bytes_per_second: float) -> None:
        windows = bytes_per_second * MAX_QUEUE_SECONDS / WINDOW_BYTES
        self.limit = max(1, int(windows))
        self._swept_at = 0.0
        self._mean_seconds = INITIAL_TRANSFER_SECONDS
        self._active_until: dict[bytes, float] = {}
        self._began_at: dict[bytes, float] = {}
        self._ended_at: dict[bytes, float] = {}
        self._waiting: dict[bytes, waiting_opening.WaitingOpening] = {}

    def __len__(self) -> int:
        """Return the number of openings that wait."""
        return len(self._waiting)

    def __contains__(self, flow: bytes) -> bool:
        """Return whether the opening of a flow waits."""
        return flow in self._waiting

    @property
    def active(self) -> int:
        """Return the number of transfers that are counted as active."""
        return len(self._active_until)

    def try_start(self, now: float, flow: bytes) -> bool:
        """Count a transfer as active if the link has room for it and none waits."""
        if self._waiting or not self._has_room(now):
            return False
        self._start(now, flow)
        return True

    def can_wait(self, answer_seconds: float) -> bool:
        """Return whether an opening that waits would still be answered in time."""
        turns = (len(self._waiting) + 1) / self.limit
        expected = turns * self._mean_seconds
        return expected <= self._max_wait_seconds(answer_seconds)

    def wait(self, now: float, packet: segment.Segment, answer_seconds: float) -> None:
        """Let an opening wait for room.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        packet : Segment
            The opening packet.
        answer_seconds : float
            Latency target of the route.
        """
        expires_at = now + self._max_wait_seconds(answer_seconds)
        self._waiting[packet.flow] = waiting_opening.WaitingOpening(
            now, expires_at, packet
        )

    def record_data(self, now: float, flow: bytes, size: int) -> bool:
        """Record a packet with data of a caller; return whether it ends a transfer.

        A full packet shows a transfer, also of a flow that was opened through another
        entry; a packet that is not full ends it.
        """
        if size >= FULL_PACKET_BYTES:
            if now - self._swept_at >= SWEEP_SECONDS:
                self.sweep(now)
            if now - self._ended_at.get(flow, float("-inf")) > ENDED_SECONDS:
                self._active_until[flow] = now + ACTIVE_SECONDS
                self._began_at.setdefault(flow, now)
            return False
        if flow not in self._active_until:
            return False
        began_at = self._began_at.get(flow)
        if began_at is not None:
            # A request of one packet says nothing about the time of a large one.
            self._mean_seconds += WEIGHT * (now - began_at - self._mean_seconds)
        self._forget_ended(now)
        self._ended_at[flow] = now
        self.end(flow)
        return True

    def end(self, flow: bytes) -> None:
        """Stop counting a transfer, for example since its flow was refused."""
        self._active_until.pop(flow, None)
        self._began_at.pop(flow, None)

    def take_startable(self, now: float) -> list[waiting_opening.WaitingOpening]:
        """Start the openings for which there is room, in the order of their arrival."""
        started = []
        while self._waiting and self._has_room(now):
            flow = next(iter(self._waiting))
            started.append(self._waiting.pop(flow))
            self._start(now, flow)
        return started

    def take_expired(self, now: float) -> list[waiting_opening.WaitingOpening]:
        """Remove and return the openings that have waited too long."""
        expired = [w for w in self._waiting.values() if w.expires_at <= now]
        for waiting in expired:
            del self._waiting[waiting.segment.flow]
        return expired

    def sweep(self, now: float) -> None:
        """Stop counting transfers without packets."""
        self._swept_at = now
        for flow in [k for k, until in self._active_until.items() if until <= now]:
            self.end(flow)

    def _forget_ended(self, now: float) -> None:
        while self._ended_at:
            flow, at = next(iter(self._ended_at.items()))
            if now - at <= ENDED_SECONDS:
                return
            del self._ended_at[flow]

    def _start(self, now: float, flow: bytes) -> None:
        self._active_until[flow] = now + ACTIVE_SECONDS

    def _has_room(self, now: float) -> bool:
        if len(self._active_until) >= self.limit:
            self.sweep(now)
        return len(self._active_until) < self.limit

    def _max_wait_seconds(self, answer_seconds: float) -> float:
        """Return how long an opening may wait and still be answered in time."""
        spare = answer_seconds - 2 * self._mean_seconds
        return min(MAX_WAIT_SECONDS, max(0.0, spare))
