"""Tests of the phases of a flow while its request arrives."""

from __future__ import annotations

import types

from limpetreel.streams import flow_phase, flow_set
from limpetreel.streams.serving import (
    capacity,
    flow_lengths,
    packet_gaps,
    request_tracker,
    slot_occupancy,
)
from tests import fixtures
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())

RECEIVING, WORKING = flow_phase.FlowPhase.RECEIVING, flow_phase.FlowPhase.WORKING
IDLE = flow_phase.FlowPhase.IDLE


def make_agent(slots=2):
    """Return the parts that follow requests."""
    limits = capacity.Capacity()
    limits.slots = slots
    busy = slot_occupancy.SlotOccupancy(limits)
    flows = flow_set.FlowSet(busy)
    tracker = request_tracker.RequestTracker(
        flows, busy, limits, flow_lengths.FlowLengths(), 1200
    )
    return types.SimpleNamespace(limits=limits, busy=busy, flows=flows, tracker=tracker)


def add_flow(agent, number=0):
    """Return a flow that the upstream has just accepted."""
    return agent.flows.add(
        number.to_bytes(12, "big"), 0.0, flow_phase.FlowPhase.OPENING
    )


def send(agent, now, flow, sequence, size=1200):
    """Pass a data packet of the caller."""
    packet = stream_site.make_packet(
        flow.key, stream_site.ACK, sequence & 0xFFFFFFFF, 0, b"?" * size
    )
    agent.tracker.record_caller_packet(now, flow, stream_site.CODEC.from_caller(packet))


def respond(agent, now, flow):
    """Let the upstream answer; return the measured times by name."""
    samples = agent.tracker.record_response(now, flow)
    return {s.name.removesuffix("_seconds"): s.seconds for s in samples}


def test_request_ends_with_a_packet_that_is_not_full():
    """Guards against slots that uploads hold while they still arrive."""
    agent = make_agent()
    flow = add_flow(agent)
    for i in range(3):
        send(agent, 0.1 * i, flow, 1 + 1200 * i)
        assert (flow.phase, agent.flows.occupied) == (RECEIVING, 0)
    send(agent, 0.3, flow, 3601, 10)
    assert (flow.phase, agent.flows.occupied) == (WORKING, 1)
    assert abs(respond(agent, 0.34, flow)["service"] - 0.04) < 1e-9
    assert (flow.phase, flow.requests) == (IDLE, 1)


def test_request_of_full_packets_ends_after_a_silence():
    """Guards against a request of a multiple of 1,200 bytes that never counts.

    Its service time starts with its last packet, not when the silence was noticed.
    """
    agent = make_agent()
    flow = add_flow(agent)
    send(agent, 0.0, flow, 1)
    agent.tracker.end_silent(0.029)
    assert flow.phase is RECEIVING
    agent.tracker.end_silent(0.031)
    assert flow.phase is WORKING
    assert abs(respond(agent, 0.05, flow)["service"] - 0.05) < 1e-9


def test_request_that_continues_after_a_silence_is_one_request():
    """Guards against a slow upload that counts as several requests."""
    agent = make_agent()
    flow = add_flow(agent)
    send(agent, 0.0, flow, 1)
    agent.tracker.end_silent(0.05)
    send(agent, 0.1, flow, 1201)
    assert (flow.phase, flow.requests, agent.flows.occupied) == (RECEIVING, 1, 0)


def test_packet_that_fills_a_gap_starts_no_request_and_may_end_one():
    """Guards against a slot that is held while a lost packet is sent again.

    The numbers pass the end of their range, where comparisons may go wrong.
    """
    for first in (1, (1 << 32) - 1800):
        agent = make_agent()
        flow = add_flow(agent)
        send(agent, 0.0, flow, first)
        send(agent, 0.01, flow, first + 3600, 10)
        send(agent, 0.02, flow, first + 2400)
        agent.tracker.end_silent(0.1)
        assert flow.phase is RECEIVING
        send(agent, 0.2, flow, first + 1200)
        assert flow.phase is WORKING
        assert abs(respond(agent, 0.25, flow)["service"] - 0.05) < 1e-9
        send(agent, 0.3, flow, first + 1200)
        assert (flow.phase, flow.requests) == (IDLE, 1)


def test_gaps_of_a_request_are_bounded():
    """Guards against a caller whose packets leave any number of gaps in the memory."""
    agent = make_agent()
    flow = add_flow(agent)
    for i in range(1000):
        send(agent, 0.001 * i, flow, 1 + 2 * i, 1)
    assert len(flow.gaps) == packet_gaps.MAX_RANGES
    assert flow.phase is RECEIVING


def test_flows_that_send_a_request_are_bounded():
    """Guards against any number of slow callers, which fill the upstream's memory."""
    agent = make_agent()
    for number in range(flow_set.MAX_RECEIVING + 5):
        send(agent, 0.0, add_flow(agent, number), 1)
    assert agent.flows.occupied == 5
    agent.flows.clear()
    assert agent.flows.occupied == 0


def test_wait_in_the_queue_of_the_upstream_is_no_service_time():
    """Guards against an expected wait that counts the upstream's queue twice."""
    agent = make_agent(slots=1)
    first, second, shed = (add_flow(agent, n) for n in range(3))
    for flow in (first, second, shed):
        send(agent, 0.0, flow, 1, 10)
    assert agent.tracker.record_response(0.001, shed) == []
    assert abs(respond(agent, 0.04, first)["service"] - 0.04) < 1e-9
    assert abs(respond(agent, 0.09, second)["service"] - 0.05) < 1e-9
    assert agent.busy.utilisation(0.09) > 0


def test_transfer_and_wait_are_measured_apart_from_service():
    """Guards against a slow caller or a full upstream that looks like slow service."""
    agent = make_agent(slots=1)
    first, second = add_flow(agent, 1), add_flow(agent, 2)
    send(agent, 0.0, first, 1, 10)
    send(agent, 0.0, second, 1)
    send(agent, 0.25, second, 1201, 10)
    assert respond(agent, 0.5, first) == {"service": 0.5}
    measured = respond(agent, 1.0, second)
    assert measured == {"service": 0.5, "upstream_wait": 0.25, "transfer": 0.25}


def test_request_that_stops_halfway_is_given_up():
    """Guards against callers that vanish and use up the bound on receiving flows."""
    agent = make_agent()
    flow = add_flow(agent)
    send(agent, 0.0, flow, 1)
    send(agent, 0.1, flow, 2401)
    for now, phase in ((8.0, RECEIVING), (8.7, IDLE)):
        agent.tracker.end_silent(now)
        agent.flows.release_stalled(now, 0.15, 8.5)
        assert flow.phase is phase


def test_closed_flows_do_not_count_as_open():
    """Guards against an upstream of many short flows that looks full of long ones."""
    agent = make_agent()
    flow, other = add_flow(agent, 1), add_flow(agent, 2)
    for key in (flow, other):
        send(agent, 0.0, key, 1, 10)
        respond(agent, 0.1, key)
    reset = stream_site.make_packet(flow.key, stream_site.RST, 11)
    for _ in range(2):
        agent.tracker.record_caller_packet(
            0.2, flow, stream_site.CODEC.from_caller(reset)
        )
    assert (len(agent.flows), agent.flows.open_flows) == (2, 1)
    agent.flows.sweep(9.0, 15.0)
    assert (len(agent.flows), agent.flows.open_flows) == (1, 1)
