"""A request whose claim is not acknowledged must not run.

Its caller gets "not run" only from an agent that still has its lease.
"""

from __future__ import annotations

from limpetreel.flows import bucket_role, flow_key
from limpetreel.messages import claim_ack, lease
from limpetreel.node import frame_arrived
from limpetreel.requests import outcome as outcomes
from limpetreel.wire import kind, message_codec
from tests import fixtures
from tests.site import fuzz_site

SEED = 5


def _drop_messages(node, message_type):
    """Drop all messages of a type that are sent to a node."""
    handle = node.core.handle

    def handle_unless_dropped(now, event):
        if isinstance(event, frame_arrived.FrameArrived):
            body = event.frame.body
            is_message = event.frame.kind == kind.Kind.MESSAGE
            if is_message and isinstance(message_codec.decode(body), message_type):
                return []
        return handle(now, event)

    node.core.handle = handle_unless_dropped


def _lose_acknowledgement(has_lease):
    """Return a site and the reply to a POST whose backup's answer was lost."""
    site = fuzz_site.FuzzSite(SEED, zone_count=2, class_count=1, agent_count=2)
    queue = site.queue
    for caller in site.callers.values():
        caller.request(idempotent=True)
        queue.run_until(queue.now + 1.0)
        name = site.flow_agents[caller.address]
        node = site.agents[name]
        bucket = _bucket(caller)
        if node.core._router.role(bucket) is bucket_role.BucketRole.PRIMARY:
            break
    else:
        raise AssertionError("no owner is primary")
    _drop_messages(node, claim_ack.ClaimAck)
    if not has_lease:
        _drop_messages(node, lease.Lease)
        queue.run_until(queue.now + 2.5)
        assert not node.core.link.right.has_own_lease(queue.now)
    reply = caller.request(idempotent=False)
    queue.run_until(queue.now + 0.5)
    return site, reply


def _bucket(caller):
    return flow_key.FlowKey(caller.class_id, caller.address).bucket()


def test_lost_acknowledgement_ends_as_not_run():
    """Guards against running a request whose claim the backup did not acknowledge."""
    site, reply = _lose_acknowledgement(has_lease=True)
    assert reply.received_outcomes == [outcomes.Outcome.NOT_RUN]
    assert reply.key not in site.runs


def test_lost_acknowledgement_without_own_lease_ends_as_unknown():
    """Guards against "not run" from an agent whose bucket may have a new owner."""
    site, reply = _lose_acknowledgement(has_lease=False)
    assert reply.received_outcomes == [outcomes.Outcome.UNKNOWN]
    assert reply.key not in site.runs


load_tests = fixtures.load_functions(globals())
