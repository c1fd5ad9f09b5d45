"""Announcements of other writers at the real processes of a site with open flows."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time

from limpetreel.streams import start_succession
from tests import fixtures
from tests.soak import flow_rule
from tests.soak.stand_in import deployment, load

load_tests = fixtures.load_functions(globals())

HOST, PORT = "127.200.0.1", 443
LATER_MS = 60_000
NAMING_NO_TARGET = {
    "unnamed state",
    "unnamed state, own id",
    "other service",
    "missing slots",
    "text as sequence",
    "fraction as start",
}
"""Announcements that are refused at any time."""


def odd_announcements(target):
    """Return announcements of other writers: name, id, changed fields.

    A field whose value is `None` is left out.
    """
    own, later = target.instance, int(time.time() * 1000) + LATER_MS
    return [
        ("unnamed state", "i-other", {"State": "resting", "born": later}),
        ("unnamed state, own id", own, {"State": "resting", "Sequence": 10**6}),
        ("other service", "i-other", {"Backend": "svc-2", "born": later}),
        ("other address", "i-other", {"Address": "127.0.0.9:1", "born": later}),
        ("other zone", "i-other", {"Zone": "zone-x", "born": later}),
        ("missing slots", "i-other", {"MaxConcurrency": None, "born": later}),
        ("text as sequence", "i-other", {"Sequence": "9", "born": later}),
        ("fraction as start", "i-other", {"born": later + 0.5}),
        ("later start", "i-other", {"born": later}),
        ("no start", "i-other", {"born": None}),
        ("later start, own id", own, {"born": later}),
        ("sequence ahead", own, {"Sequence": 10**9}),
        ("draining", "i-other", {"State": "draining", "born": later}),
        ("draining, sequence ahead", own, {"State": "draining", "Sequence": 10**9}),
        ("sign-off", own, None),
    ]


def note_announcements(target):
    """Return the times at which a target makes its announcements from now on."""
    times, make_body = [], target.body

    def body():
        times.append(time.monotonic())
        return make_body()

    target.body = body
    return times


def may_be_overdue(site, target, announced):
    """Return whether the agent may miss the next announcement of its target.

    The agent got the last acknowledged one after it was made.
    """
    acked_at = target.acks[-1][0]
    made_at = max((at for at in announced if at <= acked_at), default=float("-inf"))
    overdue_s = start_succession.OVERDUE_INTERVALS * site.heartbeat_s
    return time.monotonic() - made_at > overdue_s


async def send_odd(site, target, announced, name, instance, changes):
    """Send an announcement of another writer to the agent beside a target."""
    ip = target.machine.ip
    if changes is None:
        path, body = f"/Instances.Deregister/{instance}", b""
    else:
        sequence = target.sequence
        fields = {**target.body(), "WarmupLeftMs": 0, **changes}
        target.sequence = sequence
        announced.pop()
        fields = {key: value for key, value in fields.items() if value is not None}
        path, body = f"/Instances.Heartbeat/{instance}", json.dumps(fields).encode()
    status, _ = await site.call(ip, "POST", path, body)
    is_overdue = may_be_overdue(site, target, announced)
    site.note("odd", name=name, status=status, is_overdue=is_overdue)
    return name, target, status, is_overdue


async def run(folder):
    """Return the site, the odd calls, and the times from which new flows count."""
    site = deployment.Site(
        folder, {"svc": 5}, command=(sys.executable, "-m", "limpetreel")
    )
    try:
        await site.start_all()
        routes = [deployment.route("r-1", HOST, PORT, "svc")]
        document = site.document(routes, [deployment.service("svc")])
        status, _ = await site.replace(document, 30)
        assert status == 200
        await site.wait_ready(40)
        await asyncio.sleep(2)
        announced = [note_announcements(target) for target in site.targets]
        flows = load.LongFlows(site, HOST, PORT, per_client=20)
        await asyncio.sleep(3)
        odd = [
            await send_odd(
                site, target, announced[number], *odd_announcements(target)[number]
            )
            for number, target in enumerate(site.targets)
        ]
        await asyncio.sleep(6)
        mark = time.monotonic()
        more = load.LongFlows(site, HOST, PORT, per_client=40)
        await asyncio.sleep(6)
        await flows.stop()
        await more.stop()
    finally:
        await site.stop()
    return site, odd, mark


# Odd announcements were acknowledged, and their targets got no new flow any more.
def test_living_upstream_keeps_its_flows_and_gets_new_ones():
    """Guards against agents that believe another writer more than their upstream."""
    with tempfile.TemporaryDirectory() as folder:
        site, odd, mark = asyncio.run(run(folder))
    assert not flow_rule.FlowRule(site).broken()
    shut_out = [
        name
        for name, target, _, _ in odd
        if not any(at > mark for at, _ in target.opened)
    ]
    assert not shut_out, shut_out
    # What names no upstream, or is not put into force, is not acknowledged. Another
    # start may be put into force while the target has missed its own announcement.
    own_id = ("sequence ahead", "draining, sequence ahead", "sign-off")
    acked = [(name, late) for name, _, status, late in odd if status == 200]
    believed = [name for name, late in acked if name not in own_id and not late]
    assert not believed, believed
    assert not {name for name, _ in acked} & NAMING_NO_TARGET, acked
