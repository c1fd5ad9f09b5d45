"""Duplicate detection must keep its guarantees when the log is full."""

from __future__ import annotations

from limpetreel.flows import flow_key
from limpetreel.requests import (
    lifetime,
    lookup_result,
    outcome,
    request_key,
    request_log,
)
from limpetreel.wire import address
from tests import fixtures

FLOW = flow_key.FlowKey(1, address.Address(1, 5683))
NOT_RUN = outcome.Outcome.NOT_RUN
UNKNOWN = outcome.Outcome.UNKNOWN


def _key(number, resend_id=b""):
    return request_key.RequestKey(FLOW, number, resend_id)


def test_sent_request_never_ends_as_not_run():
    """Guards against "not run" for a request that reached the upstream."""
    log = request_log.RequestLog()
    log.begin(0, _key(1), False)
    log.mark_sent(_key(1))
    assert log.finish(_key(1), NOT_RUN) is UNKNOWN
    assert log.refuse(0, _key(1), cannot_run_elsewhere=True) is UNKNOWN


def test_duplicate_gets_the_recorded_answer():
    """Guards against a second run under a new message id."""
    log = request_log.RequestLog()
    assert log.begin(0, _key(1, b"tag"), False).kind is lookup_result.Kind.NEW
    assert log.begin(1, _key(2, b"tag"), False).kind is lookup_result.Kind.OPEN
    log.finish(_key(1, b"tag"), outcome.Outcome.ANSWERED, b"a")
    again = log.begin(2, _key(3, b"tag"), False)
    assert (again.kind, again.answer) == (lookup_result.Kind.REPEATED, b"a")


def test_full_log_refuses_and_evicts_nothing():
    """Guards against an evicted record whose request then runs again."""
    log = request_log.RequestLog(max_records=2, max_refusals=1)
    for number in (1, 2):
        log.begin(0, _key(number), False)
        log.finish(_key(number), outcome.Outcome.ANSWERED, b"a")
    end = lifetime.EXCHANGE_SECONDS
    assert log.begin(end - 1, _key(3), False).kind is lookup_result.Kind.FULL
    assert log.begin(end - 1, _key(4), True).kind is lookup_result.Kind.NEW
    assert log.begin(end - 1, _key(1), False).kind is lookup_result.Kind.REPEATED
    assert log.refuse(end - 1, _key(3), cannot_run_elsewhere=True) is NOT_RUN
    assert log.refuse(end - 1, _key(5), cannot_run_elsewhere=True) is None
    assert log.begin(end + 1, _key(6), False).kind is lookup_result.Kind.NEW
    assert len(log) == 2


def test_copy_of_a_refused_request_is_refused():
    """Guards against running a request after its caller received "not run"."""
    log = request_log.RequestLog(max_records=0)
    assert log.begin(0, _key(1), False).kind is lookup_result.Kind.FULL
    assert log.refuse(0, _key(1), cannot_run_elsewhere=True) is NOT_RUN
    assert log.begin(1, _key(1), False).outcome is NOT_RUN


def test_refusal_without_lease_is_unknown():
    """Guards against "not run" from an agent whose successor runs the request."""
    log = request_log.RequestLog()
    log.begin(0, _key(1), False)
    assert log.refuse(0, _key(1), cannot_run_elsewhere=False) is UNKNOWN


def test_open_request_is_kept_beyond_its_lifetime():
    """Guards against removing a request that the upstream still runs."""
    log = request_log.RequestLog()
    log.begin(0, _key(1), False)
    assert log.begin(1000, _key(1), False).kind is lookup_result.Kind.OPEN


def test_answers_are_bounded_in_bytes():
    """Guards against unbounded memory for kept answers."""
    log = request_log.RequestLog(max_answer_bytes=10)
    for number in (1, 2):
        log.begin(0, _key(number), False)
        log.finish(_key(number), outcome.Outcome.ANSWERED, b"12345678")
    assert log.begin(1, _key(1), False).answer == b"12345678"
    assert log.begin(1, _key(2), False).answer == b""


load_tests = fixtures.load_functions(globals())
