"""A node installs only newer, complete tables and applies only valid leases."""

from __future__ import annotations

import itertools

from limpetreel.catalog import delta_body, delta_source, fetch, peer, table, table_sync
from limpetreel.catalog.commands import member_removed
from limpetreel.messages import (
    delta,
    delta_request,
    lease,
    mismatch,
    probe,
    probe_answer,
    renew,
)
from limpetreel.wire import address
from tests import fixtures
from tests.catalog import builders
from tests.control import net

CONTROL = peer.Peer(address.from_socket(("127.0.0.1", 1)), 1)


def _started(class_name="", **options):
    """Return a network with one node that holds the table."""
    network = net.Net(controls=1, **options)
    network.log.append(builders.join("x", "bookings"), builders.join("y", "bookings"))
    network.follow(0)
    node = network.add("n", class_name)
    network.run(5)
    assert node.table.revision == network.log.table.revision
    return network, node


def _renew(node, now):
    """Return the nonce of a renewal that is sent now."""
    return node.renew_now(now)[0].message.nonce


def _requests(sent):
    messages = [outgoing.message for outgoing in sent]
    return [m for m in messages if isinstance(m, delta_request.DeltaRequest)]


def test_hundreds_of_changes_arrive_in_one_exchange():
    """Guards against a node that stays behind after missing many changes."""
    network, node = _started()
    for number in range(600):
        network.log.append(
            builders.join(f"m{number % 300}", "c", incarnation=number + 1)
        )
    network.log.append(member_removed.MemberRemoved("x", 1))
    network.follow(0)
    network.tick()
    start = node.table.revision
    sent = _requests(node.renew_now(network.now))
    assert sent == []
    network.run(1)
    assert node.table.revision == network.log.table.revision > start
    assert node.table.member("x") is None
    assert node.table.digest == network.log.table.digest
    assert node.table.floor <= start


def test_lease_counts_once_the_table_has_its_revision():
    """Guards against a node that serves with a table that lacks a zone-out."""
    network, node = _started()
    revision = network.log.append(builders.take_out(network.log, "b", "out")).revision
    network.follow(0)
    node.right.lease_lengths.clear()
    message = lease.Lease(
        _renew(node, network.now), 1500, revision, network.log.table.digest, 1
    )
    sent = node.receive(network.now, CONTROL, message)
    assert _requests(sent)
    assert node.right.lease_lengths == []
    parts = network.services[0].delta_requested(network.now, 1, _requests(sent)[0])
    node.receive(network.now, CONTROL, parts[0])
    assert node.right.lease_lengths == [1500]
    assert not node.table.is_zone_serving("b")


def test_lease_counts_from_its_own_renewal():
    """Guards against a delayed or forged answer that extends a lease."""
    network, node = _started()
    records = network.log.table
    nonce = _renew(node, network.now)
    answer = lease.Lease(nonce, 2000, records.revision, records.digest, 1)
    network.now += 1.5
    node.receive(network.now, CONTROL, answer)
    assert 400 <= node.right.lease_ms(network.now) <= 500
    count = len(node.right.lease_lengths)
    node.receive(network.now, CONTROL, answer)
    assert len(node.right.lease_lengths) == count


def test_stale_control_does_not_revert_the_table():
    """Guards against a control instance that reverts a node to an older table."""
    network, node = _started()
    old = network.log.catalog.snapshot()
    network.log.append(builders.take_out(network.log, "b", "out"))
    network.follow(0)
    network.run(1)
    revision = node.table.revision
    network.catalogs[0].restore(old)
    network.run(3)
    assert node.table.revision == revision
    assert not node.table.is_zone_serving("b")
    nonce = _renew(node, network.now)
    sent = node.receive(network.now, CONTROL, lease.Lease(nonce, 1, revision, 0, 1))
    whole = _requests(sent)[0]
    assert whole.revision == 0
    node.right.lease_lengths.clear()
    for part in delta_source.DeltaSource(network.catalogs[0].table).parts(whole):
        node.receive(network.now, CONTROL, part)
    assert node.table.revision == revision
    assert node.right.lease_lengths == []


def test_different_table_at_the_same_revision_is_replaced():
    """Guards against a wrong record that is never corrected."""
    network, node = _started()
    wrong = node.table.member("x")
    node.table.put(
        wrong.__class__(
            **{f: getattr(wrong, f) for f in wrong.__struct_fields__ if f != "share"},
            share=60,
        )
    )
    assert node.table.digest != network.log.table.digest
    network.run(1)
    assert node.table.member("x").share == 16
    assert node.table.digest == network.log.table.digest


