"""The agent must never say or do more than it knows."""

from __future__ import annotations

import aiocoap

from limpetreel.agent.events import drain_requested
from limpetreel.core import reason
from limpetreel.messages import mismatch
from limpetreel.wire import address, message_codec
from tests import fixtures
from tests.agent import builders

UNKNOWN = b"unknown"


def test_duplicates_get_the_recorded_answer():
    """Guards against a second run, and against silence for a lost answer."""
    for post in (False, True):
        agent = builders.Agent()
        request = builders.sent(agent.ask(post=post))
        assert len(request) == 1
        assert agent.ask(post=post) == []
        assert builders.told(agent.answer(request[0].token)) == [(b"t", b"done")]
        again = agent.ask(post=post)
        assert builders.told(again) == [(b"t", b"done")]
        assert not builders.sent(again)


def test_answer_with_an_unknown_token_is_dropped():
    """Guards against an answer for another request or another flow."""
    agent = builders.Agent()
    token = builders.sent(agent.ask())[0].token
    assert not builders.told(agent.answer(b"another"))
    other = address.Address(0x0A000002, 40000)
    assert not builders.told(agent.answer(token, caller=other))
    assert builders.told(agent.answer(token)) == [(b"t", b"done")]
    assert not builders.told(agent.answer(token))


def test_packet_of_another_class_is_dropped():
    """Guards against a packet for the process that had the address before."""
    agent = builders.Agent()
    agent.now += 3.0
    (report,) = agent.ask(class_id=2, lease_ms=1500)
    expected = mismatch.Mismatch(2, agent.link.table.revision)
    assert message_codec.decode(report.body) == expected
    assert agent.core.dropped == {reason.Reason.WRONG_CLASS: 1}
    assert agent.link.right.lease_ms(agent.now) == 0
    assert builders.sent(agent.ask(lease_ms=1500))


def _fill_budget(agent):
    """Answer the ten requests that allow one retry."""
    for number in range(1, 11):
        agent.answer(builders.sent(agent.ask(number))[0].token)


def test_shed_request_is_retried_only_if_idempotent_and_within_the_budget():
    """Guards against retries that multiply an overload or run a request twice."""
    agent = builders.Agent()
    shed = aiocoap.SERVICE_UNAVAILABLE
    for number in range(1, 11):
        token = builders.sent(agent.ask(number))[0].token
        agent.answer(token)
    for number, retries in ((11, 1), (12, 0)):
        token = builders.sent(agent.ask(number))[0].token
        actions = agent.answer(token, b"shed", shed)
        assert len(builders.sent(actions)) == retries, number
        for again in builders.sent(actions):
            assert again.token != token
            agent.answer(again.token)
    agent = builders.Agent()
    _fill_budget(agent)
    token = builders.sent(agent.ask(11, post=True))[0].token
    actions = agent.answer(token, b"shed", shed)
    assert not builders.sent(actions)
    assert builders.told(actions) == [(b"t", b"shed")]


def test_request_that_is_not_answered_is_cancelled_and_unknown():
    """Guards against work for a caller that has given up, and a false refusal."""
    agent = builders.Agent()
    request = builders.sent(agent.ask(message_id=77, post=True))[0]
    agent.now += 2.0
    agent.lease()
    actions = agent.tick(0.01)
    cancelled = builders.sent(actions)
    assert [(c.message_id, c.is_empty) for c in cancelled] == [(77, True)]
    assert builders.told(actions) == [(b"t", UNKNOWN)]
    assert not builders.told(agent.answer(request.token))
    assert builders.told(agent.ask(message_id=77, post=True)) == [(b"t", UNKNOWN)]


def test_drain_cuts_no_request():
    """Guards against a graceful stop that loses requests that are open or wait."""
    agent = builders.Agent()
    first = builders.sent(agent.ask(1))[0]
    assert not builders.sent(agent.ask(2))
    agent.core.handle(agent.now, drain_requested.DrainRequested())
    actions = agent.answer(first.token)
    assert builders.told(actions) == [(b"t", b"done")]
    second = builders.sent(actions)
    assert len(second) == 1
    assert builders.told(agent.answer(second[0].token)) == [(b"t", b"done")]
    assert builders.sent(agent.ask(3, post=True))


def test_restart_of_the_upstream_ends_non_idempotent_requests_as_unknown():
    """Guards against a second run after the upstream forgot the first."""
    agent = builders.Agent()
    _fill_budget(agent)
    builders.sent(agent.ask(11, post=True))
    actions = agent.announce("run-2")
    assert builders.told(actions) == [(b"t", UNKNOWN)]
    assert not builders.sent(actions)


load_tests = fixtures.load_functions(globals())
