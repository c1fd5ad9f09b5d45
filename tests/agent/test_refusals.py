"""An agent reports "not run" only for requests that cannot have run."""

from __future__ import annotations

from limpetreel.agent.events import drain_requested
from limpetreel.wire import address
from tests import fixtures
from tests.agent import builders

NOT_RUN, UNKNOWN = b"not run", b"unknown"
MAX_CALLERS = 100


def _refused(agent, post):
    """Return the response to a request of a new flow that no agent accepts."""
    agent.core.handle(agent.now, drain_requested.DrainRequested())
    return builders.responses(agent.send_request(post=post))


def test_new_flow_is_refused_as_not_run_only_without_a_departure():
    """Guards against "not run" for a request that a lost owner has run.

    An agent that restarted cannot know what its earlier incarnation ran.
    """
    for post in (False, True):
        assert _refused(builders.Agent(), post) == [(b"t", NOT_RUN)]
    restarted = builders.Agent(first_incarnation=9)
    assert _refused(restarted, post=False) == [(b"t", UNKNOWN)]
    assert _refused(builders.Agent(first_incarnation=9), post=True) == [(b"t", UNKNOWN)]


def test_refusal_is_recorded():
    """Guards against a late copy that runs after the request was refused."""
    agent = builders.Agent()
    first = builders.sent_upstream(agent.send_request(1))[0]
    # The first new flows are queued, until one is refused.
    for number in range(2, MAX_CALLERS):
        refused_caller = address.Address(0x0A000000 + number, 40000)
        actions = agent.send_request(2, caller=refused_caller)
        if builders.responses(actions) == [(b"t", NOT_RUN)]:
            break
    else:
        raise AssertionError(f"no request of {MAX_CALLERS - 2} callers was refused")
    agent.answer(first.token)
    actions = agent.send_request(2, caller=refused_caller)
    assert builders.responses(actions) == [(b"t", NOT_RUN)]
    assert not builders.sent_upstream(actions)


load_tests = fixtures.load_functions(globals())