def test_delta_without_a_tombstone_is_not_installed():
    """Guards against a removed member that stays on some nodes."""
    network, node = _started()
    revision = node.table.revision
    network.log.append(member_removed.MemberRemoved("x", 1))
    records = network.log.table
    nonce = _renew(node, network.now)
    message = lease.Lease(nonce, 1, records.revision, records.digest, 1)
    node.receive(network.now, CONTROL, message)
    body = delta_body.encode([])
    part = delta.Delta(revision, records.revision, records.digest, 0, 1, body)
    sent = node.receive(network.now, CONTROL, part)
    assert [r.revision for r in _requests(sent)] == [0]
    assert node.table.revision == revision


def test_unanswered_renewal_goes_to_another_instance():
    """Guards against a node that keeps using an instance that does not answer."""
    network = net.Net(controls=3)
    node = network.add("n")
    ports = {node.renew_now(network.now)[0].to.address.port for _ in range(3)}
    assert ports == {1, 2, 3}
    network.run(5)
    network.unresponsive = {0, 1}
    node.right.lease_lengths.clear()
    network.run(3)
    assert node.right.lease_lengths
    assert node.renew_now(network.now)[0].to.address.port == 3


def test_renewals_are_spread():
    """Guards against nodes that renew at the same time."""
    network, node = _started()
    times = []
    for step in range(1000):
        now = network.now + step / 100
        if any(isinstance(i.message, renew.Renew) for i in node.tick(now)):
            times.append(now)
    gaps = [round(b - a, 2) for a, b in itertools.pairwise(times)]
    assert min(gaps) >= 0.44
    assert max(gaps) <= 0.57
    assert len(set(gaps)) > 3


def test_probe_answer_counts_after_the_delta():
    """Guards against evidence from a node that knows of a zone-out."""
    network = net.Net(controls=1)
    network.log.append(builders.join("e", "", "b", port=7000 + ord("e")))
    network.follow(0)
    node, other = network.add("n"), network.add("e", zone="b")
    network.run(5)
    assert node.right.has_evidence(network.now, node.table)
    network.log.append(builders.take_out(network.log, "a", "out"))
    revision = network.log.table.revision
    other.table.apply(network.log.table.changed_after(0), revision)
    network.unresponsive = {0}
    network.run(1.6)
    node.right.contacts.clear()
    network.run(2)
    assert node.table.revision == revision
    assert not node.right.may_serve(network.now, node.table)
    assert {r for r, _ in node.right.contacts} == {revision}


def test_answers_of_the_wrong_zone_or_probe_do_not_count():
    """Guards against zone evidence from answers that match no probe."""
    network, node = _started()
    network.log.append(builders.join("e", "", "b", port=9))
    network.follow(0)
    network.run(1)
    sent = [i.message for i in node.tick(network.now + 1)]
    nonce = next(m.nonce for m in sent if isinstance(m, probe.Probe))
    node.right.contacts.clear()
    for wrong in ((nonce + 9, "b"), (nonce, "c"), (nonce, "b")):
        answer = probe_answer.ProbeAnswer(*wrong, revision=0)
        node.receive(network.now, CONTROL, answer)
    assert node.right.contacts == []


def test_adopted_lease_needs_the_revision_of_the_sender():
    """Guards against a lease without the changes that it was granted with."""
    network, node = _started("bookings")
    now = network.now + 10
    revision = node.table.revision
    assert node.adopt_lease(now, CONTROL, 1000, revision) == []
    assert node.right.lease_ms(now) >= 999
    later = now + 5
    sent = node.adopt_lease(later, CONTROL, 1000, revision + 1)
    assert node.right.lease_ms(later) == 0
    assert _requests(sent)[0].scope == "bookings"
    assert node.receive(later, CONTROL, mismatch.Mismatch(1, 0)) == []


def test_newer_peer_brings_the_renewal_forward():
    """Guards against a node that stays behind until its next renewal."""
    network, node = _started()
    node.renew_now(network.now)
    node.receive(network.now, CONTROL, mismatch.Mismatch(1, node.table.revision + 1))
    early = node.tick(network.now + table_sync.MIN_RENEW_SECONDS)
    assert [type(i.message) for i in early].count(renew.Renew) == 1


