"""A node must take only newer, complete tables and count only leases it may."""

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
    found = net.Net(controls=1, **options)
    found.log.give(builders.join("x", "bookings"), builders.join("y", "bookings"))
    found.follow(0)
    node = found.add("n", class_name)
    found.run(5)
    assert node.table.revision == found.log.table.revision
    return found, node


def _renew(node, now):
    """Return the nonce of a renewal that is sent now."""
    return node.renew_now(now)[0].message.nonce


def _requests(sent):
    found = [item.message for item in sent]
    return [m for m in found if isinstance(m, delta_request.DeltaRequest)]


def test_hundreds_of_changes_arrive_in_one_exchange():
    """Guards against a node that stays behind after missing many changes."""
    found, node = _started()
    for number in range(600):
        found.log.give(builders.join(f"m{number % 300}", "c", incarnation=number + 1))
    found.log.give(member_removed.MemberRemoved("x", 1))
    found.follow(0)
    found.tick()
    start = node.table.revision
    sent = _requests(node.renew_now(found.now))
    assert sent == []
    found.run(1)
    assert node.table.revision == found.log.table.revision > start
    assert node.table.member("x") is None
    assert node.table.digest == found.log.table.digest
    assert node.table.floor <= start


def test_lease_counts_once_the_table_has_its_revision():
    """Guards against a node that serves on a table without a zone-out."""
    found, node = _started()
    revision = found.log.give(builders.take_out(found.log, "b", "out")).revision
    found.follow(0)
    node.right.counted.clear()
    message = lease.Lease(
        _renew(node, found.now), 1500, revision, found.log.table.digest, 1
    )
    sent = node.receive(found.now, CONTROL, message)
    assert _requests(sent)
    assert node.right.counted == []
    parts = found.services[0].delta_requested(found.now, 1, _requests(sent)[0])
    node.receive(found.now, CONTROL, parts[0])
    assert node.right.counted == [1500]
    assert not node.table.is_zone_serving("b")


def test_lease_counts_from_its_own_renewal():
    """Guards against a delayed or forged answer that extends a lease."""
    found, node = _started()
    records = found.log.table
    nonce = _renew(node, found.now)
    answer = lease.Lease(nonce, 2000, records.revision, records.digest, 1)
    found.now += 1.5
    node.receive(found.now, CONTROL, answer)
    assert 400 <= node.right.lease_ms(found.now) <= 500
    count = len(node.right.counted)
    node.receive(found.now, CONTROL, answer)
    assert len(node.right.counted) == count


def test_stale_control_does_not_revert_the_table():
    """Guards against a configuration that goes back to an older one."""
    found, node = _started()
    old = found.log.catalog.snapshot()
    found.log.give(builders.take_out(found.log, "b", "out"))
    found.follow(0)
    found.run(1)
    revision = node.table.revision
    found.catalogs[0].restore(old)
    found.run(3)
    assert node.table.revision == revision
    assert not node.table.is_zone_serving("b")
    nonce = _renew(node, found.now)
    sent = node.receive(found.now, CONTROL, lease.Lease(nonce, 1, revision, 0, 1))
    whole = _requests(sent)[0]
    assert whole.revision == 0
    node.right.counted.clear()
    for part in delta_source.DeltaSource(found.catalogs[0].table).parts(whole):
        node.receive(found.now, CONTROL, part)
    assert node.table.revision == revision
    assert node.right.counted == []


def test_different_table_at_the_same_revision_is_replaced():
    """Guards against a wrong record that stays for ever."""
    found, node = _started()
    wrong = node.table.member("x")
    node.table.put(
        wrong.__class__(
            **{f: getattr(wrong, f) for f in wrong.__struct_fields__ if f != "share"},
            share=60,
        )
    )
    assert node.table.digest != found.log.table.digest
    found.run(1)
    assert node.table.member("x").share == 16
    assert node.table.digest == found.log.table.digest


def test_delta_without_a_tombstone_is_not_installed():
    """Guards against a removed member that stays on some nodes."""
    found, node = _started()
    revision = node.table.revision
    found.log.give(member_removed.MemberRemoved("x", 1))
    records = found.log.table
    nonce = _renew(node, found.now)
    message = lease.Lease(nonce, 1, records.revision, records.digest, 1)
    node.receive(found.now, CONTROL, message)
    body = delta_body.encode([])
    part = delta.Delta(revision, records.revision, records.digest, 0, 1, body)
    sent = node.receive(found.now, CONTROL, part)
    assert [r.revision for r in _requests(sent)] == [0]
    assert node.table.revision == revision


def test_unanswered_renewal_goes_to_another_instance():
    """Guards against a node that keeps to a silent control instance."""
    found = net.Net(controls=3)
    node = found.add("n")
    ports = {node.renew_now(found.now)[0].to.address.port for _ in range(3)}
    assert ports == {1, 2, 3}
    found.run(5)
    found.silent = {0, 1}
    node.right.counted.clear()
    found.run(3)
    assert node.right.counted
    assert node.renew_now(found.now)[0].to.address.port == 3


def test_renewals_are_spread():
    """Guards against nodes that renew in step."""
    found, node = _started()
    times = []
    for step in range(1000):
        now = found.now + step / 100
        if any(isinstance(i.message, renew.Renew) for i in node.tick(now)):
            times.append(now)
    gaps = [round(b - a, 2) for a, b in itertools.pairwise(times)]
    assert min(gaps) >= 0.44
    assert max(gaps) <= 0.57
    assert len(set(gaps)) > 3


