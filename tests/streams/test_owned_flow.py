"""Tests of the state of a flow at the agent that owns it."""

from __future__ import annotations

from limpetreel.streams import flow_phase, owned_flow
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def make_flow():
    """Return a flow of which nothing has been seen."""
    return owned_flow.OwnedFlow(b"k" * 12, 0.0, flow_phase.FlowPhase.IDLE)


# A reset with number 0 is ignored by a caller that has acknowledged much more.
def test_reset_of_a_flow_older_than_the_agent_is_near_what_its_caller_has():
    """Guards against callers that wait for an upstream that has ended."""
    flow = make_flow()
    assert flow.reset_ack is None
    flow.record_sent(3_000_000_000, 500)
    flow.record_sent(2_999_999_000, 1000)
    assert flow.reset_ack == 3_000_000_500
    flow.record_sent(2**32 - 1, 11)
    assert flow.reset_ack == 10
    flow.caller_ack = 0
    assert flow.reset_ack == 0


def test_number_of_the_caller_is_not_judged_before_the_handshake_is_known():
    """Guards against a flow that is denied since the agent has started again."""
    flow = make_flow()
    flow.record_sent(3_000_000_000, 500)
    assert flow.has_sent(7)
