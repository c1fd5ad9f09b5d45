"""The agent runs each request as often as allowed and reports its true outcome."""

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
    """Guards against a duplicate that runs again or gets no answer.

    Callers retransmit a request when its answer was lost.
    """
    for post in (False, True):
        agent = builders.Agent()
        request = builders.sent_upstream(agent.send_request(post=post))
        assert len(request) == 1
        assert agent.send_request(post=post) == []
        assert builders.responses(agent.answer(request[0].token)) == [(b"t", b"done")]
        again = agent.send_request(post=post)
        assert builders.responses(again) == [(b"t", b"done")]
        assert not builders.sent_upstream(again)


def test_answer_with_an_unknown_token_is_dropped():
    """Guards against an answer that reaches another request or another flow.

    A late or foreign answer carries a token that is not open on this flow.
    """
    agent = builders.Agent()
    token = builders.sent_upstream(agent.send_request())[0].token
    assert not builders.responses(agent.answer(b"another"))
    other_caller = address.Address(0x0A000002, 40000)
    assert not builders.responses(agent.answer(token, caller=other_caller))
    assert builders.responses(agent.answer(token)) == [(b"t", b"done")]
    assert not builders.responses(agent.answer(token))


def test_packet_of_another_class_is_dropped():
    """Guards against a packet for the process that used this address before.

    The sender still has an outdated table, so it gets a mismatch report and its
    lease is not adopted.
    """
    agent = builders.Agent()
    agent.now += 3.0
    (report,) = agent.send_request(class_id=2, lease_ms=1500)
    expected = mismatch.Mismatch(2, agent.link.table.revision)
    assert message_codec.decode(report.body) == expected
    assert agent.core.dropped == {reason.Reason.WRONG_CLASS: 1}
    assert agent.link.right.lease_ms(agent.now) == 0
    assert builders.sent_upstream(agent.send_request(lease_ms=1500))


def _fill_budget(agent):
    """Answer ten requests, which fills the retry budget for one retry."""
    for number in range(1, 11):
        agent.answer(builders.sent_upstream(agent.send_request(number))[0].token)


def test_shed_request_is_retried_only_if_idempotent_and_within_the_budget():
    """Guards against retries that amplify an overload or run a request twice."""
    agent = builders.Agent()
    shed = aiocoap.SERVICE_UNAVAILABLE
    for number in range(1, 11):
        token = builders.sent_upstream(agent.send_request(number))[0].token
        agent.answer(token)
    for number, retries in ((11, 1), (12, 0)):
        token = builders.sent_upstream(agent.send_request(number))[0].token
        actions = agent.answer(token, b"shed", shed)
        assert len(builders.sent_upstream(actions)) == retries, number
        for again in builders.sent_upstream(actions):
            assert again.token != token
            agent.answer(again.token)
    agent = builders.Agent()
    _fill_budget(agent)
    token = builders.sent_upstream(agent.send_request(11, post=True))[0].token
    actions = agent.answer(token, b"shed", shed)
    assert not builders.sent_upstream(actions)
    assert builders.responses(actions) == [(b"t", b"shed")]


def test_request_that_is_not_answered_is_cancelled_and_unknown():
    """Guards against work for a caller that no longer waits, and a false refusal.

    After its deadline the request is cancelled at the upstream. It may have run, so
    the caller gets "unknown".
    """
    agent = builders.Agent()
    request = builders.sent_upstream(agent.send_request(message_id=77, post=True))[0]
    agent.now += 2.0
    agent.grant_lease()
    actions = agent.tick(0.01)
    cancelled = builders.sent_upstream(actions)
    assert [(c.message_id, c.is_empty) for c in cancelled] == [(77, True)]
    assert builders.responses(actions) == [(b"t", UNKNOWN)]
    assert not builders.responses(agent.answer(request.token))
    repeated = agent.send_request(message_id=77, post=True)
    assert builders.responses(repeated) == [(b"t", UNKNOWN)]


def test_drain_completes_open_and_queued_requests():
    """Guards against a graceful shutdown that loses open or queued requests."""
    agent = builders.Agent()
    first = builders.sent_upstream(agent.send_request(1))[0]
    assert not builders.sent_upstream(agent.send_request(2))
    agent.core.handle(agent.now, drain_requested.DrainRequested())
    actions = agent.answer(first.token)
    assert builders.responses(actions) == [(b"t", b"done")]
    second = builders.sent_upstream(actions)
    assert len(second) == 1
    assert builders.responses(agent.answer(second[0].token)) == [(b"t", b"done")]
    assert builders.sent_upstream(agent.send_request(3, post=True))


def test_restart_of_the_upstream_ends_non_idempotent_requests_as_unknown():
    """Guards against a second run after the upstream lost the state of the first."""
    agent = builders.Agent()
    _fill_budget(agent)
    builders.sent_upstream(agent.send_request(11, post=True))
    # The run that is known has missed its next announcement.
    agent.now += 1.5
    actions = agent.announce("run-2")
    assert builders.responses(actions) == [(b"t", UNKNOWN)]
    assert not builders.sent_upstream(actions)


# One announcement of another writer ended all requests, or drained the agent for good.
def test_announcement_of_another_run_changes_nothing_while_the_known_one_lives():
    """Guards against an upstream that is drained or restarted on another's word."""
    agent = builders.Agent()
    first = builders.sent_upstream(agent.send_request(11, post=True))[0]
    for run_id, draining in (("run-x", False), ("run-x", True), ("run-y", True)):
        agent.now += 0.2
        assert not builders.responses(agent.announce(run_id, draining))
    assert not agent.core.link.is_draining
    assert agent.core.dropped[reason.Reason.STALE] == 3
    agent.now += 0.2
    agent.announce("run-1")
    assert builders.responses(agent.answer(first.token)) == [(b"t", b"done")]
    agent.announce("run-1", draining=True)
    assert agent.core.link.is_draining


load_tests = fixtures.load_functions(globals())
