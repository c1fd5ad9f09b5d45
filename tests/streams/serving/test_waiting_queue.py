"""Tests of the order in which openings and requests are served."""

from __future__ import annotations

import itertools

from limpetreel.configuration import route
from limpetreel.streams import flow_phase, owned_flow
from limpetreel.streams.serving import held_request, waiting_opening, waiting_queue
from tests import fixtures
from tests.streams import stream_site
from tests.streams.serving import load_site

load_tests = fixtures.load_functions(globals())


def make_route(port, priority, answer_ms=400, timeout_ms=2000):
    """Return a route."""
    kind = load_site.IDEMPOTENT
    host = stream_site.HOST
    return route.Route("r", host, port, kind, timeout_ms, answer_ms, priority, ())


def make_key(number, port):
    """Return the key of a flow of its own caller."""
    caller = stream_site.stream_key.pack(f"100.64.1.{number}", 2000)
    return caller + stream_site.stream_key.pack(stream_site.HOST, port)


def put(queue, now, matched_route, number):
    """Add an opening."""
    key = make_key(number, matched_route.port)
    item = waiting_opening.WaitingOpening(
        key, matched_route, now, now + 10, 1, ("e", 1), b""
    )
    queue.put_opening(item, 0)
    return item


def put_request(queue, now, matched_route, number):
    """Add a request."""
    key = make_key(number, matched_route.port)
    flow = owned_flow.OwnedFlow(key, now, flow_phase.FlowPhase.IDLE)
    packet = stream_site.CODEC.from_caller(
        stream_site.make_packet(key, stream_site.ACK, 1, 1, b"?")
    )
    item = held_request.HeldRequest(flow, matched_route, now, now + 10)
    assert queue.put_request(item, packet, 0)
    return item


def test_route_whose_late_openings_are_served_is_not_starved():
    """Guards against a backlog that goes before routes of a higher priority."""
    queue = waiting_queue.WaitingQueue()
    low = make_route(8081, 2, answer_ms=100, timeout_ms=2000)
    late = []
    for number in range(20):
        item = waiting_opening.WaitingOpening(
            make_key(number, low.port), low, 0.0, 5.0, 1, ("e", 1), b""
        )
        queue.record_demand(number * 0.1, item.key, low)
        queue.put_late(item)
        late.append(queue.pop(number * 0.1, 0.05, anything))
    assert all(late)
    assert queue.count_ahead_in_starved(2.0, late[0].key) is None


def anything(now, item, is_starved):
    """Let every item be served."""
    return True


def requests_only(now, item, is_starved):
    """Let requests be served."""
    return isinstance(item, held_request.HeldRequest)


def test_order_is_in_time_then_priority_then_arrival():
    """Guards against slots for what is late while others can be in time."""
    queue = waiting_queue.WaitingQueue()
    slow, fast = make_route(1, 0, answer_ms=100), make_route(2, 1)
    low = make_route(3, 2)
    last = put(queue, 0.0, low, 1)
    late = put(queue, 0.0, slow, 2)
    second = put_request(queue, 0.02, fast, 3)
    first = put(queue, 0.01, fast, 4)
    taken = [queue.pop(0.08, 0.05, anything) for _ in range(4)]
    assert taken == [second, first, last, late]
    assert queue.pop(0.08, 0.05, anything) is None


def test_no_route_starves():
    """Guards against a route of low priority that never gets a slot.

    It gets one after a quarter of its time limit, within two steps of the pattern.
    """
    queue = waiting_queue.WaitingQueue()
    high, low = make_route(1, 0), make_route(2, 2)
    served, number = [], 0
    for step in range(100):
        now = step * 0.05
        for matched_route in (high, low):
            number += 1
            put(queue, now, matched_route, number % 250)
        served.append(queue.pop(now, 0.05, anything).route is low)
        queue.take_openings()
    gaps = [i * 0.05 for i, is_low in enumerate(served) if is_low]
    assert len(gaps) >= 8
    assert max(b - a for a, b in itertools.pairwise(gaps)) <= 0.6 + 1e-9


def test_cold_upstream_serves_requests_while_openings_wait():
    """Guards against requests that wait for the rate of new flows."""
    queue = waiting_queue.WaitingQueue()
    opening = put(queue, 0.0, make_route(1, 0), 1)
    request = put_request(queue, 0.0, make_route(1, 0), 2)
    assert queue.pop(0.0, 0.05, requests_only) is request
    assert queue.pop(0.0, 0.05, requests_only) is None
    assert queue.pop(0.0, 0.05, anything) is opening


def test_request_of_a_reopened_flow_expires():
    """Guards against requests that wait without a limit, and count as waiting.

    The upstream lost the flow of an earlier request, and its caller opened it again.
    """
    queue = waiting_queue.WaitingQueue()
    matched_route = make_route(1, 0)
    put_request(queue, 0.0, matched_route, 1)
    later = put_request(queue, 0.1, matched_route, 1)
    assert queue.count_ahead(0) == len(queue) == 1
    assert queue.take_expired(10.2) == [later]
    assert (len(queue), queue.pop(10.3, 0.05, anything)) == (0, None)


def test_requests_that_need_not_wait_count_as_served():
    """Guards against a route that goes first as starved though it is served.

    Its waits expire at times, and most of its requests find a free slot.
    """
    queue = waiting_queue.WaitingQueue()
    high, low = make_route(1, 0), make_route(2, 2)
    queue.remove(put_request(queue, 0.0, low, 1))
    queue.record_served(0.3, make_key(1, low.port), is_opening=False)
    request = put_request(queue, 0.4, low, 2)
    opening = put(queue, 0.55, high, 3)
    assert queue.pop(0.55, 0.05, anything) is opening
    assert queue.pop(0.9, 0.05, anything) is request
