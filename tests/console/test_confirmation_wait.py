"""A wait for confirmations must end, and name who is missing."""

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
    """Run a wait on a fake clock against a list of answers, the last one repeated."""
    now = [0.0]
    left = list(answers)

    def sleep(seconds):
        now[0] += seconds

    def call(body):
        assert body == {"type": "confirmations"}
        return left.pop(0) if len(left) > 1 else left[0]

    line = progress.Progress(io.StringIO())
    waiting = confirmation_wait.ConfirmationWait(call, line, lambda: now[0], sleep)
    return waiting.run(7, limit), now[0]


def _state(revision, *members):
    return {"revision": revision, "members": list(members)}


def test_ends_once_all_have_confirmed():
    first = _state(7, _member("a", 7), _member("b", 6))
    found, ended_at = _wait([first, first, _state(7, _member("a", 7), _member("b", 9))])
    assert not found.missing(7) and 0 < ended_at < 2


def test_ends_at_the_limit_and_names_places():
    """Guards against an endless wait for a member that is behind."""
    found, ended_at = _wait([_state(7, _member("a", 7), _member("b", 6))])
    assert ended_at >= 2
    assert (
        confirmations.describe_locations(found.missing(7))
        == "region west: zone zone-of-b (1)"
    )


def test_silent_member_does_not_block_but_region_is_named():
    """Guards against a wait for failed members, and against a hidden cut-off region."""
    dead = _member("b", 6, age=60.0)
    found, ended_at = _wait([_state(7, _member("a", 7), dead)])
    assert ended_at == 0 and found.not_renewing(7) and not found.cut_off_regions(7)
    far = _member("c", 6, age=60.0, region="east")
    found, _ = _wait([_state(7, _member("a", 7), far)])
    assert found.cut_off_regions(7) == ["east"]


def test_instance_that_is_behind_is_not_believed():
    """Guards against confirmation by an instance that misses the change itself."""
    found, ended_at = _wait([_state(6, _member("a", 7))])
    assert ended_at >= 2 and found.revision == 6


def test_unusable_answers_are_failures():
    """Guards against an exception when control is older or unreachable."""
    lost = failure.Failure(reason.Reason.TIMEOUT, "operator.call")
    for answer in (lost, {"status": "rejected", "detail": "unknown type"}):
        found, _ = _wait([answer])
        assert isinstance(found, failure.Failure)


load_tests = fixtures.load_functions(globals())
