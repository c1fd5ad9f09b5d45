"""Each token on the upstream side identifies one request."""

from __future__ import annotations

from tests import fixtures
from tests.agent import builders


def test_tokens_of_two_incarnations_differ():
    """Guards against a late answer that reaches a request of a restarted agent.

    The upstream still answers a request of the earlier process on the same port.
    """
    agents = [builders.Agent(incarnation=number) for number in (10, 11)]
    tokens = [builders.sent_upstream(a.send_request())[0].token for a in agents]
    assert tokens[0] != tokens[1]


load_tests = fixtures.load_functions(globals())
