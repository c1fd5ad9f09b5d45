"""An agent of a removed zone must fall silent."""

from __future__ import annotations

from tests import fixtures
from tests.agent import builders


def test_requests_that_wait_are_not_sent_after_the_zone_was_taken_out():
    """Guards against packets in a removed zone from the queue of an upstream."""
    agent = builders.Agent()
    first = builders.sent(agent.ask(1))[0]
    assert not builders.sent(agent.ask(2))
    agent.table(serving=False)
    assert not builders.sent(agent.tick(0.01))
    assert not builders.sent(agent.answer(first.token))
    agent.now += 2.0
    agent.lease()
    assert not builders.sent(agent.tick(0.1))


def test_requests_that_wait_do_not_run_after_the_zone_came_back():
    """Guards against a run here of a flow that another agent owns by now."""
    agent = builders.Agent()
    first = builders.sent(agent.ask(1))[0]
    assert not builders.sent(agent.ask(2, post=True))
    agent.table(serving=False)
    agent.tick(0.01)
    agent.table(serving=True)
    agent.tick(0.01)
    actions = agent.answer(first.token)
    assert builders.told(actions) == [(b"t", b"done")]
    assert not builders.sent(actions)
    assert not builders.sent(agent.tick(0.5))


load_tests = fixtures.load_functions(globals())
