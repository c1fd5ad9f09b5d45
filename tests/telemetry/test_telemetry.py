"""Logs, metrics and traces must be complete, bounded and free of secrets."""

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


def _make_telemetry(stream, clock):
    log = log_writer.LogWriter("n1", "entry", "info", lambda: stream, (SECRET,))
    return telemetry.Telemetry("n1", "entry", log, clock=clock)


def _lines(stream):
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_log_line_has_the_expected_fields():
    """Guards against missing fields and lines below the minimum level."""
    stream = io.BytesIO()
    process_telemetry = _make_telemetry(stream, _Clock())
    process_telemetry.log(
        "info", "table.change", "10.0.0.1:5", revision=7, note="a\nb\udcff"
    )
    process_telemetry.log("debug", "table.change")
    asyncio.run(process_telemetry.close())
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
    """Guards against keys in the log, whichever field of a line contains them."""
    stream = io.BytesIO()
    process_telemetry = _make_telemetry(stream, _Clock())
    process_telemetry.log(
        "error", f"step {SECRET}", f"peer {SECRET}", a=[SECRET], b=SECRET
    )
    asyncio.run(process_telemetry.close())
    assert SECRET.encode() not in stream.getvalue()
    assert b"(secret)" in stream.getvalue()


def test_refused_datagrams_are_counted_and_logged_at_a_limited_rate():
    """Guards against a disk filled by a flood of refused datagrams and lost counts."""
    stream, clock = io.BytesIO(), _Clock()
    process_telemetry = _make_telemetry(stream, clock)
    for number in range(2000):
        clock.now = number / 100
        process_telemetry.refuse(
            "frame.decode", ("10.0.0.1", 5), reason.Reason.WRONG_TAG
        )
    asyncio.run(process_telemetry.close())
    lines = [line for line in _lines(stream) if line["step"] == "frame.decode"]
    written = [line for line in lines if line["peer"]]
    assert len(written) == 2 * rate_limit.LINES_PER_PERIOD
    assert len(written) + sum(line.get("left_out", 0) for line in lines) == 2000
    counted = [
        v for n, _, _, v in process_telemetry.metrics.collect() if n == "refused_total"
    ]
    assert counted == [2000]


def test_rate_limit_tracks_a_bounded_number_of_keys():
    """Guards against unbounded memory when lines have many different reasons."""
    limit = rate_limit.RateLimit()
    for number in range(10 * rate_limit.MAX_KEYS):
        assert limit.admit(0.0, ("step", str(number))) == 0
    assert len(limit._periods) <= rate_limit.MAX_KEYS


def test_drops_of_the_core_are_logged():
    """Guards against input that a core drops without a log line."""
    stream, clock = io.BytesIO(), _Clock()
    process_telemetry = _make_telemetry(stream, clock)
    dropped = {reason.Reason.NO_LEASE: 3}
    process_telemetry.add_drop_counter("entry.core", lambda: dropped)
    clock.now = 20.0
    process_telemetry.report()
    process_telemetry.report()
    dropped[reason.Reason.NO_LEASE] = 5
    asyncio.run(process_telemetry.close())
    counts = [ln["dropped"] for ln in _lines(stream) if ln["step"] == "entry.core"]
    assert counts == [3, 2]


def test_rotating_file_is_bounded():
    """Guards against a disk filled by a log."""
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
    """Guards against spans of one trace that cannot be joined across nodes."""
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
            attributes = {"bucket": "5"}
            spans.record(
                record_span.RecordSpan(trace_id, name, start, start, attributes)
            )
            spans.record(record_span.RecordSpan(trace_id + 1, name, start, start, {}))
            spans.close()
        with paths[0].open("ab") as stream:
            stream.write(b'{"trace_id": "torn')
        read_spans = span_reader.read(paths, f"{trace_id:016x}")
        assert [s.node for s in read_spans] == ["e1", "a1", "e2"]
        lines = span_reader.render(read_spans).splitlines()
        assert [len(ln) - len(ln.lstrip()) for ln in lines] == [0, 2, 2]
        assert "bucket=5" in lines[0]
        without_root = span_reader.render(read_spans[1:]).splitlines()
        assert [len(ln) - len(ln.lstrip()) for ln in without_root] == [0, 0]


