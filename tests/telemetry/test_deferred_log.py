"""Tests of a log whose library is loaded after the start."""

from __future__ import annotations

import io
import json

from limpetreel.telemetry import log_writer
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def make_log(stream):
    """Return a log that has not loaded its library."""
    return log_writer.LogWriter("e1", "entry", "info", stream, is_deferred=True)


def test_lines_before_the_library_are_written_in_order():
    """Guards against a start that nobody can explain afterwards."""
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


def test_lines_of_a_process_that_stops_early_are_not_lost():
    """Guards against a silent end within the first seconds."""
    stream = io.BytesIO()
    log = make_log(stream)
    log.log("error", "log_store.recover", "", {"detail": "wrong checksum"})
    log.close()
    assert b"wrong checksum" in stream.getvalue()


def test_waiting_lines_are_bounded():
    """Guards against memory that grows with the load of the first seconds."""
    stream = io.BytesIO()
    log = make_log(stream)
    for _ in range(log_writer.MAX_DEFERRED_LINES + 7):
        log.log("info", "flow.placed", "", {})
    log.open()
    log.close()
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert (last["step"], last["left_out"]) == ("log.deferred", 7)
