"""A wait for confirmations must end and name the missing members."""

from __future__ import annotations

import io

from limpetreel.console import confirmation_wait, confirmations, progress
from limpetreel.core import failure, reason
from tests import fixtures


def _member(name, revision, age=0.3, region="west"):
    return {
        "name": name,
        "zone": f"zone-of-{name}",
        "region": region,
        "revision": revision,
        "age_s": age,
    }


def _wait(answers, limit=2.0):
    """Run a wait on a fake clock against a list of answers; the last one repeats."""
    now = [0.0]
    remaining = list(answers)

    def sleep(seconds):
        now[0] += seconds

    def call(body):
        assert body == {"type": "confirmations"}
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    line = progress.Progress(io.StringIO())
    wait = confirmation_wait.ConfirmationWait(call, line, lambda: now[0], sleep)
    return wait.run(7, limit), now[0]


def _state(revision, *members):
    return {"revision": revision, "members": list(members)}


def test_ends_once_all_have_confirmed():
    first = _state(7, _member("a", 7), _member("b", 6))
    state, ended_at = _wait([first, first, _state(7, _member("a", 7), _member("b", 9))])
    assert not state.missing(7) and 0 < ended_at < 2


def test_ends_at_the_limit_and_names_locations():
    """Guards against an endless wait for a member that does not confirm."""
    state, ended_at = _wait([_state(7, _member("a", 7), _member("b", 6))])
    assert ended_at >= 2
    assert (
        confirmations.describe_locations(state.missing(7))
        == "region west: zone zone-of-b (1)"
    )


def test_member_without_renewals_does_not_block_but_region_is_named():
    """Guards against a wait for failed members, and against a hidden cut-off region."""
    failed = _member("b", 6, age=60.0)
    state, ended_at = _wait([_state(7, _member("a", 7), failed)])
    assert ended_at == 0 and state.not_renewing(7) and not state.cut_off_regions(7)
    remote = _member("c", 6, age=60.0, region="east")
    state, _ = _wait([_state(7, _member("a", 7), remote)])
    assert state.cut_off_regions(7) == ["east"]


def test_instance_with_an_older_table_does_not_confirm():
    """Guards against confirmation by an instance that lacks the change itself."""
    state, ended_at = _wait([_state(6, _member("a", 7))])
    assert ended_at >= 2 and state.revision == 6


def test_unusable_answers_are_failures():
    """Guards against an exception when control is older or unreachable."""
    timeout = failure.Failure(reason.Reason.TIMEOUT, "operator.call")
    for answer in (timeout, {"status": "rejected", "detail": "unknown type"}):
        state, _ = _wait([answer])
        assert isinstance(state, failure.Failure)


load_tests = fixtures.load_functions(globals())
