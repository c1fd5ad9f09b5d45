"""Claim protocol at the owner of a flow."""

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

RETRY_AT_SECONDS = (0.020, 0.040, 0.080)
"""Seconds after the first request at which unanswered requests are retried."""
CLAIM_TIMEOUT_SECONDS = 0.200
NO_BACKUP = 0


class ClaimCore:
    """Requests claims from the holder and the backup of a bucket.

    Parameters
    ----------
    class_id : int
        Class of the agent.
    peers_of : callable
        Returns holder and backup of a bucket, as far as they are known, as
        (node id, incarnation).
    """

    def __init__(
        self, class_id: int, peers_of: Callable[[int], tuple[Peer, ...]]
    ) -> None:
        self._class_id = class_id
        self._peers_of = peers_of
        self._last_id = 0
        self._pending_by_id: dict[int, _Pending] = {}

    def start(
        self,
        now: float,
        key: request_key.RequestKey,
        held_ms: int,
        has_lease: bool,
    ) -> list[send.Send]:
        """Request a claim from holder and backup.

        Parameters
        ----------
        now : float
            Time in seconds.
        key : RequestKey
            The request.
        held_ms : int
            How long this agent has owned the flow, from `FlowRouter.held_ms`.
        has_lease : bool
            True if this agent has its own lease from control. Without one, the
            grant may come from a holder that was replaced, and does not exclude
            that another agent runs the request.
        """
        self._last_id += 1
        request = claim_request.ClaimRequest(
            self._class_id, key.flow.bucket(), self._last_id, key, held_ms
        )
        pending = _Pending(now, request, has_lease)
        self._pending_by_id[self._last_id] = pending
        return self._send_requests(pending)

    def acknowledge(
        self, now: float, sender: Peer, ack: claim_ack.ClaimAck
    ) -> list[send.Send | claim_ended.ClaimEnded]:
        """Process an acknowledgement; late ones are ignored."""
        pending = self._pending_by_id.get(ack.claim_id)
        if pending is None or now >= pending.start + CLAIM_TIMEOUT_SECONDS:
            return []
        if not ack.granted:
            del self._pending_by_id[ack.claim_id]
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
            del self._pending_by_id[ack.claim_id]
            return [
                claim_ended.ClaimEnded(
                    pending.request.key, ack.claim_id, granted=True, timed_out=False
                )
            ]
        backup = (ack.backup, ack.backup_incarnation)
        if ack.is_holder and backup not in pending.requested:
            pending.requested.add(backup)
            return [send.Send(*backup, pending.request)]
        return []

    def tick(self, now: float) -> list[send.Send | claim_ended.ClaimEnded]:
        """Retry requests that are due and end those that have timed out."""
        actions: list[send.Send | claim_ended.ClaimEnded] = []
        for claim_id, pending in list(self._pending_by_id.items()):
            if now >= pending.start + CLAIM_TIMEOUT_SECONDS:
                del self._pending_by_id[claim_id]
                actions.append(
                    claim_ended.ClaimEnded(
                        pending.request.key,
                        claim_id,
                        granted=False,
                        timed_out=True,
                        is_sole=pending.is_sole(),
                    )
                )
            elif pending.take_due_retry(now):
                actions.extend(self._send_requests(pending))
        return actions

    def _is_granted(self, pending: _Pending, epoch: int) -> bool:
        """Return whether holder and backup of one epoch have acknowledged.

        Acknowledgements of different epochs are not combined: the holder of one
        epoch may have been fenced before the backup of the other recorded the claim.
        """
        acks = pending.acks[epoch]
        holder = next((a for a in acks.values() if a.is_holder), None)
        if holder is None:
            return False
        if holder.backup == NO_BACKUP:
            return True
        backup = acks.get((holder.backup, holder.backup_incarnation))
        return backup is not None and not backup.is_holder

    def _send_requests(self, pending: _Pending) -> list[send.Send]:
        peers = dict.fromkeys(self._peers_of(pending.request.bucket))
        peers.update(dict.fromkeys(sorted(pending.requested)))
        pending.requested.update(peers)
        return [send.Send(*peer, pending.request) for peer in peers]


class _Pending:
    """Claim that has not been granted or refused yet."""

    __slots__ = ("acks", "has_lease", "request", "requested", "retries", "start")

    def __init__(
        self, start: float, request: claim_request.ClaimRequest, has_lease: bool
    ) -> None:
        self.start = start
        self.request = request
        self.has_lease = has_lease
        self.retries = 0
        self.requested: set[Peer] = set()
        self.acks: dict[int, dict[Peer, claim_ack.ClaimAck]] = {}

    def is_sole(self) -> bool:
        """Return whether no earlier owner can have run the request.

        Either the holder found no earlier claim, or this agent has owned the flow
        for longer than a copy of the request can be in transit. Both require that
        this agent held a lease; without one its bucket may have been taken over.
        """
        if not self.has_lease:
            return False
        if self.request.held_ms >= lifetime.EXCHANGE_SECONDS * 1000:
            return True
        return any(a.is_holder for acks in self.acks.values() for a in acks.values())

    def take_due_retry(self, now: float) -> bool:
        """Return whether a retry is due, and count it."""
        if self.retries == len(RETRY_AT_SECONDS):
            return False
        if now < self.start + RETRY_AT_SECONDS[self.retries]:
            return False
        self.retries += 1
        return True
