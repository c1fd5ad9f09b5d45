"""Tests that no flow is reset on a belief about its upstream that may be wrong.

Announcements may be late, come from another writer, or be the first that an agent hears
for other reasons than a start. The upstream itself says whether it holds a flow.
"""

from __future__ import annotations

import subprocess
import sys
import time

from limpetreel.streams.events import (
    agent_leaving,
    upstream_announced,
    upstream_departed,
)
from tests import fixtures
from tests.streams import faulty_site, stream_site, test_ended_flows

load_tests = fixtures.load_functions(globals())


def announce(site, name, **changes):
    """Pass an announcement with changes to an agent."""
    status = stream_site.replace(site.upstreams[name].status(), **changes)
    site.to_core(name, upstream_announced.UpstreamAnnounced(status))


def assert_all_answered(site, callers):
    """Check that the flows of callers live."""
    test_ended_flows.send_again(site, callers)
    assert not any(c.request.refused for c in callers)
    assert all(c.request.answered_at is not None for c in callers)


def restarted_upstreams(seed):
    """Return a site whose upstreams have restarted, and callers with flows there."""
    site = test_ended_flows.make_site(seed)
    earlier = {name: u.status() for name, u in site.upstreams.items()}
    for name, upstream in site.upstreams.items():
        upstream.restart()
        site.announce(name)
    return site, earlier, test_ended_flows.open_flows(site, 40)


# Agents reset all flows when a late announcement came first after their own restart.
def test_late_announcement_of_an_earlier_start_resets_no_flow():
    """Guards against resets of flows that were opened on the present start."""
    site, earlier, callers = restarted_upstreams(61)
    for name, status in earlier.items():
        site.start_agent(name)
        site.to_core(name, upstream_announced.UpstreamAnnounced(status))
    seen, unseen = callers[:20], callers[20:]
    assert_all_answered(site, seen)
    test_ended_flows.listen(site, seen)
    for name in site.names:
        site.announce(name)
    # The present start is believed once the late one has missed an announcement.
    site.run(site.now + 3 * stream_site.ANNOUNCEMENT_SECONDS)
    for name, agent in site.agents.items():
        current = site.upstreams[name]
        assert agent.upstream.status.instance_id == f"i-{name}-{current.start}"
    for name in list(site.entries):
        site.start_entry(name)
    assert_all_answered(site, unseen)
    assert not any(c.request.refused for c in seen)


# One announcement with another id took the place of an upstream that lives.
def test_announcement_of_another_writer_resets_no_flow():
    """Guards against resets on the word of something that is not the upstream."""
    site = test_ended_flows.make_site(62)
    callers = test_ended_flows.open_flows(site, 40)
    for name in site.names:
        announce(site, name, instance_id="i-x", started_ms=9, is_draining=True)
    assert_all_answered(site, callers)
    before = len(site.opened)
    test_ended_flows.open_flows(site, 10)
    assert len(site.opened) >= before + 10
    # The upstreams go on announcing themselves.
    site.run(site.now + 6 * stream_site.ANNOUNCEMENT_SECONDS)
    assert all(site.agents[n].is_accepting(site.now) for n in site.names)


# An announcement with another id, valid in all its fields, reset all flows.
def test_announcement_with_another_id_resets_no_flow_that_the_upstream_holds():
    """Guards against resets when a process beside the upstream announces itself."""
    site = test_ended_flows.make_site(63)
    callers = test_ended_flows.open_flows(site, 40)
    test_ended_flows.listen(site, callers)
    for name in site.names:
        announce(site, name, instance_id="i-x", started_ms=9)
    assert_all_answered(site, callers)
    # After a sign-off of another writer its announcement is believed at once.
    test_ended_flows.listen(site, callers)
    for name in site.names:
        site.to_core(name, upstream_departed.UpstreamDeparted(f"i-{name}-0"))
        announce(site, name, instance_id="i-y", started_ms=10)
        assert site.agents[name].upstream.status.instance_id == "i-y"
    site.run(site.now + 6 * stream_site.ANNOUNCEMENT_SECONDS)
    assert not any(c.request.refused for c in callers)
    for name, agent in site.agents.items():
        assert agent.upstream.status.instance_id == f"i-{name}-0"


# A sign-off that belonged to an earlier start with the same id shut an upstream out.
def test_late_sign_off_of_an_earlier_start_resets_no_flow():
    """Guards against resets when the agent beside a living upstream restarts."""
    site = test_ended_flows.make_site(66)
    callers = test_ended_flows.open_flows(site, 40)
    test_ended_flows.listen(site, callers)
    for name in site.names:
        site.to_core(name, upstream_departed.UpstreamDeparted(f"i-{name}-0"))
        assert not site.agents[name].is_accepting(site.now)
        site.announce(name)
        assert site.agents[name].is_accepting(site.now)
        site.to_core(name, agent_leaving.AgentLeaving())
    assert_all_answered(site, callers)


# An agent that was stopped after a foreign sign-off reset all flows of its upstream.
def test_sign_off_alone_resets_no_flow_when_the_agent_leaves():
    """Guards against resets on a sign-off of another writer."""
    site = test_ended_flows.make_site(67)
    callers = test_ended_flows.open_flows(site, 40)
    test_ended_flows.listen(site, callers)
    for name in site.names:
        site.to_core(name, upstream_departed.UpstreamDeparted(f"i-{name}-0"))
        site.to_core(name, agent_leaving.AgentLeaving())
    assert_all_answered(site, callers)
    site.run(site.now + 3 * stream_site.ANNOUNCEMENT_SECONDS)
    assert not any(c.request.refused for c in callers)
    assert not any(a.upstream.has_ended for a in site.agents.values())


# Agents that restarted within the first interval denied flows that they had placed.
def test_first_announcement_that_an_agent_hears_is_no_proof_of_a_start():
    """Guards against resets of flows that an earlier process has placed."""
    site = test_ended_flows.make_site(64)
    for name in site.names:
        site.upstreams[name].restart()
    for name in site.names:
        announce(site, name, sequence=0)
    callers = test_ended_flows.open_flows(site, 40)
    for name in site.names:
        site.start_agent(name)
        announce(site, name, sequence=1)
    faulty_site.restart_entries(site)
    assert_all_answered(site, callers)


# A processor clock that ran with the steady clock made agents older than upstreams.
def test_age_of_the_agent_does_not_depend_on_its_processor_clock():
    """Guards against an agent that takes itself for older than it is."""
    before = time.monotonic()
    program = (
        "import time; time.process_time = lambda: 50_000.0\n"
        "from limpetreel import platform_factory\n"
        "print(platform_factory._read_process_start().at)"
    )
    started_at = subprocess.check_output([sys.executable, "-c", program])
    assert before <= float(started_at) <= time.monotonic()


# Entries reset flows of an agent that had joined after their last update.
def test_flow_is_not_reset_on_a_list_that_is_older_than_the_flow():
    """Guards against resets of flows of an agent that the entry does not know yet."""
    site = faulty_site.make_site(65)
    callers = test_ended_flows.open_flows(site, 40)
    assert faulty_site.owners(site, callers, "agent-5")
    site.unlisted = {"agent-5"}
    faulty_site.restart_entries(site)
    site.update_all()
    site.run(site.now + 0.1)
    site.update_seconds = 0.5
    site.after(0.4, lambda at: site.unlisted.clear())
    test_ended_flows.send_again(site, callers, 0.8)
    assert not any(c.request.refused for c in callers)
    assert all(c.request.answered_at is not None for c in callers)
