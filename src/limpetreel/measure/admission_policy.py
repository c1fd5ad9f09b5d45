"""Placement at primary, backup or another agent, with admission at the owner."""

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
    """The placement of section 6 with an admission controller for each upstream.

    Parameters
    ----------
    size : Deployment
        The deployment.
    out : Transport
        Way to the upstreams.
    answer_seconds : float
        Answer time of the classes.
    make_limiter : callable
        Makes a limiter from the upper bound of its limit.
    """

    def __init__(
        self,
        size: deployment.Deployment,
        out: transport.Transport,
        answer_seconds: float,
        make_limiter: Callable[[int], concurrency_limiter.ConcurrencyLimiter],
    ) -> None:
        self._size = size
        self._out = out
        self._answer_seconds = answer_seconds
        config = admission_settings.AdmissionSettings(
            answer_seconds=answer_seconds, max_limit=MAX_LIMIT
        )
        count = sum(size.class_sizes)
        self.controllers = [
            admission_controller.AdmissionController(
                config, seed=i, now=0.0, limiter=make_limiter(MAX_LIMIT)
            )
            for i in range(count)
        ]
        self._members = {
            c: [i for i in range(count) if size.class_of(i) == c]
            for c in range(len(size.class_sizes))
        }
        self.controls = {
            c: share_control.ShareControl([deployment.INITIAL_SHARE] * len(found))
            for c, found in self._members.items()
        }
        self._tables: dict[int, class_assignment.ClassAssignment] = {}
        self._index_of = {size.member(i, 1).node_id: i for i in range(count)}
        for class_id in self._members:
            self._assign(class_id)
        self._directory: dict[tuple[int, int], int] = {}
        self._next_check = share_control.CHECK_SECONDS

    def request(self, arrival: arrival_event.ArrivalEvent) -> None:
        """Place the flow if it is new and offer the request to its owner."""
        flow = (arrival.class_id, arrival.connection)
        if arrival.is_new_flow:
            self._directory.pop(flow, None)
        owner = self._directory.get(flow)
        if owner is None:
            owner = self._place(arrival)
            if owner is None:
                self._out.refuse(arrival.at, arrival.request_id)
                return
            self._directory[flow] = owner
        deadline_at = arrival.at + self._answer_seconds
        got = self.controllers[owner].offer(
            arrival.at, arrival.request_id, arrival.connection // 4, deadline_at
        )
        if isinstance(got, admitted.Admitted):
            self._out.send(arrival.at, owner, arrival.request_id)
        elif not isinstance(got, queued.Queued):
            self._out.refuse(arrival.at, arrival.request_id)

    def answered(self, now: float, index: int, request_id: int, is_shed: bool) -> None:
        """Pass the outcome on to the controller."""
        result = outcome.Outcome.SHED if is_shed else outcome.Outcome.ANSWERED
        made = self.controllers[index].finished(now, request_id, result)
        self._carry_out(now, index, made)

    def restarted(self, now: float, index: int) -> None:
        """Pass the new run id on to the controller."""
        self._carry_out(now, index, self.controllers[index].upstream_restarted(now))

    def tick(self, now: float) -> None:
        """Let all controllers act and check the shares."""
        for index, controller in enumerate(self.controllers):
            self._carry_out(now, index, controller.tick(now))
        if now >= self._next_check:
            self._next_check += share_control.CHECK_SECONDS
            for class_id, control in self.controls.items():
                found = self._members[class_id]
                if control.check([self.controllers[i].throughput() for i in found]):
                    self._assign(class_id)

    def _place(self, arrival: arrival_event.ArrivalEvent) -> int | None:
        bucket = bucket_hash.bucket_of(arrival.class_id, arrival.connection)
        found = self._tables[arrival.class_id].lookup(bucket)
        if found is None:
            return None
        primary = self._index_of[found.primary.node_id]
        order = [primary]
        if found.backup is not None:
            order.append(self._index_of[found.backup.node_id])
        others = [i for i in self._members[arrival.class_id] if i not in order]
        for i in range(min(flow_router.MAX_FURTHER_OFFERS, len(others))):
            order.append(others[(arrival.connection + i) % len(others)])
        for index in order:
            if self.controllers[index].can_accept_flow(arrival.at):
                return index
        if self.controllers[primary].can_accept_flow(arrival.at, is_last=True):
            return primary
        return None

    def _assign(self, class_id: int) -> None:
        shares = self.controls[class_id].shares
        records = [
            self._size.member(i, share)
            for i, share in zip(self._members[class_id], shares, strict=True)
        ]
        self._tables[class_id] = class_assignment.ClassAssignment(class_id, records)

    def _carry_out(self, now: float, index: int, made: list[decision.Decision]) -> None:
        for item in made:
            if isinstance(item, admitted.Admitted):
                self._out.send(now, index, item.request_id)
            elif isinstance(item, expired.Expired):
                if not item.is_lost:
                    self._out.cancel(now, index, item.request_id)
            else:
                self._out.refuse(now, item.request_id)
