"""Answers of an agent to offers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.streams import owned_flow
from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import outcome, stream_codec, verdict

if TYPE_CHECKING:
    from limpetreel.streams import flow_set
    from limpetreel.streams.serving import (
        capacity,
        flow_admission,
        flow_lengths,
        slot_occupancy,
        waiting_queue,
    )

    Address = tuple[str, int]


class VerdictWriter:
    """Writes verdicts that carry the load of the upstream.

    Parameters
    ----------
    flows : FlowSet
        Flows of the upstream.
    queue : WaitingQueue
        What waits for a slot.
    capacity : Capacity
        Estimate of the concurrent flows that the upstream can serve.
    admission : FlowAdmission
        Tells the expected wait.
    slots : SlotOccupancy
        Tells the utilisation of the upstream.
    lengths : FlowLengths
        Tells which routes have long flows.
    """

    def __init__(
        self,
        flows: flow_set.FlowSet,
        queue: waiting_queue.WaitingQueue,
        capacity: capacity.Capacity,
        admission: flow_admission.FlowAdmission,
        slots: slot_occupancy.SlotOccupancy,
        lengths: flow_lengths.FlowLengths,
    ) -> None:
        self._flows = flows
        self._queue = queue
        self._capacity = capacity
        self._admission = admission
        self._slots = slots
        self._lengths = lengths
        self.outcomes: dict[str, int] = {}

    def write(
        self,
        now: float,
        target: Address,
        offer_id: int,
        flow: bytes,
        result: outcome.Outcome,
    ) -> send_node.SendNode:
        """Return the answer to an offer.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        target : tuple of (str, int)
            Address of the entry that sent the offer.
        offer_id : int
            Identifier of the offer.
        flow : bytes
            Key of the flow.
        result : Outcome
            Decision about the flow.
        """
        self.outcomes[result.name] = self.outcomes.get(result.name, 0) + 1
        limit = self._capacity.limit()
        occupied = self._flows.occupied + len(self._queue)
        wait = self._admission.wait_seconds(0) if occupied >= limit else 0.0
        message = verdict.Verdict(
            offer_id,
            result,
            int(wait * 1000),
            int(self._capacity.service_seconds * 1000),
            100 * occupied // limit,
            self._flows.open_flows,
            self._slots.utilisation(now),
            self._lengths.is_long(flow[owned_flow.ROUTE_BYTES]),
        )
        return send_node.SendNode(target, stream_codec.encode(message))
