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


load_tests = fixtures.load_functions(globals())
