"""Tests of the updates that a node gets from its control instance."""

from __future__ import annotations

import msgspec

from limpetreel.cluster import (
    cluster_state,
    command_codec,
    node_session,
    upstream_directory,
    upstream_record,
)
from limpetreel.cluster.messages import cluster_codec, report, update
from limpetreel.platform import configuration_format
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

RECORD = upstream_record.UpstreamRecord(
    "side-0", "10.0.0.1", 7000, "zone-a", "bookings", True, 2
)


class Feed:
    """Session of one node, with the state behind it."""

    def __init__(self):
        self.state = cluster_state.ClusterState(
            configuration_format.ConfigurationFormat()
        )
        self.directory = upstream_directory.UpstreamDirectory()
        self.session = node_session.NodeSession("edge-1", True)

    def add(self, now, number):
        """Record the first report of an agent."""
        record = msgspec.structs.replace(RECORD, name=f"side-{number}")
        self.directory.record_report(now, report.Report(number, 1, record))

    def next_update(self, now):
        """Return the next update, None if none is due."""
        return self.session.next_update(now, self.state, self.directory, 1000, ())


def test_upstreams_that_return_together_are_sent_together():
    """Guards against an update to each node for each upstream after a common restart.

    136 upstreams that announce themselves within 1.2 s cost a small entry a large part
    of its processor time, while callers wait.
    """
    feed = Feed()
    feed.add(0.0, 0)
    assert feed.next_update(0.0) is not None
    sent = []
    for number in range(1, 137):
        now = number * 1.2 / 136
        feed.add(now, number)
        sent.append(feed.next_update(now))
    sent.append(feed.next_update(1.4))
    updates = [u for u in sent if u is not None]
    assert len(updates) <= 14
    assert sum(len(u.upstreams) for u in updates) == 136


def test_configuration_is_sent_at_once():
    """Guards against a change that waits for the next list of upstreams."""
    feed = Feed()
    feed.add(0.0, 0)
    assert feed.next_update(0.0) is not None
    change = control_group.ControlGroup(1).replace(4)
    feed.state.apply(1, command_codec.encode(change))
    assert feed.next_update(0.001).configuration.version == 4


def test_kind_of_a_later_release_does_not_make_an_update_unreadable():
    """Guards against nodes that lose control during a rolling upgrade."""
    feed = Feed()
    feed.state.apply(1, command_codec.encode(control_group.ControlGroup(1).replace(4)))
    data = cluster_codec.encode(feed.next_update(0.0))
    message = cluster_codec.decode(data.replace(b"\xaaidempotent", b"\xaasubscribed"))
    assert isinstance(message, update.Update)
    assert not message.configuration.routes[0].kind.is_repeatable


def test_traffic_of_an_idle_node_is_bounded():
    """Guards against updates that repeat the list of upstreams while nothing changes.

    The bound for control traffic of a node is 4 KB a second.
    """
    feed = Feed()
    for number in range(4400):
        feed.add(0.0, number)
    controls = tuple(f"10.0.0.{n}:7000" for n in range(9))
    sent = []
    for step in range(400):
        sent.append(
            feed.session.next_update(
                step * 0.05, feed.state, feed.directory, 1000, controls, True
            )
        )
    idle = [cluster_codec.encode(u) for u in sent[1:] if u is not None]
    seconds = 0.05 * len(sent)
    assert len(idle) / seconds <= 2.6
    up = len(cluster_codec.encode(report.Report(1 << 51, 1 << 30, RECORD))) * 2.5
    assert sum(map(len, idle)) / seconds + up <= 800
