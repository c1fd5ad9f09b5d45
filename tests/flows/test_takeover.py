"""A request must not run twice after the loss of any agent that has a record of it."""

from __future__ import annotations

import random

import msgspec

from limpetreel.flows import (
    bucket_parts,
    bucket_role,
    bucket_state,
    class_member,
    flow_key,
    flow_router,
    message_arrived,
    packet_arrived,
    refuse,
    relay,
    serve,
    table_changed,
)
from limpetreel.messages import bucket_part, claim_request, held_flow
from limpetreel.requests import claim, outcome, request_key
from limpetreel.wire import address, message_codec, mode
from tests import fixtures
from tests.flows import harness

FLOW = harness.FLOWS[0]
BUCKET = FLOW.bucket()
ANSWERED = outcome.Outcome.ANSWERED
UNKNOWN = outcome.Outcome.UNKNOWN


def _cluster(nodes=4, regions=None):
    cluster = harness.Cluster(random.Random(7), regions or ["r1"] * nodes)
    cluster.advance(2)
    return cluster


def _candidates(cluster):
    return cluster.history[-1].candidates[BUCKET]


def _owner(cluster):
    return next(i for i, a in cluster.agents.items() if a.router.owns(FLOW))


def _send_non_idempotent(cluster, seconds=1.0):
    req = cluster.send_new_request(FLOW, idempotent=False)
    cluster.advance(seconds)
    return req


def _outcomes(req):
    return [result for result, _ in req.reported]


def _third_agent_as_owner(cluster):
    """Return (owner, primary, backup) of a flow whose owner is a third agent."""
    _send_non_idempotent(cluster)
    owner = _owner(cluster)
    cluster.drain(owner)
    cluster.advance(2)
    assert owner not in _candidates(cluster)
    return (owner, *_candidates(cluster))


def test_owner_survives_every_change_of_the_table():
    """Guards against a second placement of a flow whose owner is live."""
    cluster = _cluster(5)
    owner, _, _ = _third_agent_as_owner(cluster)
    for node in (1, 2, 3, 4, 5) * 3:
        if node != owner:
            cluster.restart(node)
            cluster.advance(2.5)
        assert _outcomes(_send_non_idempotent(cluster)) in ([ANSWERED], [UNKNOWN])
        assert _owner(cluster) == owner


def test_result_of_a_lost_owner_is_returned():
    """Guards against a second run after the loss of an owner without a role."""
    cluster = _cluster()
    owner, _, _ = _third_agent_as_owner(cluster)
    req = _send_non_idempotent(cluster)
    assert req.runs == 1
    cluster.crash(owner)
    cluster.advance(6.5)
    cluster.send(req)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED, ANSWERED]


def test_open_request_of_a_lost_owner_is_unknown():
    """Guards against a second run of a request that was open at the loss."""
    cluster = _cluster()
    owner, _, _ = _third_agent_as_owner(cluster)
    req = cluster.send_new_request(FLOW, idempotent=False)
    while not req.runs:
        cluster.advance(harness.TICK_SECONDS)
    cluster.crash(owner)
    cluster.advance(6.5)
    cluster.send(req)
    cluster.advance(1)
    assert req.runs == 1
    assert UNKNOWN in _outcomes(req) or ANSWERED in _outcomes(req)
    assert ANSWERED in _outcomes(_send_non_idempotent(cluster))


def test_owner_and_primary_lost_together_leave_the_backup():
    """Guards against a takeover that omits the backup's claims."""
    cluster = _cluster()
    owner, primary, _ = _third_agent_as_owner(cluster)
    req = _send_non_idempotent(cluster)
    cluster.crash(owner)
    cluster.crash(primary)
    cluster.advance(7)
    cluster.send(req)
    cluster.advance(1)
    assert req.runs == 1
    assert len(req.reported) == 2
    assert _outcomes(_send_non_idempotent(cluster)) == [ANSWERED]


