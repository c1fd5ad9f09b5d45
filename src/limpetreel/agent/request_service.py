"""Requests of the flows that an agent owns."""

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
from limpetreel.requests import claim_core, claim_ended, request_key, request_log
from limpetreel.requests import outcome as outcomes
from limpetreel.requests import verdict as verdicts

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
"""Incarnations count milliseconds, so this leaves a million tokens for each."""
MAX_COUNT = 1 << 63
MAX_REPEAT_BYTES = 32
MAX_COPIED_ANSWER_BYTES = 1000
"""Longer answers are not copied to the bucket's agents: one datagram must do."""
MAX_RETRIES = 1
MAX_STREAMS = 16_384
"""Requests with further answers that are remembered."""


class RequestService:
    """Takes requests from arrival to outcome.

    Parameters
    ----------
    class_id : int
        Class of the agent.
    router : FlowRouter
        Router of the agent, for claims.
    admission : AdmissionController
        Admission to the upstream.
    protocol : CallerProtocol
        Protocol of callers and the upstream.
    back : ReturnPath
        Way of answers back to callers.
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
        back: return_path.ReturnPath,
        right: serving_right.ServingRight,
        incarnation: int,
    ) -> None:
        self._class_id = class_id
        self._router = router
        self.admission = admission
        self._protocol = protocol
        self._back = back
        self._right = right
        self._log = request_log.RequestLog()
        self._claims = claim_core.ClaimCore(class_id, router.claim_peers)
        # A late answer to an earlier process of this agent, on a port that is used
        # again, must match no token of this one.
        self._count = (incarnation << INCARNATION_SHIFT) % MAX_COUNT
        self._pending: dict[int, pending_request.PendingRequest] = {}
        self._by_key: dict[request_key.RequestKey, pending_request.PendingRequest] = {}
        self._by_token: dict[bytes, pending_request.PendingRequest] = {}
        self._streams: dict[bytes, pending_request.PendingRequest] = {}
        self.dropped: dict[reason.Reason, int] = {}
        self.ended: dict[outcomes.Outcome, int] = {}

    @property
    def open_count(self) -> int:
        """Number of requests without an outcome."""
        return len(self._pending)

    def serve(
        self, now: float, flow: flow_key.FlowKey, carrier: packet.Packet, answer_ms: int
    ) -> Actions:
        """Take a packet of a flow that this agent owns.

        Parameters
        ----------
        now : float
            Time in seconds.
        flow : FlowKey
            Flow of the packet.
        carrier : Packet
            The packet.
        answer_ms : int
            Answer time of the class in milliseconds.
        """
        self._back.note(flow, carrier)
        read = self._protocol.read_caller(carrier.datagram)
        if isinstance(read, failure.Failure):
            return self._drop(read.reason)
        if isinstance(read, signal.Signal):
            return [send_upstream.SendUpstream(flow.caller, carrier.datagram)]
        key = make_key(flow, read)
        found = self._log.begin(now, key, read.idempotent)
        if found.kind is verdicts.Kind.OPEN:
            return []
        if found.kind is verdicts.Kind.REPEATED:
            return self._repeat(now, carrier, read, found)
        if self._router.is_refused(key):
            # The flow may have come here with a later request of its caller.
            told = self._log.finish(key, outcomes.Outcome.NOT_RUN)
            return self._tell(now, carrier, read, told)
        if found.kind is verdicts.Kind.FULL:
            certain = self._is_first_owner(now)
            return self._refuse_new(now, key, carrier, read, certain=certain)
        allowed_ms = answer_ms if read.deadline_ms is None else read.deadline_ms
        self._count += 1
        pending = pending_request.PendingRequest(
            self._count, key, carrier, read, now + allowed_ms / 1000
        )
        self._pending[pending.number] = pending
        self._by_key[key] = pending
        if read.idempotent:
            return self._offer(now, pending)
        held_ms = self._router.held_ms(now, flow)
        has_lease = self._right.has_own_lease(now)
        return [*self._claims.start(now, key, held_ms, has_lease)]

    def recorded_refusal(
        self, now: float, flow: flow_key.FlowKey, carrier: packet.Packet
    ) -> Actions | None:
        """Return the refusal again if a request was refused here before.

        A copy of a refused request that runs later would make the refusal false.
        """
        read = self._protocol.read_caller(carrier.datagram)
        if not isinstance(read, request.Request):
            return None
        key = make_key(flow, read)
        found = self._log.find(now, key)
        if found is None:
            # An earlier holder of the bucket may have refused it.
            if not self._router.is_refused(key):
                return None
            return self._tell(now, carrier, read, outcomes.Outcome.NOT_RUN)
        if found.outcome is not outcomes.Outcome.NOT_RUN:
            return None
        return self._repeat(now, carrier, read, found)

    def refuse(
        self, now: float, flow: flow_key.FlowKey, carrier: packet.Packet
    ) -> Actions:
        """Answer a packet of a new flow that nobody can accept."""
        read = self._protocol.read_caller(carrier.datagram)
        if not isinstance(read, request.Request):
            return self._drop(reason.Reason.OVERLOADED)
        key = make_key(flow, read)
        certain = self._right.has_own_lease(now)
        if read.idempotent and not self._is_first_owner(now):
            return self._refuse_new(now, key, carrier, read, certain=False)
        told = self._router.record_refusal(now, key)
        if told is not outcomes.Outcome.NOT_RUN:
            return self._tell(now, carrier, read, told)
        return self._refuse_new(now, key, carrier, read, certain=certain)

    def acknowledge(
        self, now: float, sender: tuple[int, int], ack: claim_ack.ClaimAck
    ) -> Actions:
        """Take an acknowledgement of a claim."""
        return self._follow(now, self._claims.acknowledge(now, sender, ack))

    def tick(self, now: float) -> Actions:
        """Repeat claims and end requests whose time has passed."""
        self._log.expire(now)
        actions = self._follow(now, self._claims.tick(now))
        return actions + self._decide(now, self.admission.tick(now))

    def drain(self, now: float) -> Actions:
        """Accept no new flow from now on; requests that wait go on."""
        return self._decide(now, self.admission.drain(now))

    def forget_waiting(self, now: float) -> Actions:
        """Drop the requests that wait after the own zone was taken out.

        Other agents place their flows anew, so a copy is answered there. Run here
        later, when the zone is back, they would belong to a flow of another agent.
        """
        actions: Actions = []
        for pending in [p for p in self._pending.values() if not p.token]:
            self._pending.pop(pending.number, None)
            self._by_key.pop(pending.key, None)
            self._log.finish(pending.key, outcomes.Outcome.UNKNOWN)
            decisions = self.admission.abandoned(now, pending.number)
            actions += self._decide(now, decisions)
        return actions

    def upstream_restarted(self, now: float) -> Actions:
        """End the requests that were open when the upstream restarted."""
        self._streams.clear()
        return self._decide(now, self.admission.upstream_restarted(now))

    def from_upstream(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes
    ) -> Actions:
        """Take a datagram of the upstream on the socket of a flow."""
        read = self._protocol.read_upstream(datagram)
        if isinstance(read, failure.Failure):
            return self._drop(read.reason)
        if isinstance(read, signal.Signal):
            return self._pass_signal(now, flow, datagram)
        return self._answered(now, flow, datagram, read)

    def _pass_signal(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes
    ) -> Actions:
        carrier = self._back.carrier(flow)
        if carrier is None:
            return self._drop(reason.Reason.STALE)
        return [self._back.send(carrier, datagram, self._right.lease_ms(now))]

    def _answered(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes, read: answer.Answer
    ) -> Actions:
        pending = self._by_token.get(read.token)
        if pending is None:
            return self._further_answer(now, flow, datagram, read)
        if pending.key.flow != flow:
            return self._drop(reason.Reason.STALE)
        result = admission_outcome.Outcome.ANSWERED
        if read.shed:
            result = admission_outcome.Outcome.SHED
        decisions = self.admission.finished(now, pending.number, result)
        if read.shed and self._may_retry(now, pending):
            return self._retry(now, pending) + self._decide(now, decisions)
        if not read.last and len(self._streams) < MAX_STREAMS:
            self._streams[read.token] = pending
        told = self._protocol.replace_token(datagram, pending.req.token)
        actions = self._end(now, pending, outcomes.Outcome.ANSWERED, told)
        return actions + self._decide(now, decisions)

    def _further_answer(
        self, now: float, flow: flow_key.FlowKey, datagram: bytes, read: answer.Answer
    ) -> Actions:
        """Pass on a later answer of a long-lived request."""
        pending = self._streams.get(read.token)
        carrier = self._back.carrier(flow)
        if pending is None or carrier is None or pending.key.flow != flow:
            return self._drop(reason.Reason.STALE)
        if read.last:
            del self._streams[read.token]
        told = self._protocol.replace_token(datagram, pending.req.token)
        return [self._back.send(carrier, told, self._right.lease_ms(now))]

    def _offer(
        self,
        now: float,
        pending: pending_request.PendingRequest,
        is_retry: bool = False,
    ) -> Actions:
        found = self.admission.offer(
            now,
            pending.number,
            pending.key.flow.caller.ip,
            pending.deadline_at,
            is_retry=is_retry,
        )
        if isinstance(found, admitted.Admitted):
            return self._send(now, pending, found.remaining)
        if isinstance(found, failure.Failure):
            return self._refuse(now, pending, found)
        return []

    def _follow(
        self, now: float, steps: list[send.Send | claim_ended.ClaimEnded]
    ) -> Actions:
        """Go on after steps of the claim protocol."""
        actions: Actions = []
        for step in steps:
            if isinstance(step, claim_ended.ClaimEnded):
                actions += self._claim_ended(now, step)
            else:
                actions.append(step)
        return actions

    def _claim_ended(self, now: float, ended: claim_ended.ClaimEnded) -> Actions:
        pending = self._by_key.get(ended.key)
        if pending is None:
            return []
        if ended.granted:
            pending.claim_id = ended.claim_id
            return self._offer(now, pending)
        if ended.timed_out:
            # Without a lease of its own this agent may have been replaced, and its
            # successor may run the request.
            certain = ended.is_sole and self._right.has_own_lease(now)
            told = self._log.refuse(now, ended.key, certain=certain)
            return self._end(now, pending, told or outcomes.Outcome.UNKNOWN)
        return self._end(now, pending, ended.outcome, ended.answer)

    def _decide(self, now: float, decisions: list[decision.Decision]) -> Actions:
        """Carry out decisions of the admission."""
        actions: Actions = []
        for made in decisions:
            pending = self._pending.get(made.request_id)
            if pending is None:
                continue
            if isinstance(made, admitted.Admitted):
                actions += self._send(now, pending, made.remaining)
            elif isinstance(made, refused.Refused):
                actions += self._refuse(now, pending, made.refusal)
            elif isinstance(made, expired.Expired):
                actions += self._expire(now, pending, made.is_lost)
        return actions

    def _send(
        self, now: float, pending: pending_request.PendingRequest, remaining: float
    ) -> Actions:
        """Send a request to the upstream; from here on it may have run."""
        self._log.mark_sent(pending.key)
        self._count += 1
        pending.token = self._count.to_bytes(TOKEN_BYTES, "big")
        pending.sent_at = now
        self._by_token[pending.token] = pending
        datagram = self._protocol.replace_token(pending.carrier.datagram, pending.token)
        datagram = self._protocol.with_deadline(datagram, max(1, int(remaining * 1000)))
        return [send_upstream.SendUpstream(pending.key.flow.caller, datagram)]

    def _may_retry(self, now: float, pending: pending_request.PendingRequest) -> bool:
        return (
            pending.req.idempotent
            and pending.retries < MAX_RETRIES
            and now < pending.deadline_at
        )

    def _retry(self, now: float, pending: pending_request.PendingRequest) -> Actions:
        """Send an idempotent request again if the retry budget allows it."""
        self._by_token.pop(pending.token, None)
        pending.retries += 1
        return self._offer(now, pending, is_retry=True)

    def _refuse(
        self,
        now: float,
        pending: pending_request.PendingRequest,
        why: failure.Failure,
    ) -> Actions:
        """End a request that the admission does not accept."""
        hint = why.retry_after if isinstance(why, refusal.Refusal) else 1
        told = outcomes.Outcome.UNKNOWN
        if not pending.token and self._is_refusal_known(now, pending):
            told = self._log.finish(pending.key, outcomes.Outcome.NOT_RUN)
        return self._end(now, pending, told, retry_after=hint)

    def _expire(
        self, now: float, pending: pending_request.PendingRequest, is_lost: bool
    ) -> Actions:
        """End a sent request that got no answer."""
        if is_lost and self._may_retry(now, pending):
            return self._retry(now, pending)
        caller = pending.key.flow.caller
        actions: Actions = []
        if not is_lost:
            cancel = self._protocol.cancellation(pending.req.message_id)
            actions.append(send_upstream.SendUpstream(caller, cancel))
        actions += self._end(now, pending, outcomes.Outcome.UNKNOWN)
        if not any(p.key.flow == pending.key.flow for p in self._by_token.values()):
            # Something between agent and upstream may have lost track of this
            # socket; the next request of the flow uses a new one.
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
        """Record the outcome of a request, tell peers and the caller."""
        self._pending.pop(pending.number, None)
        self._by_key.pop(pending.key, None)
        self._by_token.pop(pending.token, None)
        told = datagram or self._refusal(pending.req, result, retry_after)
        kept = told if result is outcomes.Outcome.ANSWERED else b""
        self._log.finish(pending.key, result, kept)
        self.ended[result] = self.ended.get(result, 0) + 1
        actions = self._share_result(pending, result, kept)
        carrier = self._back.carrier(pending.key.flow) or pending.carrier
        carrier = msgspec.structs.replace(
            carrier, trace_id=pending.carrier.trace_id or carrier.trace_id
        )
        actions.append(self._back.send(carrier, told, self._right.lease_ms(now)))
        if pending.carrier.trace_id:
            actions.append(_span(now, pending, result))
        return actions

    def _share_result(
        self,
        pending: pending_request.PendingRequest,
        result: outcomes.Outcome,
        kept: bytes,
    ) -> Actions:
        """Tell the agents that acknowledged a claim how the request ended."""
        if not pending.claim_id:
            return []
        bucket = pending.key.flow.bucket()
        copied = kept if len(kept) <= MAX_COPIED_ANSWER_BYTES else b""
        message = claim_result.ClaimResult(
            self._class_id, bucket, pending.claim_id, pending.key, result, copied
        )
        return [send.Send(*p, message) for p in self._router.claim_peers(bucket)]

    def _is_refusal_known(
        self, now: float, pending: pending_request.PendingRequest
    ) -> bool:
        """Return whether a later owner will repeat the refusal of a request.

        A claim tells it. Without one, the holder of the bucket must record the
        refusal; an owner that is not the holder cannot, and a copy may run later.
        """
        if pending.claim_id:
            return True
        if not self._is_first_owner(now):
            return False
        told = self._router.record_refusal(now, pending.key)
        return told is outcomes.Outcome.NOT_RUN

    def _is_first_owner(self, now: float) -> bool:
        """Return whether certainly no other agent has run the request.

        Needed where no claim shows it: for idempotent requests and for a full log.
        """
        certain = self._right.has_own_lease(now)
        return certain and not self._router.may_have_run_elsewhere(now)

    def _refuse_new(
        self,
        now: float,
        key: request_key.RequestKey,
        carrier: packet.Packet,
        req: request.Request,
        *,
        certain: bool,
    ) -> Actions:
        told = self._log.refuse(now, key, certain=certain)
        return self._tell(now, carrier, req, told)

    def _repeat(
        self,
        now: float,
        carrier: packet.Packet,
        req: request.Request,
        found: verdicts.Verdict,
    ) -> Actions:
        """Give the recorded answer to a repeated request."""
        if found.answer:
            again = self._protocol.answer_again(found.answer, req)
            return [self._back.send(carrier, again, self._right.lease_ms(now))]
        told = found.outcome
        if told is outcomes.Outcome.ANSWERED:
            told = outcomes.Outcome.UNKNOWN
        return self._tell(now, carrier, req, told)

    def _tell(
        self,
        now: float,
        carrier: packet.Packet,
        req: request.Request,
        result: outcomes.Outcome | None,
    ) -> Actions:
        """Tell a caller an outcome without an answer; nothing if there is none."""
        if result is None:
            return self._drop(reason.Reason.OVERLOADED)
        self.ended[result] = self.ended.get(result, 0) + 1
        told = self._refusal(req, result, 1)
        return [self._back.send(carrier, told, self._right.lease_ms(now))]

    def _refusal(
        self, req: request.Request, result: outcomes.Outcome, retry_after: int
    ) -> bytes:
        if result is outcomes.Outcome.NOT_RUN:
            return self._protocol.not_run(req, retry_after)
        return self._protocol.unknown(req)

    def _drop(self, why: reason.Reason) -> Actions:
        self.dropped[why] = self.dropped.get(why, 0) + 1
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
    repeat = (req.tag + b"/" + req.token)[:MAX_REPEAT_BYTES] if req.tag else b""
    return request_key.RequestKey(flow, req.message_id, repeat)


def _span(
    now: float, pending: pending_request.PendingRequest, result: outcomes.Outcome
) -> record_span.RecordSpan:
    started = pending.sent_at or now
    attributes = {"outcome": str(result), "retries": str(pending.retries)}
    name = "agent.upstream" if pending.token else "agent.refuse"
    trace_id = pending.carrier.trace_id
    return record_span.RecordSpan(trace_id, name, started, now, attributes)
