"""Operator commands must tolerate an election and an instance that is down."""

from __future__ import annotations

from limpetreel.console import operator_client
from limpetreel.core import failure, reason
from tests import fixtures

ADDRESSES = (("127.0.0.1", 1), ("127.0.0.1", 2), ("127.0.0.1", 3))
DOWN = failure.Failure(reason.Reason.TIMEOUT, "operator.call")


class _Client(operator_client.OperatorClient):
    """Client that takes the answers of the instances from a list."""

    def __init__(self, answers):
        super().__init__(ADDRESSES, b"operator key of the test")
        self.answers = list(answers)

    def _ask(self, url, data):
        return self.answers.pop(0)


def test_command_waits_for_the_election_although_an_instance_is_down():
    """Guards against a command that fails because the leader has just failed."""
    not_leader = {"status": "not leader", "detail": ""}
    applied = {"status": "applied", "revision": 4}
    client = _Client([not_leader, not_leader, DOWN, not_leader, applied])
    assert client.call({"type": "zone_in"}) == applied
    client = _Client([DOWN, DOWN, DOWN])
    assert client.call({"type": "zone_in"}) == DOWN
    assert not client.answers


load_tests = fixtures.load_functions(globals())