def test_claims_are_incomplete_after_loss_of_all_copies():
    """Guards against a second run when primary, backup and owner are lost."""
    cluster = _cluster(5)
    req = _send_non_idempotent(cluster)
    for node in {*_candidates(cluster), _owner(cluster)}:
        cluster.crash(node)
    cluster.advance(7)
    cluster.send(req)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED, UNKNOWN]
    assert _outcomes(_send_non_idempotent(cluster)) == [UNKNOWN]
    cluster.advance(250)
    assert _outcomes(_send_non_idempotent(cluster)) == [ANSWERED]


def test_flow_placed_while_claims_are_incomplete_runs_no_earlier_request():
    """Guards against a second run on a flow that was placed again too early.

    After the loss of all copies, claims are incomplete for the lifetime of a
    request.
    """
    cluster = _cluster(5)
    req = _send_non_idempotent(cluster)
    for node in {*_candidates(cluster), _owner(cluster)}:
        cluster.crash(node)
    cluster.advance(7)
    cluster.send_new_request(FLOW, idempotent=True)
    cluster.advance(1)
    primary, _ = _candidates(cluster)
    cluster.drain(primary)
    cluster.advance(2)
    cluster.send(req)
    cluster.advance(1)
    assert req.runs == 1


def test_restarted_backup_has_no_valid_copy():
    """Guards against trusting a backup that lost its claims in a restart."""
    cluster = _cluster()
    req = _send_non_idempotent(cluster)
    primary, backup = _candidates(cluster)
    cluster.crash(primary)
    cluster.restart(backup)
    cluster.advance(7)
    cluster.send(req)
    cluster.advance(1)
    assert req.runs == 1
    assert _outcomes(req)[-1] is UNKNOWN


def test_second_takeover_right_after_the_first_loses_nothing():
    """Guards against discarding a previous holder's copy too early.

    The backup takes over and is lost before it has all replies, so that only the
    previous holder has the claims; without them, claims may be missing.
    """
    cluster = _cluster()
    _send_non_idempotent(cluster)
    primary, backup = _candidates(cluster)
    cluster.drain(primary)
    assert _candidates(cluster)[0] == backup
    cluster.crash(({1, 2, 3, 4} - {primary, *_candidates(cluster)}).pop())
    cluster.advance(3)
    cluster.crash(backup)
    cluster.advance(7)
    flow = next(f for f in harness.FLOWS[1:] if f.bucket() == BUCKET)
    req = cluster.send_new_request(flow, idempotent=False)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED]


def test_claims_reach_a_holder_that_was_not_backup():
    """Guards against a takeover that drops the claims of earlier holders."""
    cluster = _cluster(5)
    owner, primary, backup = _third_agent_as_owner(cluster)
    req = _send_non_idempotent(cluster)
    cluster.drain(primary)
    cluster.drain(backup)
    cluster.advance(2)
    cluster.crash(owner)
    cluster.advance(6.5)
    cluster.send(req)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED, ANSWERED]


def test_returned_member_has_no_valid_copy():
    """Guards against use of a copy that became outdated while its agent was lost.

    The other member served alone in the meantime and was lost before the return.
    """
    cluster = _cluster(2)
    primary, backup = _candidates(cluster)
    cluster.cut([primary])
    cluster.advance(300)
    req = _send_non_idempotent(cluster)
    assert _outcomes(req) == [ANSWERED]
    cluster.crash(backup)
    cluster.advance(6)
    cluster.cut([])
    cluster.advance(1)
    assert _candidates(cluster) == (primary, 0)
    cluster.send(req)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED, UNKNOWN]


def test_backup_of_an_epoch_after_its_return_stays_backup():
    """Guards against a backup that no longer acknowledges while the holder expects it.

    It returns with a table that is older than the epoch in which it is backup.
    """
    cluster = _cluster(3)
    _, backup = _candidates(cluster)
    cluster.cut([backup])
    cluster.advance(7)
    agent = cluster.agents[backup]
    agent.handle_event, handle = (
        lambda e: None if _is_table(e) else handle(e),
        agent.handle_event,
    )
    cluster.cut([])
    cluster.advance(1)
    del agent.handle_event
    cluster._publish()
    cluster.advance(2)
    assert _candidates(cluster)[1] == backup
    assert _outcomes(_send_non_idempotent(cluster)) == [ANSWERED]


