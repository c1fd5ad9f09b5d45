"""Service of requests that take long to arrive."""

from __future__ import annotations

from tests import fixtures
from tests.streams.serving import load_site

load_tests = fixtures.load_functions(globals())

UPLOAD_PACKETS = 34
TRANSFER_SECONDS = (0.15, 0.8)


def upload(site, per_second, seconds):
    """Let callers upload 40 kB each."""
    return load_site.single_requests(
        site, load_site.UPLOADS, per_second, seconds, UPLOAD_PACKETS, TRANSFER_SECONDS
    )


def test_uploads_are_not_refused_while_slots_are_free():
    """Guards against uploads that hold a slot while they still arrive.

    Ten upstreams of three slots need 5 ms for each of 50 uploads a second, so the slots
    are busy for 1 % of the time. When a slot counted as held from the first byte, most
    openings were answered `BUSY`.
    """
    site = load_site.make_site(31, [1.0] * 4, 3)
    site.run(0.1)
    flows = upload(site, 50, 6)
    site.run(10)
    busy = [m for _, _, m in site.verdicts if m.outcome.name == "BUSY"]
    assert load_site.in_time(flows) >= 0.99
    assert len(busy) <= 0.02 * len(flows)


def test_transfer_is_no_service_time():
    """Guards against an expected wait of the time that uploads take to arrive."""
    site = load_site.make_site(32, [1.0], 3)
    site.run(0.1)
    flows = upload(site, 5, 6)
    site.run(10)
    assert len(flows) > 20
    assert max(m.service_ms for at, _, m in site.verdicts if at > 5) <= 15
