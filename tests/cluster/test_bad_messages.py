"""Damaged messages to a control instance end nothing."""

from __future__ import annotations

import random

from limpetreel.cluster import upstream_record
from limpetreel.cluster.events import consensus_arrived, node_connected, report_arrived
from limpetreel.cluster.messages import cluster_codec, consensus_message, hello, report
from limpetreel.core import failure
from tests import bad_input, fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

MESSAGES = 5_000
RECORD = upstream_record.UpstreamRecord(
    "side-1", "10.0.0.1", 7000, "zone-a", "s-1", True, 2
)


def as_event(message, number):
    """Return the event of a message that arrives on a connection."""
    match message:
        case consensus_message.ConsensusMessage():
            return consensus_arrived.ConsensusArrived(message.envelope)
        case report.Report():
            return report_arrived.ReportArrived(message, True)
        case hello.Hello():
            return node_connected.NodeConnected(number % 9, message.name, True)
    return None


def test_any_message_is_read_or_refused():
    """Guards against an unexpected error that makes an instance start anew."""
    group = control_group.ControlGroup(5)
    valid = [
        cluster_codec.encode(report.Report(1, 1, RECORD)),
        cluster_codec.encode(hello.Hello("edge-1", "", True)),
    ]
    post = group.post
    group.post = lambda source, act: [valid.append(act.data), post(source, act)]
    assert group.change_until_acked(group.replace(4))
    group.run(1)
    group.post = post
    rng = random.Random(1)
    for number in range(MESSAGES):
        kinds = valid[:2] if number % 4 == 0 else valid[2:]
        message = cluster_codec.decode(bad_input.damaged(rng, rng.choice(kinds)))
        event = as_event(message, number)
        if isinstance(message, failure.Failure) or event is None:
            continue
        instance = rng.choice(list(group.instances.values()))
        for action in instance.core.handle(group.now, event):
            instance.execute(action)
        if number % 50 == 0:
            group.run(control_group.STEP)
