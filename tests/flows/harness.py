"""Agents of one class on a simulated network, with an oracle for the callers' view."""

from __future__ import annotations

import heapq
import itertools

import msgspec

from limpetreel.assignment import rendezvous
from limpetreel.catalog import member_state
from limpetreel.flows import (
    bucket_parts,
    class_member,
    class_view,
    flow_key,
    flow_router,
    message_arrived,
    packet_arrived,
    refuse,
    relay,
    send,
    serve,
    table_changed,
    tick,
)
from limpetreel.messages import claim_ack, claim_result
from limpetreel.requests import (
    claim_core,
    claim_ended,
    lookup_result,
    outcome,
    request_key,
    request_log,
)
from limpetreel.wire import address, message_codec, mode

CLASS = 1
BUCKETS = 3
TICK_SECONDS = 0.02
LOST_SECONDS = 5.0
LEASE_SECONDS = 2.0
RESTART_SECONDS = 1.2
MAX_TRANSIT_SECONDS = 0.9
ACTIVE, DRAINING, LOST = member_state.MemberState


def _flows(count):
    keys = (
        flow_key.FlowKey(CLASS, address.Address(i, 5683)) for i in itertools.count()
    )
    return list(itertools.islice((k for k in keys if k.bucket() < BUCKETS), count))


FLOWS = _flows(6)


def make_view(revision, members, departed=False):
    """Return the view of some members; every member may hold buckets 0 to 2."""
    ids = [m.node_id for m in members if m.state is ACTIVE and m.serving]
    rows = []
    for b in range(BUCKETS):
        rank = sorted(ids, key=lambda i: rendezvous.cost(CLASS, b, i, 8))
        rows.append((*rank, 0, 0)[:2])
    return class_view.ClassView(CLASS, revision, tuple(members), tuple(rows), departed)


class Request:
    """A request with its runs and all outcomes reported to its caller."""

    def __init__(self, number, flow, idempotent):
        self.number = number
        self.flow = flow
        self.idempotent = idempotent
        self.key = request_key.RequestKey(flow, number % 65536)
        self.sent_at = None
        self.runs = 0
        self.reported = []

    def datagram(self):
        return self.number.to_bytes(4, "big")