def test_metrics_are_served():
    """Guards against metrics that are lost by a scrape or by malformed requests."""

    async def run():
        process_telemetry = telemetry.Telemetry(
            "n1", "entry", metrics_address=("127.0.0.1", 0), clock=_Clock()
        )
        process_telemetry.count("refused_total", 3, step="x", reason="y")
        process_telemetry.add_metric("table_revision", "revision", "", lambda: {"": 12})
        await process_telemetry.start()
        host, port = process_telemetry._server.address
        try:
            text = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
            second_text = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
            for malformed in (b"\xff" * 5000, b"", b"GET /metrics"):
                response = await _get(host, port, malformed + b"\r\n\r\n")
                assert b" 400 " in response[:20]
            await _get(host, port, b"GET /" + b"x" * 70000 + b"\r\n\r\n")
            missing = await _get(host, port, b"GET /x HTTP/1.0\r\n\r\n")
            assert b" 404 " in missing[:20]
            last_text = await _get(host, port, b"GET /metrics HTTP/1.0\r\n\r\n")
        finally:
            await process_telemetry.close()
        return text, second_text, last_text

    for text in asyncio.run(run()):
        assert b"limpetreel_table_revision" in text and b" 12" in text
        refused = next(
            ln
            for ln in text.splitlines()
            if ln.startswith(b"limpetreel_refused_total{")
        )
        assert b'reason="y"' in refused and refused.endswith(b" 3")


def test_metric_of_an_object_may_have_several_labels():
    """Guards against refusals whose reason and service share one label."""
    process_telemetry = telemetry.Telemetry("n1", "entry", clock=_Clock())
    process_telemetry.add_metric(
        "refusals_total", "refusals", "reason,service", lambda: {("busy", "s-1"): 2}
    )
    series = [
        s for s in process_telemetry.metrics.collect() if s[0] == "refusals_total"
    ]
    labels = {"reason": "busy", "service": "s-1"}
    assert series == [("refusals_total", "refusals", labels, 2)]


async def _get(host, port, data):
    """Send data and return the response up to the end of the connection."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(data)
    try:
        await writer.drain()
        return await asyncio.wait_for(reader.read(), 5)
    except ConnectionError:
        return b""
    finally:
        writer.close()


class _FullOnce(io.BytesIO):
    """Stream whose first flush fails, as on a full disk."""

    flushes = 0

    def flush(self):
        self.flushes += 1
        if self.flushes == 1:
            raise OSError("no space")


async def _run_past_errors(stream):
    """Raise an error in a callback, and wait for two flushes of the log."""
    process_telemetry = _make_telemetry(stream, _Clock())
    await process_telemetry.start()
    asyncio.get_running_loop().call_soon(lambda: {}["a name"])
    await asyncio.sleep(2.5 * telemetry.FLUSH_SECONDS)
    flushes = stream.flushes
    await process_telemetry.close()
    return flushes


def test_log_is_flushed_after_a_flush_that_failed():
    """Guards against a task that ends silently, and lines that are never written."""
    assert asyncio.run(_run_past_errors(_FullOnce())) == 2


def test_error_of_a_callback_is_a_log_line():
    """Guards against errors that only the interpreter prints, without the node."""
    stream = _FullOnce()
    asyncio.run(_run_past_errors(stream))
    (line,) = (ln for ln in _lines(stream) if ln["step"] == "process.unhandled_error")
    assert line["detail"] == "KeyError('a name')"
    assert "test_telemetry.py" in line["trace"]


load_tests = fixtures.load_functions(globals())
