"""Tests of durations on the metrics address."""

from __future__ import annotations

import asyncio

from limpetreel.telemetry import metrics, metrics_server, telemetry
from tests import fixtures

load_tests = fixtures.load_functions(globals())


async def scrape(source, times):
    """Return the last of some scrapes."""
    server = metrics_server.MetricsServer(source, "e1", "entry", lambda *words: None)
    await server.start("127.0.0.1", 0)
    for _ in range(times):
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(b"GET /metrics HTTP/1.1\r\n\r\n")
        found = await reader.read(-1)
        writer.close()
    await server.stop()
    return found.decode()


def test_histogram_keeps_its_counts_over_scrapes():
    """Guards against counts that fall from one scrape to the next."""
    source = metrics.Metrics()
    for seconds in (0.003, 0.03, 3.0):
        source.observe("placement_seconds", seconds)
    text = asyncio.run(scrape(source, 2))
    assert 'placement_seconds_count{node="e1",role="entry"} 3' in text
    assert 'placement_seconds_bucket{le="0.05",node="e1",role="entry"} 2' in text


def test_samples_without_a_scrape_are_bounded_and_counted():
    """Guards against memory that grows where nobody scrapes."""
    source = metrics.Metrics()
    for _ in range(metrics.MAX_SAMPLES + 5):
        source.observe("placement_seconds", 0.01)
    assert len(source.take_samples()["placement_seconds"]) == metrics.MAX_SAMPLES
    dropped = [v for name, _, _, v in source.collect() if "dropped" in name]
    assert dropped == [5]


def test_role_serves_without_a_free_port_for_metrics():
    """Guards against a role that ends because another process has its port."""

    async def start_two():
        taken = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        watch = telemetry.Telemetry(
            "e1", "entry", metrics_address=taken.sockets[0].getsockname()
        )
        await watch.start()
        await watch.close()
        taken.close()

    asyncio.run(start_two())
