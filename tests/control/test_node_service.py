"""Control must answer renewals correctly and bound the bytes of each node."""

from __future__ import annotations

from limpetreel.control import node_service
from limpetreel.messages import delta_request
from limpetreel.wire import message_codec
from tests import fixtures
from tests.catalog import builders
from tests.control import renewals

REQUEST = delta_request.DeltaRequest


def _service(members=2000):
    log = builders.new_log()
    for number in range(members):
        log.append(
            builders.join(f"m{number}", f"c{number * 7919 % 97}", port=number + 1)
        )
    return log, node_service.NodeService(0.0, log.table)


def test_lease_answers_the_renewal():
    """Guards against a lease without quorum or for a replaced process."""
    log, service = _service(1)
    log.append(builders.join("m", incarnation=5))
    answer = service.renewed(renewals.make_renew(incarnation=5, nonce=7), 900)
    assert (answer.nonce, answer.lease_ms, answer.incarnation) == (7, 900, 5)
    assert answer.digest == log.table.scope_digest("bookings")
    assert service.renewed(renewals.make_renew(incarnation=4), 900).lease_ms == 0
    assert service.renewed(renewals.make_renew(incarnation=6), 0).lease_ms == 0


def test_lost_parts_of_an_overtaken_delta_are_sent_again():
    """Guards against a table that is mixed from two revisions."""
    log, service = _service()
    first = service.delta_requested(0.0, 1, REQUEST(0, count=3))
    revision = first[0].to_revision
    log.append(builders.join("m1", incarnation=2))
    again = service.delta_requested(0.1, 1, REQUEST(0, 1, revision, 2))
    assert again == first[1:]
    newer = service.delta_requested(0.2, 1, REQUEST(0))
    assert newer[0].to_revision == log.table.revision > revision
    fresh = node_service.NodeService(0.0, log.table)
    other = fresh.delta_requested(0.3, 1, REQUEST(0, 1, revision, 2))
    assert (other[0].part, other[0].to_revision) == (0, log.table.revision)


def test_bytes_of_a_node_are_bounded():
    """Guards against a node that requests deltas without pause."""
    _, service = _service()
    total = 0
    peak = 0
    for step in range(3000):
        parts = service.delta_requested(step / 10, 1, REQUEST(0, count=16))
        size = sum(len(message_codec.encode(p)) + 42 for p in parts)
        total += size
        peak = max(peak, size)
    assert peak <= node_service.NODE_PEAK_BYTES_PER_SECOND
    limit = node_service.NODE_BURST_BYTES + 300 * node_service.NODE_BYTES_PER_SECOND
    assert limit * 0.9 < total <= limit


def test_storm_of_all_nodes_is_bounded():
    """Guards against a control instance that floods the network after an outage."""
    _, service = _service()
    nodes = 600
    total = 0
    for second in range(40):
        for node in range(nodes):
            parts = service.delta_requested(second, node, REQUEST(0, count=16))
            total += sum(len(p.body) for p in parts)
    limit = node_service.NODE_BYTES_PER_SECOND * nodes * 40
    assert total <= limit + node_service.SHARED_BURST_BYTES
    assert total > limit / 2


def test_requests_for_nothing_get_no_answer():
    """Guards against answers to up-to-date nodes and to invalid requests."""
    log, service = _service(3)
    for request in (REQUEST(log.table.revision), REQUEST(10**9), REQUEST(0, 99)):
        assert service.delta_requested(0.0, 1, request) == []
    assert len(service.delta_requested(0.0, 1, REQUEST(0, -1, count=-1))) <= 1


load_tests = fixtures.load_functions(globals())