def test_backup_that_missed_a_change_of_its_record_acknowledges_again():
    """Guards against permanent refusals after a change of a backup's record.

    The backup missed a table. If its record was only modified, it must keep its role.
    If it was lost and returned, the holder must learn that it gave up its role.
    """
    cluster = _cluster(3)
    _, backup = _candidates(cluster)
    cluster._publish()
    for field in ("modified", "returned"):
        cluster._publish()
        changes = {
            "modified": len(cluster.history) + 1,
            field: len(cluster.history) + 1,
        }
        cluster.records[backup] = msgspec.structs.replace(
            cluster.records[backup], **changes
        )
        cluster._publish()
        cluster.advance(2)
        assert _candidates(cluster)[1] == backup
        assert _outcomes(_send_non_idempotent(cluster)) == [ANSWERED]


def test_missed_loss_ends_roles_and_a_missed_change_does_not():
    """Guards against an outdated copy, and against copies lost at every drain.

    The agent skips a table, so that it does not receive its own loss or change.
    """
    member = class_member.ClassMember(1, 10, harness.ACTIVE, "r1", 1)
    for returned in (0, 3):
        router = _single_member_router(max_flows=4)
        assert router.role(BUCKET) is bucket_role.BucketRole.PRIMARY
        changed = msgspec.structs.replace(member, modified=3, returned=returned)
        other = msgspec.structs.replace(member, node_id=9, state=harness.LOST)
        view = harness.make_view(4, [changed, other])
        router.handle(1.0, table_changed.TableChanged(view))
        epoch = router._takeover.state(BUCKET).epoch
        assert (epoch > 1) == (returned > 0)


def test_flow_that_primary_and_backup_refuse_goes_to_another_agent():
    """Guards against refusals while other agents of the class are idle."""
    cluster = _cluster()
    busy = _candidates(cluster)
    for node_id in busy:
        cluster.agents[node_id].accepts = False
    assert _outcomes(_send_non_idempotent(cluster)) == [ANSWERED]
    assert _owner(cluster) not in busy


def test_request_may_have_run_elsewhere_after_loss_of_a_member():
    """Guards against "not run" for a GET that a lost agent may have run."""
    cluster = _cluster()
    routers = {i: a.router for i, a in cluster.agents.items()}
    assert not any(r.may_have_run_elsewhere(cluster.now) for r in routers.values())
    cluster.crash(4)
    cluster.advance(8)
    others = [r for i, r in routers.items() if i != 4]
    assert all(r.may_have_run_elsewhere(cluster.now) for r in others)
    cluster.advance(260)
    assert not any(r.may_have_run_elsewhere(cluster.now) for r in others)


def test_offers_end_with_a_refusal():
    """Guards against offers that circulate without end."""
    cluster = _cluster(6)
    for agent in cluster.agents.values():
        agent.accepts = False
    assert _outcomes(_send_non_idempotent(cluster)) == [outcome.Outcome.NOT_RUN]
    assert not any(a.router.owns(FLOW) for a in cluster.agents.values())


def test_holder_without_backup_accepts_a_flow_after_a_short_wait():
    """Guards against a refusal without a backup where a short wait would suffice."""
    router = _single_member_router(max_flows=10)
    busy = msgspec.structs.replace(_packet(harness.FLOWS[0]), accepts=False)
    assert isinstance(router.handle(3.0, busy)[0], refuse.Refuse)
    waiting = msgspec.structs.replace(busy, accepts_wait=True)
    assert isinstance(router.handle(3.0, waiting)[0], serve.Serve)


def _is_table(event):
    return isinstance(event, table_changed.TableChanged)