class Agent:
    """A process with router, request log and claims, combined as in the agent core."""

    def __init__(self, cluster, node_id, incarnation, region, first_start):
        self.cluster = cluster
        self.peer = (node_id, incarnation)
        self.region = region
        self.router = flow_router.FlowRouter(CLASS, self.peer, region, first_start)
        self.log = request_log.RequestLog()
        self.claims = claim_core.ClaimCore(CLASS, self.router.claim_peers)
        self.last_contact_at = cluster.now
        self.leased_at = float("-inf")
        self.revision = 0
        self.accepts = True
        self.was_lost = False
        self.received = set()

    @property
    def is_leased(self):
        # A lease is valid only with a table that is at least as recent.
        return self.cluster.now - self.leased_at < LEASE_SECONDS

    @property
    def may_serve(self):
        # In another region, zones continue to serve during a partition because they
        # still reach each other.
        limit = LOST_SECONDS - 1
        return self.region != "r1" or self.cluster.now - self.last_contact_at < limit

    def handle_event(self, event):
        self._execute(self.router.handle(self.cluster.now, event))

    def tick(self):
        self.handle_event(tick.Tick())
        self._execute(self.claims.tick(self.cluster.now))

    def on_message(self, sender, message):
        if isinstance(message, claim_ack.ClaimAck):
            self._execute(self.claims.acknowledge(self.cluster.now, sender, message))
        else:
            self.handle_event(
                message_arrived.MessageArrived(*sender, message, self.accepts)
            )

    def packet(self, sender, relay_mode, hops, request):
        if self.may_serve:
            self.handle_event(
                packet_arrived.PacketArrived(
                    request.flow,
                    relay_mode,
                    hops,
                    *sender,
                    self.accepts,
                    request.datagram(),
                )
            )

    def _execute(self, actions):
        for action in actions:
            if isinstance(action, send.Send):
                self.cluster.post(self.peer, action)
            elif isinstance(action, relay.Relay):
                self.cluster.relay(self.peer, action)
            elif isinstance(action, serve.Serve):
                self.cluster.check_owner(self, action.flow)
                self._serve(self.cluster.request(action.datagram))
            elif isinstance(action, refuse.Refuse):
                self._refuse(self.cluster.request(action.datagram))
            elif isinstance(action, claim_ended.ClaimEnded):
                self._claim_ended(action)

    def _begin(self, req):
        lookup = self.log.begin(self.cluster.now, req.key, req.idempotent)
        if lookup.kind is lookup_result.Kind.REPEATED:
            self.cluster.report_outcome(self, req, lookup.outcome, lookup.answer)
        return lookup.kind

    def _serve(self, req):
        kind = self._begin(req)
        if kind is lookup_result.Kind.FULL:
            self._end(
                req,
                self.log.refuse(self.cluster.now, req.key, cannot_run_elsewhere=False),
            )
        elif kind is lookup_result.Kind.NEW and req.idempotent:
            self._run(req, 0)
        elif kind is lookup_result.Kind.NEW:
            held = self.router.held_ms(self.cluster.now, req.flow)
            self._execute(
                self.claims.start(self.cluster.now, req.key, held, self.is_leased)
            )

    def _refuse(self, req):
        kind = self._begin(req)
        if kind in (lookup_result.Kind.REPEATED, lookup_result.Kind.OPEN):
            return
        result = outcome.Outcome.NOT_RUN
        if not req.idempotent:
            result = self.router.record_refusal(self.cluster.now, req.key)
        cannot_run_elsewhere = result is outcome.Outcome.NOT_RUN and self.is_leased
        result = result and self.log.refuse(
            self.cluster.now, req.key, cannot_run_elsewhere=cannot_run_elsewhere
        )
        self._end(req, result)

    def _claim_ended(self, ended):
        req = self.cluster.by_key[ended.key]
        if ended.granted:
            self._run(req, ended.claim_id)
        elif ended.timed_out:
            cannot_run_elsewhere = ended.is_sole and self.is_leased
            result = self.log.refuse(
                self.cluster.now, req.key, cannot_run_elsewhere=cannot_run_elsewhere
            )
            if result is outcome.Outcome.NOT_RUN:
                self._share_result(req, ended.claim_id, result, b"")
            self._end(req, result)
        else:
            result = self.log.finish(req.key, ended.outcome, ended.answer)
            self.cluster.report_outcome(self, req, result, ended.answer)

    def _run(self, req, claim_id):
        self.log.mark_sent(req.key)
        self.cluster.run(req)
        delay = self.cluster.random.choice((0.005, 0.05, 0.5))
        self.cluster.schedule(delay, self._answered, req, claim_id)

    def _answered(self, req, claim_id):
        if self.cluster.agents.get(self.peer[0]) is not self:
            return
        answer = b"answer" + req.datagram()
        self.log.finish(req.key, outcome.Outcome.ANSWERED, answer)
        if claim_id:
            self._share_result(req, claim_id, outcome.Outcome.ANSWERED, answer)
        self.cluster.report_outcome(self, req, outcome.Outcome.ANSWERED, answer)

    def _share_result(self, req, claim_id, claim_outcome, answer):
        bucket = req.flow.bucket()
        for peer in self.router.claim_peers(bucket):
            result = claim_result.ClaimResult(
                CLASS, bucket, claim_id, req.key, claim_outcome, answer
            )
            self.cluster.post(self.peer, send.Send(*peer, result))

    def _end(self, req, result):
        if result is not None:
            self.cluster.report_outcome(self, req, result, b"")


