"""Tests of a group whose members run different releases.

A member of an earlier release is one that drops documents of version 0 and does not
name the format of its log entries.
"""

from __future__ import annotations

from unittest import mock

import msgspec

from limpetreel.cluster import cluster_core, command_codec
from limpetreel.cluster.actions import send_control
from limpetreel.cluster.commands import set_zone
from limpetreel.cluster.messages import cluster_codec, consensus_message
from limpetreel.consensus.messages import envelope_codec
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

FORMAT_KEY = "log_format"


def without_format(action):
    """Return a message as an earlier release sends it."""
    message = cluster_codec.decode(action.data)
    if not isinstance(message, consensus_message.ConsensusMessage):
        return action
    fields = msgspec.msgpack.decode(message.envelope)
    del fields[FORMAT_KEY]
    old = consensus_message.ConsensusMessage(msgspec.msgpack.encode(fields))
    return send_control.SendControl(action.address, cluster_codec.encode(old))


def run_earlier_release(instance):
    """Start an instance again as one of an earlier release."""
    instance.start()
    state, execute = instance.core.state, type(instance).execute
    apply = state.apply

    def drop_unknown(index, data):
        if command_codec.required_format(command_codec.decode(data)):
            state.applied = index
            return False
        return apply(index, data)

    def send(action):
        if isinstance(action, send_control.SendControl):
            action = without_format(action)
        execute(instance, action)

    state.apply, instance.execute = drop_unknown, send


def upgrade(instance):
    """Start an instance again as one of this release."""
    del instance.execute
    instance.start()


def mixed_group(seed):
    """Return a group that is led by this release, and its earlier members."""
    group = control_group.ControlGroup(seed)
    group.run(2.0)
    leader = group.leader()
    others = [x for x in group.instances.values() if x is not leader]
    for instance in others:
        run_earlier_release(instance)
        # The leader keeps its majority.
        group.run(1.0)
    assert group.leader() is leader
    return group, others


# In a rolling upgrade the new leader acknowledged version 0, the others dropped it from
# their snapshots, and later led.
def test_document_that_a_member_would_drop_is_refused_until_its_upgrade():
    """Guards against the loss of an acknowledged document in a rolling upgrade."""
    for seed in (61, 62, 63):
        with mock.patch.object(cluster_core, "SNAPSHOT_ENTRIES", 4):
            group, others = mixed_group(seed)
            leader = group.leader()
            was_acked = group.change_until_acked(group.replace(0), seconds=3.0)
            for number in range(12):
                zone = set_zone.SetZone("zone-a", number % 2 == 0)
                assert group.change_until_acked(zone)
            for instance in others:
                upgrade(instance)
                group.run(3.0)
            assert was_acked or group.change_until_acked(group.replace(0))
            # Those that were upgraded last lead now.
            leader.crash()
            group.run(3.0)
            group.check_final_state()


def test_what_earlier_members_hold_is_accepted():
    """Guards against orders that are refused during a rolling upgrade."""
    group, others = mixed_group(64)
    assert group.change_until_acked(set_zone.SetZone("zone-a", True), seconds=1.0)
    assert group.change_until_acked(group.replace(1), seconds=1.0)
    leader = group.leader()
    steps = [x.fields["member"] for x in leader.lines if "earlier_release" in x.step]
    assert len(steps) == len(others), steps


def test_member_that_is_down_does_not_hold_up_a_first_document():
    """Guards against version 0 that is refused while a machine is lost."""
    group = control_group.ControlGroup(65)
    next(iter(group.instances.values())).crash()
    assert group.change_until_acked(group.replace(0))
    assert group.now < control_group.STEP + 5.0


def test_new_leader_waits_for_members_it_has_not_heard():
    """Guards against a document that is accepted before an earlier member speaks."""
    group, others = mixed_group(66)
    leader = group.leader()
    silent = others[0]
    upgrade(others[1])
    leader.start()
    group.blocked_links = {
        frozenset((silent.address, x)) for x in group.instances if x != silent.address
    }
    while group.leader() is None:
        group.run(control_group.STEP)
    group.blocked_links = set()
    was_acked = group.change_until_acked(group.replace(0), seconds=1.0)
    assert not was_acked


def test_format_does_not_change_what_earlier_releases_read():
    """Guards against messages that members of an earlier release drop."""
    group = control_group.ControlGroup(67)
    sent = []
    group.post = lambda source, action: sent.append(action)
    group.run(1.0)
    messages = [cluster_codec.decode(x.data) for x in sent]
    envelopes = [
        x.envelope
        for x in messages
        if isinstance(x, consensus_message.ConsensusMessage)
    ]
    assert envelopes
    for data in envelopes:
        fields = msgspec.msgpack.decode(data)
        assert fields.pop(FORMAT_KEY) == command_codec.LOG_FORMAT
        old = envelope_codec.decode(msgspec.msgpack.encode(fields))
        assert old.log_format == 0 and old.sender == fields["sender"]