def test_claims_stay_incomplete_while_a_region_is_partitioned():
    """Guards against a run on both sides of a long partition.

    The partition lasts longer than the time for which claims may be missing.
    """
    primary, backup = _candidates(_cluster())
    regions = ["r2" if i in (primary, backup) else "r1" for i in (1, 2, 3, 4)]
    cluster = _cluster(regions=regions)
    cluster.cut([primary, backup, -1])
    cluster.advance(600)
    req = cluster.send_new_request(FLOW, idempotent=False, entry=1)
    cluster.advance(1)
    cluster.send(req, entry=0)
    cluster.advance(1)
    assert req.runs == 1
    assert _outcomes(req) == [ANSWERED, UNKNOWN]


def test_fenced_agents_do_not_acknowledge():
    """Guards against a grant by an agent whose bucket was taken over."""
    cluster = _cluster(3)
    _send_non_idempotent(cluster)
    old = cluster.agents[_candidates(cluster)[0]]
    cluster.drain(old.peer[0])
    cluster.advance(2)
    assert old.router.role(BUCKET) is bucket_role.BucketRole.FENCED
    request = claim_request.ClaimRequest(
        harness.CLASS, BUCKET, 9, request_key.RequestKey(FLOW, 900), 0
    )
    sender = next(a.peer for a in cluster.agents.values() if a is not old)
    event = message_arrived.MessageArrived(*sender, request)
    assert not old.router.handle(cluster.now, event)
    flow = next(f for f in harness.FLOWS[1:] if f.bucket() == BUCKET)
    (action,) = old.router.handle(cluster.now, _packet(flow))
    assert isinstance(action, relay.Relay)
    assert action.target == _candidates(cluster)[0]


def test_holder_waits_for_every_member():
    """Guards against placing a flow that is owned by a member that has not replied."""
    cluster = _cluster()
    owner, primary, _ = _third_agent_as_owner(cluster)
    cluster.transit, transit = (
        lambda a, b: [] if owner in (a, b) and min(a, b) > 0 else transit(a, b),
        cluster.transit,
    )
    cluster.crash(primary)
    cluster.advance(7)
    req = cluster.send_new_request(FLOW, idempotent=True)
    cluster.advance(0.5)
    assert req.reported == []
    del cluster.transit
    cluster.advance(0.3)
    cluster.send(req)
    cluster.advance(1)
    assert _outcomes(req)[:1] == [ANSWERED]
    assert _owner(cluster) == owner


def test_large_states_are_split_and_joined():
    """Guards against parts that are lost, repeated or out of order."""
    flows = tuple(
        held_flow.HeldFlow(flow_key.FlowKey(1, address.Address(i, 1)), i)
        for i in range(300)
    )
    claims = tuple(
        claim.Claim(
            request_key.RequestKey(FLOW, i, b"r" * 32),
            2**63,
            2**63,
            i,
            ANSWERED,
            b"a" * 512,
        )
        for i in range(20)
    )
    epochs = tuple(range(2**62, 2**62 + bucket_state.MAX_KNOWN_EPOCHS))
    state = bucket_part.BucketPart(
        1, 0, 0, 1, 2**62, epochs, epochs, 2**62, 0, False, flows, claims
    )
    parts = bucket_parts.split(state)
    for group in bucket_parts.pack(parts):
        assert len(message_codec._ENCODER.encode(group)) < bucket_parts.MAX_BODY_BYTES
    assembler = bucket_parts.PartAssembler()
    for part in [*parts[1:3], *reversed(parts[1:]), parts[2]]:
        assert assembler.complete_parts is None
        assembler.add(part)
    assembler.add(parts[0])
    assert assembler.complete_parts is not None
    assert sorted(f.age_ms for p in assembler.complete_parts for f in p.flows) == list(
        range(300)
    )
    assert sum(len(p.claims) for p in assembler.complete_parts) == 20


