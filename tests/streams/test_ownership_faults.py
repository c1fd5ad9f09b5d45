"""Random restarts of agents and entries, with messages that are lost or late."""

from __future__ import annotations

from tests import fixtures
from tests.streams import faulty_site, stream_site, test_ended_flows

load_tests = fixtures.load_functions(globals())

SEEDS = (9, 12, 18, 19, 22, 23)
FAULT_SECONDS = 15.0
LOSS = 0.05
"""Share of messages that are lost while a link is at its limit."""
LATE = 0.2
MAX_LATE_SECONDS = 0.3


def make_run(seed):
    """Return a site after random faults, its callers and the owners of their flows."""
    site = faulty_site.make_site(seed, upstreams=8, entries=3)
    callers = test_ended_flows.open_flows(site, 24)
    owners = faulty_site.owners(site, callers)
    test_ended_flows.listen(site, callers)
    random = site.random

    def delay(source, target, message):
        if random.random() < LOSS:
            return None
        late = random.random() < LATE
        return stream_site.LINK_SECONDS + late * random.uniform(0.0, MAX_LATE_SECONDS)

    def restart_agent(now):
        name = random.choice(site.names)
        if name in site.down:
            return
        site.down.add(name)
        site.after(random.uniform(0.1, 3.0), lambda at: start_agent(name))

    def start_agent(name):
        site.down.discard(name)
        faulty_site.restart_agents(site, [name])

    def restart_entry(now):
        site.start_entry(random.choice(list(site.entries)))

    def change_list(now):
        site.is_list_current = not site.is_list_current
        site.update_all()

    def request(now):
        caller = random.choice(callers)
        caller.is_over = False
        site.callers[caller.flow] = caller
        sequence = random.getrandbits(30)
        packet = stream_site.make_packet(
            caller.flow, stream_site.ACK, sequence, caller.first + 3, b"??"
        )
        for seconds in (0.0, 0.2, 0.6):
            site.after(seconds, lambda at: test_ended_flows.send(site, caller, packet))

    site.delay = delay
    for event, count in (
        (restart_agent, 5),
        (restart_entry, 4),
        (change_list, 2),
        (request, 200),
    ):
        for _ in range(count):
            site.after(random.uniform(0.0, FAULT_SECONDS), event)
    site.run(site.now + FAULT_SECONDS + 3.0)
    return site, callers, owners


def test_living_flows_survive_random_faults():
    """Guards against resets of living flows, and packets that reach other upstreams."""
    for seed in SEEDS:
        site, callers, owners = make_run(seed)
        reset = [c.flow for c in callers if c.request.refused]
        assert not reset, seed
        assert not site.misdirected(owners), seed
