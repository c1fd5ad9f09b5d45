"""Flow placement and admission control by the measured code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limpetreel.admission import (
    admission_controller,
    admission_settings,
    admitted,
    expired,
    outcome,
    queued,
)
from limpetreel.assignment import class_assignment
from limpetreel.flows import flow_router
from limpetreel.measure import bucket_hash, deployment, policy, share_control

if TYPE_CHECKING:
    from collections.abc import Callable

    from limpetreel.admission import concurrency_limiter, decision
    from limpetreel.measure import arrival_event, transport

MAX_LIMIT = 256


class AdmissionPolicy(policy.Policy):
    """Places flows at agents and admits requests at the owner of their flow.

    A new flow goes to the primary of its bucket, else to the backup, else to another
    agent of the class. Each upstream has an admission controller.

    Parameters
    ----------
    spec : Deployment
        Simulated deployment.
    upstream_transport : Transport
        Sends requests to the upstreams.
    answer_seconds : float
        Time in which the classes must answer.
    limiter_factory : callable
        Creates a limiter, given the upper bound of its limit.
    """

    def __init__(
        self,
        spec: deployment.Deployment,
        upstream_transport: transport.Transport,
        answer_seconds: float,
        limiter_factory: Callable[[int], concurrency_limiter.ConcurrencyLimiter],
    ) -> None:
        self._spec = spec
        self._transport = upstream_transport
        self._answer_seconds = answer_seconds
        settings = admission_settings.AdmissionSettings(
            answer_seconds=answer_seconds, max_limit=MAX_LIMIT
        )
        upstream_count = sum(spec.class_sizes)
        self.controllers = [
            admission_controller.AdmissionController(
                settings, seed=i, now=0.0, limiter=limiter_factory(MAX_LIMIT)
            )
            for i in range(upstream_count)
        ]
        self._members_by_class = {
            c: [i for i in range(upstream_count) if spec.class_of(i) == c]
            for c in range(len(spec.class_sizes))
        }
        self.share_controls = {
            c: share_control.ShareControl([deployment.INITIAL_SHARE] * len(members))
            for c, members in self._members_by_class.items()
        }
        self._tables: dict[int, class_assignment.ClassAssignment] = {}
        self._index_by_node_id = {
            spec.member(i, 1).node_id: i for i in range(upstream_count)
        }
        for class_id in self._members_by_class:
            self._assign(class_id)
        self._directory: dict[tuple[int, int], int] = {}
        self._next_check = share_control.CHECK_SECONDS

    def handle_request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Place the flow if it is new and offer the request to its owner."""
        flow = (arrival.class_id, arrival.connection)
        if arrival.is_new_flow:
            self._directory.pop(flow, None)
        owner = self._directory.get(flow)
        if owner is None:
            owner = self._place(arrival)
            if owner is None:
                self._transport.refuse(arrival.at, arrival.request_id)
                return
            self._directory[flow] = owner
        deadline_at = arrival.at + self._answer_seconds
        result = self.controllers[owner].offer(
            arrival.at, arrival.request_id, arrival.connection // 4, deadline_at
        )
        if isinstance(result, admitted.Admitted):
            self._transport.send(arrival.at, owner, arrival.request_id)
        elif not isinstance(result, queued.Queued):
            self._transport.refuse(arrival.at, arrival.request_id)

    def handle_answer(
        self, now: float, index: int, request_id: int, is_shed: bool
    ) -> None:
        """Report the outcome of a request to its controller."""
        request_outcome = outcome.Outcome.SHED if is_shed else outcome.Outcome.ANSWERED
        decisions = self.controllers[index].finished(now, request_id, request_outcome)
        self._execute(now, index, decisions)

    def handle_restart(self, now: float, index: int) -> None:
        """Report the restart of an upstream to its controller."""
        self._execute(now, index, self.controllers[index].upstream_restarted(now))

    def tick(self, now: float) -> None:
        """Advance all controllers and, at intervals, check the shares."""
        for index, controller in enumerate(self.controllers):
            self._execute(now, index, controller.tick(now))
        if now >= self._next_check:
            self._next_check += share_control.CHECK_SECONDS
            for class_id, share_controller in self.share_controls.items():
                members = self._members_by_class[class_id]
                if share_controller.check(
                    [self.controllers[i].throughput() for i in members]
                ):
                    self._assign(class_id)

    def _place(self, arrival: arrival_event.ArrivalEvent) -> int | None:
        bucket = bucket_hash.bucket_of(arrival.class_id, arrival.connection)
        assignment = self._tables[arrival.class_id].lookup(bucket)
        if assignment is None:
            return None
        primary = self._index_by_node_id[assignment.primary.node_id]
        candidates = [primary]
        if assignment.backup is not None:
            candidates.append(self._index_by_node_id[assignment.backup.node_id])
        others = [
            i for i in self._members_by_class[arrival.class_id] if i not in candidates
        ]
        for i in range(min(flow_router.MAX_FURTHER_OFFERS, len(others))):
            candidates.append(others[(arrival.connection + i) % len(others)])
        for index in candidates:
            if self.controllers[index].can_accept_flow(arrival.at):
                return index
        if self.controllers[primary].can_accept_flow(arrival.at, is_last=True):
            return primary
        return None

    def _assign(self, class_id: int) -> None:
        shares = self.share_controls[class_id].shares
        records = [
            self._spec.member(i, share)
            for i, share in zip(self._members_by_class[class_id], shares, strict=True)
        ]
        self._tables[class_id] = class_assignment.ClassAssignment(class_id, records)

    def _execute(
        self, now: float, index: int, decisions: list[decision.Decision]
    ) -> None:
        for result in decisions:
            if isinstance(result, admitted.Admitted):
                self._transport.send(now, index, result.request_id)
            elif isinstance(result, expired.Expired):
                if not result.is_lost:
                    self._transport.cancel(now, index, result.request_id)
            else:
                self._transport.refuse(now, result.request_id)