def test_stalled_fetch_moves_to_another_instance():
    """Guards against a table that waits for an instance that has stopped."""
    network = net.Net(controls=2)
    node = network.add("n")
    while node.table.revision == 0 and node._fetch is None:
        network.tick()
        network.deliver()
    network.queue.clear()
    network.unresponsive = {node._fetch.source.address.port - 1}
    network.run(table_sync.FIRST_FETCH_SECONDS + 2)
    assert node.table.revision == network.log.table.revision


def test_superseded_node_takes_no_lease():
    """Guards against an old process that serves beside its successor."""
    network, node = _started()
    network.log.append(builders.join("n", "", incarnation=9))
    network.follow(0)
    node.right.lease_lengths.clear()
    network.run(1)
    assert node.is_superseded
    assert node.right.lease_lengths == []


def _count_early(network, seconds):
    network.run(seconds)
    revision = network.log.table.revision
    return sum(n.table.revision == revision for n in network.nodes.values())


def test_fetches_after_an_outage_are_spread():
    """Guards against all nodes fetching at once after an outage."""
    network = net.Net(controls=1)
    for number in range(20):
        node = network.add(f"n{number}", "c")
        node._random.seed(number)
    assert _count_early(network, 1) == 20
    network.unresponsive = {0}
    network.run(table_sync.OUTAGE_SECONDS + 1)
    network.log.append(builders.join("x", "c"))
    network.follow(0)
    network.unresponsive = set()
    assert 0 < _count_early(network, 1) < 15
    assert _count_early(network, table_sync.FIRST_FETCH_SECONDS) == 20


def test_first_fetches_are_spread_if_control_answers_late():
    """Guards against all nodes fetching at once when a whole site starts."""
    network = net.Net(controls=1)
    for number in range(20):
        node = network.add(f"n{number}", "c")
        node._random.seed(number)
    network.tick()
    network.now += 2 * table_sync.PROMPT_SECONDS
    while network.queue:
        network.deliver()
    assert 0 < _count_early(network, 1) < 15
    assert _count_early(network, table_sync.FIRST_FETCH_SECONDS) == 20


def test_single_start_fetches_at_once():
    """Guards against an entry that drops packets for seconds after its start."""
    network, _ = _started()
    node = network.add("late", "bookings")
    network.tick()
    while network.queue:
        network.deliver()
    assert node.table.revision == network.log.table.revision


def test_agents_hold_their_scope_only():
    """Guards against agents that receive the records of other classes."""
    network, node = _started("bookings")
    network.log.append(builders.join("z", "other"))
    network.follow(0)
    sent = len(network.sent_bytes)
    network.run(1)
    assert node.table.revision == network.log.table.revision
    assert node.table.member("z") is None
    assert len(network.sent_bytes) == sent
    request = delta_request.DeltaRequest(0, scope="other")
    assert node.receive(network.now, CONTROL, request) == []
    assert node.receive(network.now, CONTROL, delta_request.DeltaRequest(0)) == []


def test_parts_of_different_deltas_are_not_mixed():
    """Guards against a table that no control instance ever had."""
    current = fetch.Fetch(CONTROL, 0, "", 0.0)
    old = [delta.Delta(0, 5, 50, part, 3, b"old") for part in range(3)]
    new = [delta.Delta(0, 6, 60, part, 2, b"new") for part in range(2)]
    accepted = [current.add(part) for part in (old[0], new[1], old[1], old[2])]
    assert accepted == [True, True, False, False]
    assert not current.add(new[1])
    assert not current.add(delta.Delta(3, 7, 70, 0, 1, b"other start"))
    assert current.add(new[0])
    assert current.is_complete()
    assert current.body() == b"newnew"


def test_floor_forces_a_whole_table():
    """Guards against a tombstone that is dropped before a node receives it."""
    log = builders.new_log()
    log.append(builders.join("x"), builders.join("y"))
    node = table.Table()
    node.replace(log.table.changed_after(-1), log.table.revision, 0)
    log.append(member_removed.MemberRemoved("x", 1))
    log.table.prune(0)
    request = delta_request.DeltaRequest(node.revision)
    parts = delta_source.DeltaSource(log.table).parts(request)
    assert [p.from_revision for p in parts] == [0]


load_tests = fixtures.load_functions(globals())
