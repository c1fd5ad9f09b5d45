"""Slopes of a site that runs on a simulated clock and network."""

from __future__ import annotations

import collections

from limpetreel.core import failure
from limpetreel.measure import fake_site, upstream_profile
from limpetreel.slopes import design_size, slope
from limpetreel.wire import address, frame, kind, message_codec

ONE_WAY_SECONDS = 0.0015
REQUESTS = 40
IDLE_SECONDS = 20.0
CLAIM_TYPES = ("ClaimRequest", "ClaimAck", "ClaimResult")


def slopes(member_counts: tuple[int, ...], seconds: float) -> list[slope.Slope]:
    """Return the cost of claims and the control traffic of an idle node.

    Parameters
    ----------
    member_counts : tuple of int
        Numbers of agents of the class at which claims are measured.
    seconds : float
        Simulated time without load.
    """
    costs = {n: _claim_cost(n) for n in member_counts}
    messages = {float(n): cost[0] for n, cost in costs.items()}
    sizes = {float(n): cost[1] for n, cost in costs.items()}
    idle = {float(n): _idle_bytes_per_second(n, seconds) for n in (3, 5, 7)}
    per = "agents of the class"
    return [
        slope.fit("agent.claim_messages", per, "messages per POST", messages, 4),
        slope.fit("agent.claim_bytes", per, "bytes per POST", sizes, 4),
        slope.fit(
            "node.bytes_at_rest",
            "zones in the node's region",
            "bytes/s sent and received by an entry",
            idle,
            design_size.ZONES / 3,
        ),
    ]


def _site(zone_count: int) -> fake_site.FakeSite:
    zones = tuple(f"zone-{i}" for i in range(zone_count))
    site = fake_site.FakeSite(zones, ONE_WAY_SECONDS, seed=1)
    site.queue.run_until(1.0)
    for zone in zones:
        site.change("zone_create", zone, region="local")
    site.change("class_create", "class-0", capacity=1000, answer_ms=500)
    site.queue.run_until(1.5)
    for zone in zones:
        site.start_entry(f"entry-{zone}", zone)
    return site


def _claim_cost(members: int) -> tuple[float, float]:
    """Return the messages and bytes per POST that claims need."""
    site = _site(3)
    profile = upstream_profile.UpstreamProfile(64, 0.01, 0.01)
    for i in range(members):
        name = f"agent-{i}"
        site.start_upstream(name, profile)
        site.start_agent("class-0", name, site.zones[i % 3])
    site.queue.run_until(12.0)
    caller = site.add_caller(1)
    counts: collections.Counter[str] = collections.Counter()
    forward = site.network.send

    def count(source: address.Address, target: address.Address, data: bytes) -> None:
        name = _message_name(data)
        if name in CLAIM_TYPES:
            counts["messages"] += 1
            counts["bytes"] += len(data)
        forward(source, target, data)

    site.network.send = count  # type: ignore[method-assign]
    callers = [caller, *(site.add_caller(1) for _ in range(REQUESTS - 1))]
    for i, post_caller in enumerate(callers):
        site.queue.run_until(12.0 + i / 4)
        post_caller.request(idempotent=False)
    site.queue.run_until(13.0 + REQUESTS / 4)
    answered = sum(bool(r.upstream) for c in callers for r in c.requests)
    return counts["messages"] / answered, counts["bytes"] / answered


def _message_name(data: bytes) -> str:
    if data[1] != kind.Kind.MESSAGE:
        return ""
    message = message_codec.decode(data[frame.HEADER.size : -frame.TAG_BYTES])
    return "" if isinstance(message, failure.Failure) else type(message).__name__


def _idle_bytes_per_second(zone_count: int, seconds: float) -> float:
    """Return the bytes per second to and from one idle entry."""
    site = _site(zone_count)
    site.queue.run_until(10.0)
    entry_address = site.entries["entry-zone-0"].address
    total = 0
    forward = site.network.send

    def count(source: address.Address, target: address.Address, data: bytes) -> None:
        nonlocal total
        if entry_address in (source, target):
            total += len(data)
        forward(source, target, data)

    site.network.send = count  # type: ignore[method-assign]
    site.queue.run_until(10.0 + seconds)
    return total / seconds