class Cluster:
    """Agents, entries, control, callers and the network between them."""

    def __init__(self, random, regions, first_start=True):
        self.random = random
        self.now = 0.0
        self.regions = regions
        self.agents = {}
        self.records = {}
        self.history = []
        self.entry_revision = [0, 0]
        self.sides = {}
        self.loss = 0.0
        self.departed = False
        self.requests = []
        self.by_key = {}
        self._events = []
        self._next_number = itertools.count(1)
        for node_id in range(1, len(regions) + 1):
            self._start(node_id, first_start)
        self._publish()

    # Time and network

    def schedule(self, delay, call, *args):
        heapq.heappush(
            self._events, (self.now + delay, next(self._next_number), call, args)
        )

    def advance(self, seconds):
        end = self.now + seconds
        while end - self.now > 1e-6:
            # Longer steps save time; they are used only when nothing is in transit.
            step = (
                TICK_SECONDS
                if self._events and seconds < 30
                else min(0.5, end - self.now)
            )
            limit = self.now + step
            while self._events and self._events[0][0] <= limit:
                self.now, _, call, args = heapq.heappop(self._events)
                call(*args)
            self.now = limit
            self._control()
            for agent in list(self.agents.values()):
                agent.tick()

    def transit(self, sender, receiver):
        """Return the delays of the copies of a datagram that arrive."""
        if self.sides.get(sender, 0) != self.sides.get(receiver, 0):
            return []
        if self.random.random() < self.loss:
            return []
        copies = 2 if self.loss and self.random.random() < 0.1 else 1
        is_slow = self.loss and self.random.random() < 0.05
        longest = MAX_TRANSIT_SECONDS if is_slow else 0.015
        return [self.random.uniform(0.001, longest) for _ in range(copies)]

    def post(self, sender, action):
        if action.target == sender[0]:
            self.schedule(0.0, self._arrive, sender, action, next(self._next_number))
            return
        body = message_codec.encode(action.message)
        assert len(body) <= bucket_parts.MAX_BODY_BYTES, len(body)
        assert message_codec.decode(body) == action.message
        number = next(self._next_number)
        for delay in self.transit(sender[0], action.target):
            self.schedule(delay, self._arrive, sender, action, number)

    def _arrive(self, sender, action, number):
        target = self._receiver((action.target, action.incarnation), number)
        if target:
            target.on_message(sender, action.message)

    def relay(self, sender, action):
        number = next(self._next_number)
        assert action.hops <= 4
        for delay in self.transit(sender[0], action.target):
            self.schedule(delay, self._relayed, sender, action, number)

    def _relayed(self, sender, action, number):
        target = self._receiver((action.target, action.incarnation), number)
        if target:
            target.packet(
                sender, action.mode, action.hops, self.request(action.datagram)
            )

    def _receiver(self, peer, number):
        """Return the process that a frame reaches; frames have replay protection."""
        agent = self.agents.get(peer[0])
        if agent is None or agent.peer != peer or number in agent.received:
            return None
        agent.received.add(number)
        return agent

    # Control

    def _start(self, node_id, first_start):
        incarnation = next(self._next_number)
        region = self.regions[node_id - 1]
        self.agents[node_id] = Agent(self, node_id, incarnation, region, first_start)
        self.agents[node_id].last_contact_at = self.now

    def _control(self):
        changed = False
        for node_id, agent in self.agents.items():
            if self.sides.get(node_id, 0) != 0:
                continue
            agent.last_contact_at = self.now
            if agent.revision == len(self.history):
                agent.leased_at = self.now
            record = self.records.get(node_id)
            state = ACTIVE
            if (
                record
                and record.incarnation == agent.peer[1]
                and record.state is not LOST
            ):
                state = record.state
            changed |= self._put(node_id, agent.peer[1], state)
        for node_id, record in self.records.items():
            agent = self.agents.get(node_id)
            seconds_since_contact = self.now - (
                agent.last_contact_at if agent else self._crash_times[node_id]
            )
            if record.state is not LOST and seconds_since_contact > LOST_SECONDS:
                changed |= self._put(node_id, record.incarnation, LOST)
                if agent and agent.peer[1] == record.incarnation:
                    agent.was_lost = True
        if changed:
            self._publish()

    def _put(self, node_id, incarnation, state):
        old = self.records.get(node_id)
        if old and (old.incarnation, old.state) == (incarnation, state):
            return False
        self.departed |= old is not None and old.incarnation != incarnation
        self.records[node_id] = class_member.ClassMember(
            node_id,
            incarnation,
            state,
            self.regions[node_id - 1],
            len(self.history) + 1,
            returned=self._returned(old, incarnation, state),
        )
        return True

    def _returned(self, old, incarnation, state):
        if old is None or old.incarnation != incarnation:
            return 0
        is_return = old.state is LOST and state is not LOST
        return len(self.history) + 1 if is_return else old.returned

    def _publish(self):
        for node_id, agent in self.agents.items():
            if node_id not in self.records:
                self._put(node_id, agent.peer[1], ACTIVE)
        revision = len(self.history) + 1
        departed = self.departed or any(r.state is LOST for r in self.records.values())
        view = make_view(
            revision, sorted(self.records.values(), key=lambda r: r.node_id), departed
        )
        self.history.append(view)
        for node_id in self.agents:
            self.schedule(self.random.choice((0.0, 0.05, 0.4)), self._table, node_id)
        for entry in (0, 1):
            self.schedule(self.random.choice((0.0, 1.0)), self._entry_table, entry)

    def _table(self, node_id):
        agent = self.agents.get(node_id)
        if agent is None:
            return
        if self.sides.get(node_id, 0) != 0:
            self.schedule(0.5, self._table, node_id)
            return
        agent.revision = len(self.history)
        agent.handle_event(table_changed.TableChanged(self.history[-1]))

    def _entry_table(self, entry):
        if self.sides.get(-entry, 0) == 0:
            self.entry_revision[entry] = len(self.history)
        else:
            self.schedule(0.5, self._entry_table, entry)

    # Faults

    _crash_times: dict

    def crash(self, node_id):
        if self.agents.pop(node_id, None):
            self._crash_times = {**getattr(self, "_crash_times", {}), node_id: self.now}

    def restart(self, node_id):
        self.crash(node_id)
        self.schedule(RESTART_SECONDS, self._restarted, node_id)

    def _restarted(self, node_id):
        if node_id not in self.agents:
            self._start(node_id, first_start=False)
            self.schedule(0.3, self._table, node_id)

    def drain(self, node_id):
        record = self.records[node_id]
        if record.state is ACTIVE:
            self.records[node_id] = msgspec.structs.replace(
                record, state=DRAINING, modified=len(self.history) + 1
            )
            self._publish()

    def cut(self, nodes):
        """Partition some agents, and entries as 0 and -1, from all other nodes."""
        self.sides = dict.fromkeys(nodes, 1)

    def repair(self):
        """End all faults and wait until every agent has the last table."""
        self.loss = 0.0
        self.cut([])
        for node_id, record in self.records.items():
            if node_id not in self.agents or record.state is not ACTIVE:
                self.restart(node_id)
        self.advance(12)
        for agent in self.agents.values():
            agent.accepts = True

    # Callers

    def request(self, datagram):
        return self.requests[int.from_bytes(datagram, "big")]

    def send_new_request(self, flow, idempotent, entry=0):
        req = Request(len(self.requests), flow, idempotent)
        self.requests.append(req)
        self.by_key[req.key] = req
        self.send(req, entry)
        return req

    def send(self, req, entry=0):
        """Send a copy of a request if its caller would still retransmit it."""
        if req.sent_at is None:
            req.sent_at = self.now
        if self.now - req.sent_at > 100 or not self.entry_revision[entry]:
            return
        # A refused caller sends the request again as a new one. Copies that are still
        # in transit must not run.
        if any(result is outcome.Outcome.NOT_RUN for result, _ in req.reported):
            return
        view = self.history[self.entry_revision[entry] - 1]
        member = view.member(view.candidates[req.flow.bucket()][0])
        if member is None:
            return
        number = next(self._next_number)
        for delay in self.transit(-entry, member.node_id):
            self.schedule(delay, self._forwarded, member, req, number)

    def _forwarded(self, member, req, number):
        target = self._receiver((member.node_id, member.incarnation), number)
        if target:
            target.packet((0, 0), mode.Mode.FIND, 0, req)

    # Oracle

    def run(self, req):
        req.runs += 1
        if not req.idempotent:
            assert req.runs == 1, f"request {req.number} ran twice"
            results = [o for o, _ in req.reported]
            assert outcome.Outcome.NOT_RUN not in results, "ran after 'not run'"

    def report_outcome(self, agent, req, result, answer):
        if result is outcome.Outcome.ANSWERED:
            assert answer == b"answer" + req.datagram(), "answer of another request"
        if result is outcome.Outcome.NOT_RUN and not req.idempotent:
            assert req.runs == 0, f"request {req.number} ran, but was refused"
        side = self.sides.get(agent.peer[0], 0)
        if side not in (self.sides.get(0, 0), self.sides.get(-1, 0)):
            return
        req.reported.append((result, self.now))

    def check_owner(self, agent, flow):
        """Check that no other owner that was never lost owns the flow."""
        for other in self.agents.values():
            if other is agent or agent.was_lost or other.was_lost:
                continue
            assert not other.router.owns(flow), (
                f"flow {flow} of {other.peer} was placed again on {agent.peer}"
            )
