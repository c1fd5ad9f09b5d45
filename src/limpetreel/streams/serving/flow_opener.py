"""Opens, queues or refuses the flows that entries offer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import flow_phase
from limpetreel.streams.actions import send_upstream
from limpetreel.streams.messages import outcome
from limpetreel.streams.serving import waiting_opening

if TYPE_CHECKING:
    from collections.abc import Iterable

    import msgspec

    from limpetreel.streams import flow_set, owned_flow
    from limpetreel.streams.messages import offer
    from limpetreel.streams.serving import (
        flow_admission,
        start_rate,
        verdict_writer,
        waiting_queue,
    )

    Actions = list[msgspec.Struct]
    Address = tuple[str, int]


class FlowOpener:
    """Handles offers of new flows.

    Parameters
    ----------
    flows : FlowSet
        Flows of the upstream.
    queue : WaitingQueue
        What waits for a slot.
    starts : StartRate
        New flows of the last second.
    admission : FlowAdmission
        Decides about new flows.
    verdicts : VerdictWriter
        Writes the answers.
    """

    def __init__(
        self,
        flows: flow_set.FlowSet,
        queue: waiting_queue.WaitingQueue,
        starts: start_rate.StartRate,
        admission: flow_admission.FlowAdmission,
        verdicts: verdict_writer.VerdictWriter,
    ) -> None:
        self._flows = flows
        self._queue = queue
        self._starts = starts
        self._admission = admission
        self._verdicts = verdicts

    def handle(
        self,
        now: float,
        source: Address,
        message: offer.Offer,
        key: bytes,
        is_accepting: bool,
    ) -> Actions:
        """Decide about an offer.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        source : tuple of (str, int)
            Address of the entry.
        message : Offer
            The offer.
        key : bytes
            Key of the flow.
        is_accepting : bool
            Whether the upstream and its zone accept new flows.
        """
        flow = self._flows.get(key)
        if flow is not None and not flow.is_closed:
            return self._repeat(now, source, message, flow)
        result = outcome.Outcome.QUEUED
        waiting = self._queue.get_opening(key)
        if waiting is not None:
            # Another entry may have got a copy of the opening packet.
            waiting.offers[source] = message.offer_id
        else:
            refusal = self._admission.refusal(
                now, key, message.version, is_accepting, message.may_wait
            )
            if refusal is None:
                self._queue.record_served(now, key, is_opening=True)
                return self._open(now, source, message.offer_id, key, message.packet)
            result = refusal
            if refusal is outcome.Outcome.BUSY and message.may_wait:
                result = self._wait(now, source, message, key)
        return [self._verdicts.write(now, source, message.offer_id, key, result)]

    def open_waiting(
        self, now: float, waiting: waiting_opening.WaitingOpening
    ) -> Actions:
        """Open a flow that has been taken out of the queue."""
        *earlier, (entry, offer_id) = waiting.offers.items()
        actions = self._open(now, entry, offer_id, waiting.key, waiting.packet)
        return actions + self._write_all(
            now, waiting.key, earlier, outcome.Outcome.ACCEPTED
        )

    def refuse(
        self,
        now: float,
        waiting: waiting_opening.WaitingOpening,
        reason: outcome.Outcome,
    ) -> Actions:
        """Return the refusals of a flow that has been taken out of the queue."""
        return self._write_all(now, waiting.key, waiting.offers.items(), reason)

    def answer(
        self, now: float, flow: owned_flow.OwnedFlow, result: outcome.Outcome
    ) -> msgspec.Struct:
        """Return the answer to the latest offer of a flow."""
        return self._verdicts.write(now, flow.entry, flow.offer_id, flow.key, result)

    def _repeat(
        self,
        now: float,
        source: Address,
        message: offer.Offer,
        flow: owned_flow.OwnedFlow,
    ) -> Actions:
        """Forward a repeated opening packet; the answer to it may have been lost."""
        if flow.phase is flow_phase.FlowPhase.OFFERED:
            flow.entry, flow.offer_id = source, message.offer_id
        accepted = self._verdicts.write(
            now, source, message.offer_id, flow.key, outcome.Outcome.ACCEPTED
        )
        if flow.is_confirmed:
            return [accepted]
        return [send_upstream.SendUpstream(message.packet), accepted]

    def _write_all(
        self,
        now: float,
        key: bytes,
        offers: Iterable[tuple[Address, int]],
        result: outcome.Outcome,
    ) -> Actions:
        return [
            self._verdicts.write(now, entry, offer_id, key, result)
            for entry, offer_id in offers
        ]

    def _open(
        self, now: float, source: Address, offer_id: int, key: bytes, packet: bytes
    ) -> Actions:
        # A closed flow of the same address may still be there for its last packets.
        self._flows.remove(key)
        flow = self._flows.add(key, now, flow_phase.FlowPhase.OFFERED)
        flow.entry, flow.offer_id = source, offer_id
        self._starts.record(now)
        return [send_upstream.SendUpstream(packet)]

    def _wait(
        self, now: float, source: Address, message: offer.Offer, key: bytes
    ) -> outcome.Outcome:
        """Queue a flow if it can be answered in time, or at all in a peak."""
        matched_route = self._admission.find_route(key)
        if matched_route is None:
            return outcome.Outcome.BUSY
        self._queue.record_demand(now, key, matched_route)
        limit = self._admission.max_wait_seconds(matched_route)
        waiting = waiting_opening.WaitingOpening(
            key,
            matched_route,
            now,
            now + limit,
            message.offer_id,
            source,
            message.packet,
        )
        if self._admission.can_wait(now, matched_route, key):
            self._queue.put_opening(waiting, self._flows.count_occupying(key[:4]))
        elif not self.wait_late(now, waiting):
            self._admission.record_refusal(now)
            return outcome.Outcome.BUSY
        return outcome.Outcome.QUEUED

    def wait_late(self, now: float, waiting: waiting_opening.WaitingOpening) -> bool:
        """Queue a flow behind those that can be answered in time, if it helps."""
        if waiting.is_late or not self._admission.can_wait_late(now, waiting):
            return False
        waiting.expires_at = self._admission.late_expires_at(waiting)
        self._queue.put_late(waiting)
        return True
