"""Reports must be complete, bounded and free of secrets."""

from __future__ import annotations

import asyncio
import io
import json
import pathlib
import tempfile

from limpetreel.core import reason
from limpetreel.node import record_span
from limpetreel.telemetry import (
    log_writer,
    rate_limit,
    rotating_file,
    span_exporter,
    span_reader,
    span_recorder,
    telemetry,
)
from tests import fixtures

SECRET = "a key that must not appear"


class _Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def _watch(stream, clock, **more):
    log = log_writer.LogWriter("n1", "entry", "info", stream, (SECRET,))
    return telemetry.Telemetry("n1", "entry", log, clock=clock, **more)


def _lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_line_has_the_fields_of_an_event():
    stream = io.BytesIO()
    watch = _watch(stream, _Clock())
    watch.log("info", "table.change", "10.0.0.1:5", revision=7, note="a\nb\udcff")
    watch.log("debug", "table.change")
    asyncio.run(watch.close())
    (line, stop) = _lines(stream)
    assert stop["step"] == "process.stop"
    wanted = {
        "level": "info",
        "node": "n1",
        "step": "table.change",
        "peer": "10.0.0.1:5",
        "revision": 7,
        "note": "a\nb\\udcff",
    }
    assert wanted.items() <= line.items()


def test_secret_is_removed_from_every_field():
    """Guards against keys in logs, whichever way they reach a line."""
    stream = io.BytesIO()
    watch = _watch(stream, _Clock())
    watch.log("error", f"step {SECRET}", f"peer {SECRET}", a=[SECRET], b=SECRET)
    asyncio.run(watch.close())
    assert SECRET.encode() not in stream.getvalue()
    assert b"(secret)" in stream.getvalue()


def test_flood_is_counted_and_logged_at_a_limited_rate():
    """Guards against a disk filled by refused datagrams, and against lost counts."""
    stream, clock = io.BytesIO(), _Clock()
    watch = _watch(stream, clock)
    for number in range(2000):
        clock.now = number / 100
        watch.refuse("frame.decode", ("10.0.0.1", 5), reason.Reason.WRONG_TAG)
    asyncio.run(watch.close())
    lines = [line for line in _lines(stream) if line["step"] == "frame.decode"]
    written = [line for line in lines if line["peer"]]
    assert len(written) == 2 * rate_limit.LINES_PER_PERIOD
    assert len(written) + sum(line.get("left_out", 0) for line in lines) == 2000
    counted = [v for n, _, _, v in watch.metrics.collect() if n == "refused_total"]
    assert counted == [2000]


def test_rate_limit_is_bounded():
    """Guards against memory that grows with the kinds of lines."""
    limit = rate_limit.RateLimit()
    for number in range(10 * rate_limit.MAX_KEYS):
        assert limit.admit(0.0, ("step", str(number))) == 0
    assert len(limit._periods) <= rate_limit.MAX_KEYS


def test_drops_of_the_core_are_logged():
    """Guards against input that is dropped silently."""
    stream, clock = io.BytesIO(), _Clock()
    watch = _watch(stream, clock)
    dropped = {reason.Reason.NO_LEASE: 3}
    watch.add_drop_counter("entry.core", lambda: dropped)
    clock.now = 20.0
    watch.report()
    watch.report()
    dropped[reason.Reason.NO_LEASE] = 5
    asyncio.run(watch.close())
    found = [ln["dropped"] for ln in _lines(stream) if ln["step"] == "entry.core"]
    assert found == [3, 2]


def test_rotating_file_is_bounded():
    """Guards against a disk filled by logs."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "log"
        file = rotating_file.RotatingFile(path, 1000)
        for number in range(500):
            file.write(b"%08d\n" % number)
        file.close()
        sizes = {p.name: p.stat().st_size for p in pathlib.Path(folder).iterdir()}
        assert set(sizes) == {"log", "log.1"} and max(sizes.values()) <= 1000
        assert path.read_bytes().endswith(b"00000499\n")


def test_spans_of_several_nodes_form_a_tree():
    """Guards against traces whose parts cannot be joined."""
    trace_id = 0xABC
    with tempfile.TemporaryDirectory() as folder:
        paths = []
        for node, name, start in (
            ("e1", "entry.forward", 1.0),
            ("a1", "agent.upstream", 1.1),
            ("e2", "entry.return", 1.2),
        ):
            paths.append(pathlib.Path(folder) / node)
            file = rotating_file.RotatingFile(paths[-1], 10_000)
            spans = span_recorder.SpanRecorder(
                span_exporter.SpanExporter(node, file), seed=1
            )
            more = {"bucket": "5"}
            spans.record(record_span.RecordSpan(trace_id, name, start, start, more))
            spans.record(record_span.RecordSpan(trace_id + 1, name, start, start, {}))
            spans.close()
        with paths[0].open("ab") as stream:
            stream.write(b'{"trace_id": "torn')
        found = span_reader.read(paths, f"{trace_id:016x}")
        assert [s.node for s in found] == ["e1", "a1", "e2"]
        lines = span_reader.render(found).splitlines()
        assert [len(ln) - len(ln.lstrip()) for ln in lines] == [0, 2, 2]
        assert "bucket=5" in lines[0]
        without_root = span_reader.render(found[1:]).splitlines()
        assert [len(ln) - len(ln.lstrip()) for ln in without_root] == [0, 0]


def test_metrics_are_served():
    async def run():
        watch = telemetry.Telemetry(
            "n1", "entry", metrics_address=("127.0.0.1", 0), clock=_Clock()
        )
        watch.count("refused_total", 3, step="x", reason="y")
        watch.add_metric("table_revision", "revision", "", lambda: {"": 12})
        await watch.start()
        host, port = watch._server.address
        try:
            text = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
            again = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
            for junk in (b"\xff" * 5000, b"", b"GET /metrics"):
                answer = await _get(host, port, junk + b"\r\n\r\n")
                assert b" 400 " in answer[:20]
            await _get(host, port, b"GET /" + b"x" * 70000 + b"\r\n\r\n")
            missing = await _get(host, port, b"GET /x HTTP/1.0\r\n\r\n")
            assert b" 404 " in missing[:20]
            last = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
        finally:
            await watch.close()
        return text, again, last

    for text in asyncio.run(run()):
        assert b"limpetreel_table_revision" in text and b" 12" in text
        refused = next(
            ln
            for ln in text.splitlines()
            if ln.startswith(b"limpetreel_refused_total{")
        )
        assert b'reason="y"' in refused and refused.endswith(b" 3")


async def _get(host, port, data):
    """Send data and return the answer up to the end of the connection."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        await writer.drain()
        return await asyncio.wait_for(reader.read(), 5)
    except ConnectionError:
        return b""
    finally:
        writer.close()


load_tests = fixtures.load_functions(globals())
