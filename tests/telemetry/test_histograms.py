"""Tests of histograms and of the address that serves metrics."""

from __future__ import annotations

import asyncio

from limpetreel.telemetry import metrics, metrics_server, telemetry
from tests import fixtures

load_tests = fixtures.load_functions(globals())


async def scrape(process_metrics, times):
    """Scrape a server several times and return the last response."""
    server = metrics_server.MetricsServer(
        process_metrics, "e1", "entry", lambda *args: None
    )
    await server.start("127.0.0.1", 0)
    for _ in range(times):
        reader, writer = await asyncio.open_connection(*server.address)
        writer.write(b"GET /metrics HTTP/1.1\r\n\r\n")
        response = await reader.read(-1)
        writer.close()
    await server.stop()
    return response.decode()


def test_histogram_keeps_its_counts_over_scrapes():
    """Guards against counts that are reset by a scrape."""
    process_metrics = metrics.Metrics()
    for seconds in (0.003, 0.03, 3.0):
        process_metrics.observe("placement_seconds", seconds)
    text = asyncio.run(scrape(process_metrics, 2))
    assert 'placement_seconds_count{node="e1",role="entry"} 3' in text
    assert 'placement_seconds_bucket{le="0.05",node="e1",role="entry"} 2' in text


def test_samples_are_bounded_and_dropped_ones_counted():
    """Guards against unbounded memory in a process whose metrics are not scraped."""
    process_metrics = metrics.Metrics()
    for _ in range(metrics.MAX_SAMPLES + 5):
        process_metrics.observe("placement_seconds", 0.01)
    assert (
        len(process_metrics.take_samples()["placement_seconds"]) == metrics.MAX_SAMPLES
    )
    dropped = [v for name, _, _, v in process_metrics.collect() if "dropped" in name]
    assert dropped == [5]


def test_role_starts_although_its_metrics_port_is_in_use():
    """Guards against a role that stops because its metrics port is already used."""

    async def start_with_used_port():
        listener = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        process_telemetry = telemetry.Telemetry(
            "e1", "entry", metrics_address=listener.sockets[0].getsockname()
        )
        await process_telemetry.start()
        await process_telemetry.close()
        listener.close()

    asyncio.run(start_with_used_port())
