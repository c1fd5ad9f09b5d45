"""Owner's side of the claim protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.flows import send
from limpetreel.messages import claim_request
from limpetreel.requests import claim_ended, lifetime

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.messages import claim_ack
    from limpetreel.requests import request_key

    Peer = tuple[int, int]

REPEAT_AFTER = (0.020, 0.040, 0.080)
"""Seconds after the first request at which unanswered requests are repeated."""
LIMIT_SECONDS = 0.200
NO_DEPUTY = 0


class ClaimCore:
    """Claims that this agent has asked for.

    Parameters
    ----------
    class_id : int
        Class of the agent.
    peers_of : callable
        Returns the holder and the deputy of a bucket as far as they are known,
        as (node id, incarnation).
    """

    def __init__(
        self, class_id: int, peers_of: Callable[[int], tuple[Peer, ...]]
    ) -> None:
        self._class_id = class_id
        self._peers_of = peers_of
        self._next_id = 0
        self._open: dict[int, _Pending] = {}

    def start(
        self,
        now: float,
        key: request_key.RequestKey,
        held_ms: int,
        has_lease: bool,
    ) -> list[send.Send]:
        """Ask holder and deputy for the right to run a request.

        Parameters
        ----------
        now : float
            Time in seconds.
        key : RequestKey
            The request.
        held_ms : int
            How long this agent has owned the flow, from `FlowRouter.held_ms`.
        has_lease : bool
            True if this agent holds its own lease from control. A grant by a holder
            that was replaced would not show that nobody else runs the request.
        """
        self._next_id += 1
        request = claim_request.ClaimRequest(
            self._class_id, key.flow.bucket(), self._next_id, key, held_ms
        )
        pending = _Pending(now, request, has_lease)
        self._open[self._next_id] = pending
        return self._send_missing(pending)

    def acknowledge(
        self, now: float, sender: Peer, ack: claim_ack.ClaimAck
    ) -> list[send.Send | claim_ended.ClaimEnded]:
        """Take an acknowledgement; late ones have no effect."""
        pending = self._open.get(ack.claim_id)
        if pending is None or now >= pending.start + LIMIT_SECONDS:
            return []
        if not ack.granted:
            del self._open[ack.claim_id]
            return [
                claim_ended.ClaimEnded(
                    pending.request.key,
                    ack.claim_id,
                    granted=False,
                    timed_out=False,
                    outcome=ack.outcome,
                    answer=ack.answer,
                )
            ]
        pending.acks.setdefault(ack.epoch, {})[sender] = ack
        if self._is_granted(pending, ack.epoch):
            del self._open[ack.claim_id]
            return [
                claim_ended.ClaimEnded(
                    pending.request.key, ack.claim_id, granted=True, timed_out=False
                )
            ]
        deputy = (ack.deputy, ack.deputy_incarnation)
        if ack.is_holder and deputy not in pending.asked:
            pending.asked.add(deputy)
            return [send.Send(*deputy, pending.request)]
        return []

    def tick(self, now: float) -> list[send.Send | claim_ended.ClaimEnded]:
        """Repeat requests that are due and end those that took too long."""
        actions: list[send.Send | claim_ended.ClaimEnded] = []
        for claim_id, pending in list(self._open.items()):
            if now >= pending.start + LIMIT_SECONDS:
                del self._open[claim_id]
                actions.append(
                    claim_ended.ClaimEnded(
                        pending.request.key,
                        claim_id,
                        granted=False,
                        timed_out=True,
                        is_sole=pending.is_sole(),
                    )
                )
            elif pending.is_due(now):
                actions.extend(self._send_missing(pending))
        return actions

    def _is_granted(self, pending: _Pending, epoch: int) -> bool:
        """Return whether holder and deputy of one epoch have acknowledged.

        Acknowledgements of different epochs never count together: the holder of
        one may have been fenced before the deputy of the other recorded the claim.
        """
        acks = pending.acks[epoch]
        holder = next((a for a in acks.values() if a.is_holder), None)
        if holder is None:
            return False
        if holder.deputy == NO_DEPUTY:
            return True
        deputy = acks.get((holder.deputy, holder.deputy_incarnation))
        return deputy is not None and not deputy.is_holder

    def _send_missing(self, pending: _Pending) -> list[send.Send]:
        peers = dict.fromkeys(self._peers_of(pending.request.bucket))
        peers.update(dict.fromkeys(sorted(pending.asked)))
        pending.asked.update(peers)
        return [send.Send(*peer, pending.request) for peer in peers]


class _Pending:
    """One open claim."""

    __slots__ = ("acks", "asked", "has_lease", "repeats", "request", "start")

    def __init__(
        self, start: float, request: claim_request.ClaimRequest, has_lease: bool
    ) -> None:
        self.start = start
        self.request = request
        self.has_lease = has_lease
        self.repeats = 0
        self.asked: set[Peer] = set()
        self.acks: dict[int, dict[Peer, claim_ack.ClaimAck]] = {}

    def is_sole(self) -> bool:
        """Return whether no earlier owner can have run the request.

        Either the holder found no earlier claim, or this agent has owned the flow
        for longer than any copy of the request lives. Both count only if this
        agent held a lease, as otherwise its bucket may have been taken over.
        """
        if not self.has_lease:
            return False
        if self.request.held_ms >= lifetime.EXCHANGE_SECONDS * 1000:
            return True
        return any(a.is_holder for acks in self.acks.values() for a in acks.values())

    def is_due(self, now: float) -> bool:
        """Return whether a repetition is due, and count it."""
        if self.repeats == len(REPEAT_AFTER):
            return False
        if now < self.start + REPEAT_AFTER[self.repeats]:
            return False
        self.repeats += 1
        return True
