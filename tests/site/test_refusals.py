"""A request that was refused as not run must not run later."""

from __future__ import annotations

from limpetreel.agent.events import drain_requested
from limpetreel.requests import outcome as outcomes
from tests import fixtures
from tests.site import fuzz_site

SEED = 5


def _refuse_request(idempotent):
    """Return a site whose agents drain, the caller and its refused request."""
    site = fuzz_site.FuzzSite(SEED, zone_count=2, class_count=1, agent_count=2)
    for node in site.agents.values():
        node.handle(drain_requested.DrainRequested())
    caller = next(iter(site.callers.values()))
    reply = caller.request(idempotent)
    site.queue.run_until(site.queue.now + 0.5)
    assert reply.received_outcomes == [outcomes.Outcome.NOT_RUN]
    return site, caller, reply


def test_request_that_a_lost_owner_has_run_is_not_refused_as_not_run():
    """Guards against "not run" from a new owner that knows only the flow directory."""
    site = fuzz_site.FuzzSite(SEED, zone_count=2, class_count=1, agent_count=2)
    caller = next(iter(site.callers.values()))
    reply = caller.request(idempotent=True)
    site.queue.run_until(site.queue.now + 1.0)
    assert reply.received_outcomes == [outcomes.Outcome.ANSWERED]
    owner = site.runs[reply.key][0][1]
    site.crash_agent(owner)
    site.queue.run_until(site.queue.now + 7.0)
    for node in site.agents.values():
        node.handle(drain_requested.DrainRequested())
    _send_copy_later(site, caller, 0.0)
    assert reply.received_outcomes == [
        outcomes.Outcome.ANSWERED,
        outcomes.Outcome.UNKNOWN,
    ]


def _send_copy_later(site, caller, seconds):
    site.queue.run_until(site.queue.now + seconds)
    site.resend(caller, caller.datagrams[0], 0.0)
    site.queue.run_until(site.queue.now + 1.0)


def test_refusal_survives_the_removal_of_the_zone():
    """Guards against a new owner that does not know of the refusal and runs a copy."""
    for idempotent in (True, False):
        site, caller, reply = _refuse_request(idempotent)
        for name in list(site.agents):
            zone = site.agents[name].zone
            site.add_agent("class-0", zone)
        site.take_zone_out(site.zones[0])
        _send_copy_later(site, caller, 3.0)
        assert reply.key not in site.runs
        assert set(reply.received_outcomes) == {outcomes.Outcome.NOT_RUN}


def test_refused_non_idempotent_request_does_not_run_after_all_agents_restarted():
    """Guards against running a late copy after all records of the refusal are lost."""
    site, caller, reply = _refuse_request(idempotent=False)
    for name in list(site.agents):
        site.restart_agent(name)
    _send_copy_later(site, caller, 8.0)
    assert reply.key not in site.runs


def test_refused_idempotent_request_does_not_run_after_all_agents_restarted():
    """Guards against running a late copy after all records of the refusal are lost."""
    site, caller, reply = _refuse_request(idempotent=True)
    for name in list(site.agents):
        site.restart_agent(name)
    _send_copy_later(site, caller, 8.0)
    assert reply.key not in site.runs


def test_refused_request_does_not_run_after_its_primary_crashed():
    """Guards against a refusal that only the primary of the bucket has recorded."""
    site, caller, reply = _refuse_request(idempotent=False)
    for name in list(site.agents):
        site.add_agent("class-0", site.agents[name].zone)
    site.queue.run_until(site.queue.now + 2.0)
    for name in list(site.agents)[:2]:
        site.crash_agent(name)
    _send_copy_later(site, caller, 8.0)
    assert reply.key not in site.runs


load_tests = fixtures.load_functions(globals())