def test_probe_answer_counts_after_the_delta():
    """Guards against evidence from a node that knows of a zone-out."""
    found = net.Net(controls=1)
    found.log.give(builders.join("e", "", "b", port=7000 + ord("e")))
    found.follow(0)
    node, other = found.add("n"), found.add("e", zone="b")
    found.run(5)
    assert node.right.has_evidence(found.now, node.table)
    found.log.give(builders.take_out(found.log, "a", "out"))
    revision = found.log.table.revision
    other.table.apply(found.log.table.changed_after(0), revision)
    found.silent = {0}
    found.run(1.6)
    node.right.heard.clear()
    found.run(2)
    assert node.table.revision == revision
    assert not node.right.may_serve(found.now, node.table)
    assert {r for r, _ in node.right.heard} == {revision}


def test_answers_of_the_wrong_zone_or_probe_do_not_count():
    """Guards against zone evidence that nobody gave."""
    found, node = _started()
    found.log.give(builders.join("e", "", "b", port=9))
    found.follow(0)
    found.run(1)
    sent = [i.message for i in node.tick(found.now + 1)]
    nonce = next(m.nonce for m in sent if isinstance(m, probe.Probe))
    node.right.heard.clear()
    for wrong in ((nonce + 9, "b"), (nonce, "c"), (nonce, "b")):
        answer = probe_answer.ProbeAnswer(*wrong, revision=0)
        node.receive(found.now, CONTROL, answer)
    assert node.right.heard == []


def test_adopted_lease_needs_the_revision_of_the_sender():
    """Guards against a lease without the changes that it was granted with."""
    found, node = _started("bookings")
    now = found.now + 10
    revision = node.table.revision
    assert node.adopt(now, CONTROL, 1000, revision) == []
    assert node.right.lease_ms(now) >= 999
    later = now + 5
    sent = node.adopt(later, CONTROL, 1000, revision + 1)
    assert node.right.lease_ms(later) == 0
    assert _requests(sent)[0].scope == "bookings"
    assert node.receive(later, CONTROL, mismatch.Mismatch(1, 0)) == []


def test_newer_peer_brings_the_renewal_forward():
    """Guards against a node that stays behind until its next renewal."""
    found, node = _started()
    node.renew_now(found.now)
    node.receive(found.now, CONTROL, mismatch.Mismatch(1, node.table.revision + 1))
    early = node.tick(found.now + table_sync.MIN_RENEW_SECONDS)
    assert [type(i.message) for i in early].count(renew.Renew) == 1


def test_stalled_fetch_moves_to_another_instance():
    """Guards against a table that waits for an instance that has stopped."""
    found = net.Net(controls=2)
    node = found.add("n")
    while node.table.revision == 0 and node._fetch is None:
        found.tick()
        found.deliver()
    found.queue.clear()
    found.silent = {node._fetch.source.address.port - 1}
    found.run(table_sync.FIRST_FETCH_SECONDS + 2)
    assert node.table.revision == found.log.table.revision


def test_superseded_node_takes_no_lease():
    """Guards against an old process that serves beside its successor."""
    found, node = _started()
    found.log.give(builders.join("n", "", incarnation=9))
    found.follow(0)
    node.right.counted.clear()
    found.run(1)
    assert node.is_superseded
    assert node.right.counted == []


def _count_early(found, seconds):
    found.run(seconds)
    revision = found.log.table.revision
    return sum(n.table.revision == revision for n in found.nodes.values())


def test_fetches_after_an_outage_are_spread():
    """Guards against all nodes fetching at once after an outage."""
    found = net.Net(controls=1)
    for number in range(20):
        node = found.add(f"n{number}", "c")
        node._random.seed(number)
    assert _count_early(found, 1) == 20
    found.silent = {0}
    found.run(table_sync.OUTAGE_SECONDS + 1)
    found.log.give(builders.join("x", "c"))
    found.follow(0)
    found.silent = set()
    assert 0 < _count_early(found, 1) < 15
    assert _count_early(found, table_sync.FIRST_FETCH_SECONDS) == 20


def test_first_fetches_are_spread_if_control_answers_late():
    """Guards against all nodes fetching at once when a whole site starts."""
    found = net.Net(controls=1)
    for number in range(20):
        node = found.add(f"n{number}", "c")
        node._random.seed(number)
    found.tick()
    found.now += 2 * table_sync.PROMPT_SECONDS
    while found.queue:
        found.deliver()
    assert 0 < _count_early(found, 1) < 15
    assert _count_early(found, table_sync.FIRST_FETCH_SECONDS) == 20


def test_single_start_fetches_at_once():
    """Guards against an entry that drops packets for seconds after its start."""
    found, _ = _started()
    node = found.add("late", "bookings")
    found.tick()
    while found.queue:
        found.deliver()
    assert node.table.revision == found.log.table.revision


def test_agents_hold_their_scope_only():
    """Guards against agents that pay for the records of other classes."""
    found, node = _started("bookings")
    found.log.give(builders.join("z", "other"))
    found.follow(0)
    sent = len(found.sent_bytes)
    found.run(1)
    assert node.table.revision == found.log.table.revision
    assert node.table.member("z") is None
    assert len(found.sent_bytes) == sent
    request = delta_request.DeltaRequest(0, scope="other")
    assert node.receive(found.now, CONTROL, request) == []
    assert node.receive(found.now, CONTROL, delta_request.DeltaRequest(0)) == []


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
    """Guards against a removal that was forgotten before a node heard of it."""
    log = builders.new_log()
    log.give(builders.join("x"), builders.join("y"))
    node = table.Table()
    node.replace(log.table.changed_after(-1), log.table.revision, 0)
    log.give(member_removed.MemberRemoved("x", 1))
    log.table.prune(0)
    request = delta_request.DeltaRequest(node.revision)
    parts = delta_source.DeltaSource(log.table).parts(request)
    assert [p.from_revision for p in parts] == [0]


load_tests = fixtures.load_functions(globals())
