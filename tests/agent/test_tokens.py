"""Tokens towards the upstream must name one request."""

from __future__ import annotations

from tests import fixtures
from tests.agent import builders


def test_tokens_of_two_incarnations_differ():
    """Guards against an answer to the earlier process that reaches a new request."""
    tokens = [
        builders.sent(builders.Agent(incarnation=number).ask())[0].token
        for number in (10, 11)
    ]
    assert tokens[0] != tokens[1]


load_tests = fixtures.load_functions(globals())
