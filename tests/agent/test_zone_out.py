"""An agent sends nothing to its upstream once its zone was taken out."""

from __future__ import annotations

from tests import fixtures
from tests.agent import builders


def test_queued_requests_are_not_sent_after_the_zone_was_taken_out():
    """Guards against packets in a removed zone from the queue of an agent."""
    agent = builders.Agent()
    first = builders.sent_upstream(agent.send_request(1))[0]
    assert not builders.sent_upstream(agent.send_request(2))
    agent.update_table(serving=False)
    assert not builders.sent_upstream(agent.tick(0.01))
    assert not builders.sent_upstream(agent.answer(first.token))
    agent.now += 2.0
    agent.grant_lease()
    assert not builders.sent_upstream(agent.tick(0.1))


def test_queued_requests_do_not_run_after_the_zone_came_back():
    """Guards against a request that runs here although another agent owns its flow.

    While the zone is out, other agents place the flows of queued requests again.
    """
    agent = builders.Agent()
    first = builders.sent_upstream(agent.send_request(1))[0]
    assert not builders.sent_upstream(agent.send_request(2, post=True))
    agent.update_table(serving=False)
    agent.tick(0.01)
    agent.update_table(serving=True)
    agent.tick(0.01)
    actions = agent.answer(first.token)
    assert builders.responses(actions) == [(b"t", b"done")]
    assert not builders.sent_upstream(actions)
    assert not builders.sent_upstream(agent.tick(0.5))


load_tests = fixtures.load_functions(globals())
