"""Gives free slots to waiting openings and requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams.messages import outcome
from limpetreel.streams.serving import held_request, waiting_opening

if TYPE_CHECKING:
    import msgspec

    from limpetreel.streams.serving import (
        capacity,
        flow_admission,
        flow_opener,
        request_gate,
        waiting,
        waiting_queue,
    )

    Actions = list[msgspec.Struct]


class SlotScheduler:
    """Serves the queue while slots are free, and ends waits that have expired.

    Parameters
    ----------
    queue : WaitingQueue
        What waits for a slot.
    capacity : Capacity
        Tells the expected time of a request.
    admission : FlowAdmission
        Tells whether a slot is free.
    opener : FlowOpener
        Opens and refuses flows.
    gate : RequestGate
        Forwards held requests.
    """

    def __init__(
        self,
        queue: waiting_queue.WaitingQueue,
        capacity: capacity.Capacity,
        admission: flow_admission.FlowAdmission,
        opener: flow_opener.FlowOpener,
        gate: request_gate.RequestGate,
    ) -> None:
        self._queue = queue
        self._capacity = capacity
        self._admission = admission
        self._opener = opener
        self._gate = gate

    def serve(self, now: float) -> Actions:
        """Serve what waits while slots are free."""
        actions: Actions = []
        while self._admission.has_free_slot() or self._queue.has_openings:
            item = self._queue.pop(
                now, self._capacity.response_seconds(), self._may_serve
            )
            if item is None:
                break
            if isinstance(item, waiting_opening.WaitingOpening) and item.is_late:
                self._admission.record_late_served(now)
            actions += self._serve(now, item, is_forced=False)
        return actions

    def _may_serve(self, now: float, item: waiting.Waiting, is_starved: bool) -> bool:
        if isinstance(item, waiting_opening.WaitingOpening):
            return self._admission.may_open_waiting(now, item, is_starved)
        return self._admission.has_free_slot()

    def expire(self, now: float) -> Actions:
        """Refuse openings and forward requests whose wait has expired."""
        actions: Actions = []
        expired = self._queue.take_expired(now)
        if self._admission.is_overload_lasting(now):
            expired += self._queue.take_late()
        for item in expired:
            if isinstance(item, held_request.HeldRequest):
                actions += self._serve(now, item, is_forced=True)
                continue
            assert isinstance(item, waiting_opening.WaitingOpening)
            if not self._opener.wait_late(now, item):
                self._admission.record_refusal(now)
                actions += self._opener.refuse(now, item, outcome.Outcome.BUSY)
        return actions

    def refuse_openings(self, now: float, reason: outcome.Outcome) -> Actions:
        """Refuse all waiting openings."""
        actions: Actions = []
        for item in self._queue.take_openings():
            actions += self._opener.refuse(now, item, reason)
        return actions

    def _serve(self, now: float, item: waiting.Waiting, is_forced: bool) -> Actions:
        if isinstance(item, held_request.HeldRequest):
            return self._gate.release(now, item, is_forced)
        assert isinstance(item, waiting_opening.WaitingOpening)
        return self._opener.open_waiting(now, item)
