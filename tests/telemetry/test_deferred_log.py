"""Tests of a log writer that loads its library after the start."""

from __future__ import annotations

import io
import json

from limpetreel.telemetry import log_writer
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def make_log(stream):
    """Return a log writer that has not loaded its library."""
    return log_writer.LogWriter("e1", "entry", "info", lambda: stream, is_deferred=True)


def test_deferred_lines_are_written_in_order():
    """Guards against lost or reordered lines of the start of a process."""
    stream = io.BytesIO()
    log = make_log(stream)
    log.log("info", "process.start", "", {"version": 4})
    assert not stream.getvalue()
    log.open()
    log.log("info", "entry.ready", "", {})
    log.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert [line["step"] for line in lines] == ["process.start", "entry.ready"]
    assert lines[0]["at"] > 0


def test_deferred_lines_are_written_at_an_early_stop():
    """Guards against a process that fails in its first seconds and logs no reason."""
    stream = io.BytesIO()
    log = make_log(stream)
    log.log("error", "log_store.recover", "", {"detail": "wrong checksum"})
    log.close()
    assert b"wrong checksum" in stream.getvalue()


def test_log_opens_in_steps():
    """Guards against packets that wait for the import of the whole log library."""
    stream = io.BytesIO()
    log = make_log(stream)
    log.log("info", "process.start", "", {})
    steps = sum(1 for _ in log.open_in_steps())
    assert steps >= 4
    assert b"process.start" in stream.getvalue()
    log.close()


def test_number_of_deferred_lines_is_bounded():
    """Guards against unbounded memory for lines logged before the library is loaded."""
    stream = io.BytesIO()
    log = make_log(stream)
    for _ in range(log_writer.MAX_DEFERRED_LINES + 7):
        log.log("info", "flow.placed", "", {})
    log.open()
    log.close()
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert (last["step"], last["left_out"]) == ("log.deferred", 7)