def test_takeover_of_many_flows_over_a_lossy_network():
    """Guards against a handover whose parts are never all received."""
    cluster = _cluster(3)
    for number in range(300):
        flow = flow_key.FlowKey(1, address.Address(number, 7))
        if flow.bucket() < harness.BUCKETS:
            cluster.send_new_request(flow, idempotent=True)
    count = 0
    for node in cluster.agents.values():
        for ip in range(2_000_000):
            flow = flow_key.FlowKey(1, address.Address(ip, 9))
            if flow.bucket() == BUCKET:
                node.router._owned.use(0.0, flow)
                count += 1
            if count >= 60 * node.peer[0]:
                break
    cluster.loss = 0.2
    primary, _ = _candidates(cluster)
    cluster.drain(primary)
    cluster.advance(4)
    holder = cluster.agents[_candidates(cluster)[0]].router
    assert holder.role(BUCKET) is bucket_role.BucketRole.PRIMARY


def _single_member_router(max_flows):
    """Return the router of the only member of a class."""
    router = flow_router.FlowRouter(1, (1, 10), "r1", True, max_flows)
    member = class_member.ClassMember(1, 10, harness.ACTIVE, "r1", 1)
    router.handle(0.0, table_changed.TableChanged(harness.make_view(1, [member])))
    return router


def _packet(flow, sender=(0, 0), relay_mode=mode.Mode.FIND, hops=0):
    return packet_arrived.PacketArrived(flow, relay_mode, hops, *sender, True, b"")


def test_flood_of_flow_keys_is_bounded():
    """Guards against unbounded memory, and against a flood that ends existing flows."""
    router = _single_member_router(max_flows=4)
    results = [router.handle(1.0, _packet(f))[0] for f in harness.FLOWS]
    assert [type(r) for r in results] == [serve.Serve] * 4 + [refuse.Refuse] * 2
    assert isinstance(router.handle(2.0, _packet(FLOW))[0], serve.Serve)


def test_packet_of_another_class_is_dropped():
    """Guards against a packet that reaches another service."""
    other = flow_key.FlowKey(2, FLOW.caller)
    (action,) = _single_member_router(4).handle(1.0, _packet(other))
    assert type(action).__name__ == "Drop"


def test_offer_of_an_agent_that_is_not_holder_is_not_accepted():
    """Guards against a second owner through a fenced holder's offer."""
    cluster = _cluster(3)
    _, backup = _candidates(cluster)
    third = ({1, 2, 3} - set(_candidates(cluster))).pop()
    event = _packet(FLOW, cluster.agents[third].peer, mode.Mode.OFFER)
    (action,) = cluster.agents[backup].router.handle(cluster.now, event)
    assert isinstance(action, relay.Relay)
    assert not cluster.agents[backup].router.owns(FLOW)


def test_relays_are_bounded():
    """Guards against a packet that loops between agents with different tables."""
    cluster = _cluster(3)
    _, backup = _candidates(cluster)
    event = _packet(FLOW, hops=4)
    (action,) = cluster.agents[backup].router.handle(cluster.now, event)
    assert type(action).__name__ == "Drop"


def test_flow_is_not_relayed_to_an_earlier_incarnation():
    """Guards against relays to a process that no longer exists."""
    cluster = _cluster(3)
    primary, backup = _candidates(cluster)
    cluster.agents[primary].accepts = False
    _send_non_idempotent(cluster)
    assert _owner(cluster) == backup
    cluster.agents[primary].accepts = True
    cluster.restart(backup)
    cluster.advance(3)
    req = cluster.send_new_request(FLOW, idempotent=True)
    cluster.advance(1)
    assert _outcomes(req) == [ANSWERED]


def test_request_with_a_claim_is_not_refused_as_not_run():
    """Guards against "not run" for a request that a lost owner ran."""
    cluster = _cluster(4)
    owner, *_ = _third_agent_as_owner(cluster)
    req = _send_non_idempotent(cluster)
    cluster.crash(owner)
    cluster.advance(6.5)
    for agent in cluster.agents.values():
        agent.accepts = False
    cluster.send(req)
    cluster.advance(1)
    assert outcome.Outcome.NOT_RUN not in _outcomes(req)


load_tests = fixtures.load_functions(globals())
