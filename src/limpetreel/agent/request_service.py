"""Request handling for the flows that an agent owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel.admission import admitted, decision, expired, refusal, refused
from limpetreel.admission import outcome as admission_outcome
from limpetreel.agent import answer, pending_request, request, signal
from limpetreel.agent.actions import close_flow, send_upstream
from limpetreel.core import failure, reason
from limpetreel.flows import flow_key, send
from limpetreel.messages import claim_result
from limpetreel.node import record_span
from limpetreel.requests import (
    claim_core,
    claim_ended,
    lookup_result,
    request_key,
    request_log,
)
from limpetreel.requests import outcome as outcomes

if TYPE_CHECKING:
    from limpetreel.admission import admission_controller
    from limpetreel.agent import caller_protocol, return_path
    from limpetreel.flows import flow_router
    from limpetreel.messages import claim_ack
    from limpetreel.serving import serving_right
    from limpetreel.wire import packet

    Actions = list[msgspec.Struct]

TOKEN_BYTES = 8
INCARNATION_SHIFT = 20
"""Incarnations are in milliseconds; the shift reserves a million ids for each."""
ID_MODULUS = 1 << 63
MAX_RESEND_ID_BYTES = 32
MAX_COPIED_ANSWER_BYTES = 1000
"""Longer answers are not replicated, because a copy must fit in one datagram."""
MAX_RETRIES = 1
MAX_LONG_LIVED = 16_384
"""Limit of tracked long-lived requests, which may receive further answers."""


class RequestService:
    """Processes requests from their arrival to their outcome.

    Parameters
    ----------
    class_id : int
        Class of the agent.
    router : FlowRouter
        Router of the agent, used for claims and recorded refusals.
    admission : AdmissionController
        Admission control for the upstream.
    protocol : CallerProtocol
        Protocol of callers and the upstream.
    return_path : ReturnPath
        Routing of answers back to callers.
    right : ServingRight
        Serving right of the node.
    incarnation : int
        Incarnation of the agent.
    """

    def __init__(
        self,
        class_id: int,
        router: flow_router.FlowRouter,
        admission: admission_controller.AdmissionController,
        protocol: caller_protocol.CallerProtocol,
        return_path: return_path.ReturnPath,
        right: serving_right.ServingRight,
        incarnation: int,
    ) -> None:
        self._class_id = class_id
        self._router = router
        self.admission = admission
        self._protocol = protocol
        self._return_path = return_path
        self._right = right
        self._log = request_log.RequestLog()
        self._claims = claim_core.ClaimCore(class_id, router.claim_peers)
        # Tokens differ between incarnations, so that a late answer to an earlier
        # process of this agent on the same port matches no request of this one.
        self._last_id = (incarnation << INCARNATION_SHIFT) % ID_MODULUS
        self._pending: dict[int, pending_request.PendingRequest] = {}
        self._pending_by_key: dict[
            request_key.RequestKey, pending_request.PendingRequest
        ] = {}
        self._pending_by_token: dict[bytes, pending_request.PendingRequest] = {}
        self._long_lived_by_token: dict[bytes, pending_request.PendingRequest] = {}
        self.dropped: dict[reason.Reason, int] = {}
        self.ended: dict[outcomes.Outcome, int] = {}

    @property
    def open_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending)

    def serve(
        self,
        now: float,
        flow: flow_key.FlowKey,
        received: packet.Packet,
        answer_ms: int,
    ) -> Actions:
        """Handle a packet of a flow that this agent owns.

        Parameters
        ----------
        now : float
            Time in seconds.
        flow : FlowKey
            Flow of the packet.
        received : Packet
            The packet.
        answer_ms : int
            Answer time of the class in milliseconds.
        """
        self._return_path.record(flow, received)
        message = self._protocol.read_caller(received.datagram)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        if isinstance(message, signal.Signal):
            return [send_upstream.SendUpstream(flow.caller, received.datagram)]
        key = make_key(flow, message)
        recorded = self._log.begin(now, key, message.idempotent)
        if recorded.kind is lookup_result.Kind.OPEN:
            return []
        if recorded.kind is lookup_result.Kind.REPEATED:
            return self._repeat_outcome(now, received, message, recorded)
        if self._router.is_refused(key):
            # This agent may own the flow because of a later request of the caller.
            outcome = self._log.finish(key, outcomes.Outcome.NOT_RUN)
            return self._send_outcome(now, received, message, outcome)
        if recorded.kind is lookup_result.Kind.FULL:
            return self._refuse_new(
                now,
                key,
                received,
                message,
                cannot_run_elsewhere=self._cannot_run_elsewhere(now),
            )
        allowed_ms = answer_ms if message.deadline_ms is None else message.deadline_ms
        self._last_id += 1
        pending = pending_request.PendingRequest(
            self._last_id, key, received, message, now + allowed_ms / 1000
        )
        self._pending[pending.request_id] = pending
        self._pending_by_key[key] = pending
        if message.idempotent:
            return self._offer(now, pending)
        held_ms = self._router.held_ms(now, flow)
        has_lease = self._right.has_own_lease(now)
        return [*self._claims.start(now, key, held_ms, has_lease)]

    def repeat_refusal(
        self, now: float, flow: flow_key.FlowKey, received: packet.Packet
    ) -> Actions | None:
        """Return the refusal again if this request was already refused, else None.

        The caller relies on the answer "not run", so no late copy of the request
        may run.
        """
        message = self._protocol.read_caller(received.datagram)
        if not isinstance(message, request.Request):
            return None
        key = make_key(flow, message)
        recorded = self._log.find(now, key)
        if recorded is None:
            # An earlier holder of the bucket may have refused the request.
            if not self._router.is_refused(key):
                return None
            return self._send_outcome(now, received, message, outcomes.Outcome.NOT_RUN)
        if recorded.outcome is not outcomes.Outcome.NOT_RUN:
            return None
        return self._repeat_outcome(now, received, message, recorded)

    def refuse(
        self, now: float, flow: flow_key.FlowKey, received: packet.Packet
    ) -> Actions:
        """Refuse a packet of a new flow that no agent can accept."""
        message = self._protocol.read_caller(received.datagram)
        if not isinstance(message, request.Request):
            return self._drop(reason.Reason.OVERLOADED)
        key = make_key(flow, message)
        has_lease = self._right.has_own_lease(now)
        if message.idempotent and not self._cannot_run_elsewhere(now):
            return self._refuse_new(
                now, key, received, message, cannot_run_elsewhere=False
            )
        outcome = self._router.record_refusal(now, key)
        if outcome is not outcomes.Outcome.NOT_RUN:
            return self._send_outcome(now, received, message, outcome)
        return self._refuse_new(
            now, key, received, message, cannot_run_elsewhere=has_lease
        )

    def acknowledge(
        self, now: float, sender: tuple[int, int], ack: claim_ack.ClaimAck
    ) -> Actions:
        """Handle an acknowledgement of a claim."""
        return self._apply_claim_steps(now, self._claims.acknowledge(now, sender, ack))

    def tick(self, now: float) -> Actions:
        """Retransmit claims and end requests whose deadline has passed."""
        self._log.expire(now)
        actions = self._apply_claim_steps(now, self._claims.tick(now))
        return actions + self._apply_decisions(now, self.admission.tick(now))

    def drain(self, now: float) -> Actions:
        """Stop accepting new flows; queued requests still run."""
        return self._apply_decisions(now, self.admission.drain(now))

    def drop_queued(self, now: float) -> Actions:
        """Drop requests not yet sent, after the zone of this agent was taken out.

        Other agents place the flows again and answer copies of the requests. If the
        requests ran here once the zone is back, they would run for flows that
        another agent owns by then.
        """
        actions: Actions = []
        for pending in [p for p in self._pending.values() if not p.token]:
            self._pending.pop(pending.request_id, None)
            self._pending_by_key.pop(pending.key, None)
            self._log.finish(pending.key, outcomes.Outcome.UNKNOWN)
            decisions = self.admission.abandoned(now, pending.request_id)
            actions += self._apply_decisions(now, decisions)
        return actions

    def upstream_restarted(self, now: float) -> Actions:
        """End the requests that were open at the upstream when it restarted."""
        self._long_lived_by_token.clear()
        return self._apply_decisions(now, self.admission.upstream_restarted(now))

    def expect_cold(self, now: float) -> Actions:
        """Begin slow start; requests that are open at the upstream stay open."""
        return self._apply_decisions(now, self.admission.expect_cold(now))

    def handle_upstream_datagram(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes
    ) -> Actions:
        """Handle a datagram that the upstream sent on the socket of a flow."""
        message = self._protocol.read_upstream(datagram)
        if isinstance(message, failure.Failure):
            return self._drop(message.reason)
        if isinstance(message, signal.Signal):
            return self._forward_signal(now, flow, datagram)
        return self._handle_answer(now, flow, datagram, message)

    def _forward_signal(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes
    ) -> Actions:
        last_packet = self._return_path.last_packet(flow)
        if last_packet is None:
            return self._drop(reason.Reason.STALE)
        return [
            self._return_path.send(last_packet, datagram, self._right.lease_ms(now))
        ]

    def _handle_answer(
        self,
        now: float,
        flow: flow_key.FlowKey,
        datagram: bytes,
        message: answer.Answer,
    ) -> Actions:
        pending = self._pending_by_token.get(message.token)
        if pending is None:
            return self._forward_further_answer(now, flow, datagram, message)
        if pending.key.flow != flow:
            return self._drop(reason.Reason.STALE)
        result = admission_outcome.Outcome.ANSWERED
        if message.shed:
            result = admission_outcome.Outcome.SHED
        decisions = self.admission.finished(now, pending.request_id, result)
        if message.shed and self._may_retry(now, pending):
            return self._retry(now, pending) + self._apply_decisions(now, decisions)
        if not message.last and len(self._long_lived_by_token) < MAX_LONG_LIVED:
            self._long_lived_by_token[message.token] = pending
        response = self._protocol.replace_token(datagram, pending.req.token)
        actions = self._end(now, pending, outcomes.Outcome.ANSWERED, response)
        return actions + self._apply_decisions(now, decisions)

    def _forward_further_answer(
        self,
        now: float,
        flow: flow_key.FlowKey,
        datagram: bytes,
        message: answer.Answer,
    ) -> Actions:
        """Forward a further answer to a long-lived request."""
        pending = self._long_lived_by_token.get(message.token)
        last_packet = self._return_path.last_packet(flow)
        if pending is None or last_packet is None or pending.key.flow != flow:
            return self._drop(reason.Reason.STALE)
        if message.last:
            del self._long_lived_by_token[message.token]
        response = self._protocol.replace_token(datagram, pending.req.token)
        return [
            self._return_path.send(last_packet, response, self._right.lease_ms(now))
        ]

    def _offer(
        self,
        now: float,
        pending: pending_request.PendingRequest,
        is_retry: bool = False,
    ) -> Actions:
        result = self.admission.offer(
            now,
            pending.request_id,
            pending.key.flow.caller.ip,
            pending.deadline_at,
            is_retry=is_retry,
        )
        if isinstance(result, admitted.Admitted):
            return self._send(now, pending, result.remaining)
        if isinstance(result, failure.Failure):
            return self._refuse(now, pending, result)
        return []

    def _apply_claim_steps(
        self, now: float, steps: list[send.Send | claim_ended.ClaimEnded]
    ) -> Actions:
        """Turn steps of the claim protocol into actions."""
        actions: Actions = []
        for step in steps:
            if isinstance(step, claim_ended.ClaimEnded):
                actions += self._claim_ended(now, step)
            else:
                actions.append(step)
        return actions

    def _claim_ended(self, now: float, ended: claim_ended.ClaimEnded) -> Actions:
        pending = self._pending_by_key.get(ended.key)
        if pending is None:
            return []
        if ended.granted:
            pending.claim_id = ended.claim_id
            return self._offer(now, pending)
        if ended.timed_out:
            # Without its own lease this agent may have been replaced, and its
            # successor may run the request.
            cannot_run_elsewhere = ended.is_sole and self._right.has_own_lease(now)
            outcome = self._log.refuse(
                now, ended.key, cannot_run_elsewhere=cannot_run_elsewhere
            )
            return self._end(now, pending, outcome or outcomes.Outcome.UNKNOWN)
        return self._end(now, pending, ended.outcome, ended.answer)

    def _apply_decisions(
        self, now: float, decisions: list[decision.Decision]
    ) -> Actions:
        """Turn decisions of the admission control into actions."""
        actions: Actions = []
        for result in decisions:
            pending = self._pending.get(result.request_id)
            if pending is None:
                continue
            if isinstance(result, admitted.Admitted):
                actions += self._send(now, pending, result.remaining)
            elif isinstance(result, refused.Refused):
                actions += self._refuse(now, pending, result.refusal)
            elif isinstance(result, expired.Expired):
                actions += self._expire(now, pending, result.is_lost)
        return actions

    def _send(
        self, now: float, pending: pending_request.PendingRequest, remaining: float
    ) -> Actions:
        """Send a request to the upstream; from then on it may have run."""
        self._log.mark_sent(pending.key)
        self._last_id += 1
        pending.token = self._last_id.to_bytes(TOKEN_BYTES, "big")
        pending.sent_at = now
        self._pending_by_token[pending.token] = pending
        datagram = self._protocol.replace_token(
            pending.received_packet.datagram, pending.token
        )
        datagram = self._protocol.with_deadline(datagram, max(1, int(remaining * 1000)))
        return [send_upstream.SendUpstream(pending.key.flow.caller, datagram)]

    def _may_retry(self, now: float, pending: pending_request.PendingRequest) -> bool:
        return (
            pending.req.idempotent
            and pending.retries < MAX_RETRIES
            and now < pending.deadline_at
        )

    def _retry(self, now: float, pending: pending_request.PendingRequest) -> Actions:
        """Retry an idempotent request if the retry budget allows it."""
        self._pending_by_token.pop(pending.token, None)
        pending.retries += 1
        return self._offer(now, pending, is_retry=True)

    def _refuse(
        self,
        now: float,
        pending: pending_request.PendingRequest,
        rejection: failure.Failure,
    ) -> Actions:
        """End a request that the admission control rejected."""
        retry_after = (
            rejection.retry_after if isinstance(rejection, refusal.Refusal) else 1
        )
        outcome = outcomes.Outcome.UNKNOWN
        if not pending.token and self._ensure_refusal_recorded(now, pending):
            outcome = self._log.finish(pending.key, outcomes.Outcome.NOT_RUN)
        return self._end(now, pending, outcome, retry_after=retry_after)

    def _expire(
        self, now: float, pending: pending_request.PendingRequest, is_lost: bool
    ) -> Actions:
        """End a request that was sent but not answered in time."""
        if is_lost and self._may_retry(now, pending):
            return self._retry(now, pending)
        caller = pending.key.flow.caller
        actions: Actions = []
        if not is_lost:
            cancel = self._protocol.encode_cancellation(pending.req.message_id)
            actions.append(send_upstream.SendUpstream(caller, cancel))
        actions += self._end(now, pending, outcomes.Outcome.UNKNOWN)
        if not any(
            p.key.flow == pending.key.flow for p in self._pending_by_token.values()
        ):
            # A middlebox between agent and upstream may have dropped its state for
            # this socket, so the next request of the flow uses a new one.
            actions.append(close_flow.CloseFlow(caller))
        return actions

    def _end(
        self,
        now: float,
        pending: pending_request.PendingRequest,
        result: outcomes.Outcome,
        datagram: bytes = b"",
        retry_after: int = 1,
    ) -> Actions:
        """Record the outcome of a request and send it to the peers and the caller."""
        self._pending.pop(pending.request_id, None)
        self._pending_by_key.pop(pending.key, None)
        self._pending_by_token.pop(pending.token, None)
        response = datagram or self._encode_outcome(pending.req, result, retry_after)
        recorded = response if result is outcomes.Outcome.ANSWERED else b""
        self._log.finish(pending.key, result, recorded)
        self.ended[result] = self.ended.get(result, 0) + 1
        actions = self._share_result(pending, result, recorded)
        last_packet = (
            self._return_path.last_packet(pending.key.flow) or pending.received_packet
        )
        last_packet = msgspec.structs.replace(
            last_packet,
            trace_id=pending.received_packet.trace_id or last_packet.trace_id,
        )
        actions.append(
            self._return_path.send(last_packet, response, self._right.lease_ms(now))
        )
        if pending.received_packet.trace_id:
            actions.append(_request_span(now, pending, result))
        return actions

    def _share_result(
        self,
        pending: pending_request.PendingRequest,
        result: outcomes.Outcome,
        recorded: bytes,
    ) -> Actions:
        """Send the outcome of a request to the agents that acknowledged its claim."""
        if not pending.claim_id:
            return []
        bucket = pending.key.flow.bucket()
        copied = recorded if len(recorded) <= MAX_COPIED_ANSWER_BYTES else b""
        message = claim_result.ClaimResult(
            self._class_id, bucket, pending.claim_id, pending.key, result, copied
        )
        return [send.Send(*peer, message) for peer in self._router.claim_peers(bucket)]

    def _ensure_refusal_recorded(
        self, now: float, pending: pending_request.PendingRequest
    ) -> bool:
        """Record a refusal and return whether later owners will repeat it.

        A granted claim already gives them the outcome. Without a claim only the
        holder of the bucket can record the refusal; at any other owner a copy of
        the request may run later.
        """
        if pending.claim_id:
            return True
        if not self._cannot_run_elsewhere(now):
            return False
        outcome = self._router.record_refusal(now, pending.key)
        return outcome is outcomes.Outcome.NOT_RUN

    def _cannot_run_elsewhere(self, now: float) -> bool:
        """Return whether no other agent has run or can run the request.

        Needed where no claim shows it: for idempotent requests and when the request
        log is full.
        """
        has_lease = self._right.has_own_lease(now)
        return has_lease and not self._router.may_have_run_elsewhere(now)

    def _refuse_new(
        self,
        now: float,
        key: request_key.RequestKey,
        received: packet.Packet,
        req: request.Request,
        *,
        cannot_run_elsewhere: bool,
    ) -> Actions:
        """Refuse a request that was not sent; see `RequestLog.refuse`."""
        outcome = self._log.refuse(now, key, cannot_run_elsewhere=cannot_run_elsewhere)
        return self._send_outcome(now, received, req, outcome)

    def _repeat_outcome(
        self,
        now: float,
        received: packet.Packet,
        req: request.Request,
        recorded: lookup_result.LookupResult,
    ) -> Actions:
        """Send the recorded outcome to a repeated request."""
        if recorded.answer:
            response = self._protocol.encode_repeated_answer(recorded.answer, req)
            return [
                self._return_path.send(received, response, self._right.lease_ms(now))
            ]
        outcome = recorded.outcome
        if outcome is outcomes.Outcome.ANSWERED:
            outcome = outcomes.Outcome.UNKNOWN
        return self._send_outcome(now, received, req, outcome)

    def _send_outcome(
        self,
        now: float,
        received: packet.Packet,
        req: request.Request,
        result: outcomes.Outcome | None,
    ) -> Actions:
        """Send an outcome without an answer; drop the request if there is none."""
        if result is None:
            return self._drop(reason.Reason.OVERLOADED)
        self.ended[result] = self.ended.get(result, 0) + 1
        response = self._encode_outcome(req, result, 1)
        return [self._return_path.send(received, response, self._right.lease_ms(now))]

    def _encode_outcome(
        self, req: request.Request, result: outcomes.Outcome, retry_after: int
    ) -> bytes:
        if result is outcomes.Outcome.NOT_RUN:
            return self._protocol.encode_not_run(req, retry_after)
        return self._protocol.encode_unknown(req)

    def _drop(self, drop_reason: reason.Reason) -> Actions:
        self.dropped[drop_reason] = self.dropped.get(drop_reason, 0) + 1
        return []


def make_key(flow: flow_key.FlowKey, req: request.Request) -> request_key.RequestKey:
    """Return the identity of a request.

    Parameters
    ----------
    flow : FlowKey
        Flow of the request.
    req : Request
        The request.
    """
    resend_id = (req.tag + b"/" + req.token)[:MAX_RESEND_ID_BYTES] if req.tag else b""
    return request_key.RequestKey(flow, req.message_id, resend_id)


def _request_span(
    now: float, pending: pending_request.PendingRequest, result: outcomes.Outcome
) -> record_span.RecordSpan:
    started = pending.sent_at or now
    attributes = {"outcome": str(result), "retries": str(pending.retries)}
    name = "agent.upstream" if pending.token else "agent.refuse"
    trace_id = pending.received_packet.trace_id
    return record_span.RecordSpan(trace_id, name, started, now, attributes)
