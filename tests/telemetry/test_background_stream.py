"""Tests of the output of log lines, whose reader may do anything."""

from __future__ import annotations

import contextlib
import json
import os
import select
import socket
import subprocess
import sys
import time

from limpetreel.telemetry import background_stream, log_writer
from tests import fixtures

load_tests = fixtures.load_functions(globals())

LINES = 40_000
"""Several times what a pipe and the memory for lines hold."""
PROGRAM = f"""
import os, sys, time
from limpetreel import platform_factory
from limpetreel.platform import process_settings
cfg = process_settings.decode({{
    "NodeName": "e1", "Role": "entry", "Ip": "127.0.0.1", "Zone": "z",
    "InternalPortRange": [1, 2], "SeedNodes": [],
}})
telemetry = platform_factory._build_telemetry(cfg, "entry")
telemetry._log.open()
slowest = 0.0
for number in range({LINES}):
    started_at = time.monotonic()
    telemetry.log("info", "test.line", number=number)
    telemetry._log.flush()
    slowest = max(slowest, time.monotonic() - started_at)
os.write(2, b"%d" % (1000 * slowest))
telemetry._log.close()
"""


@contextlib.contextmanager
def open_pipe(**options):
    """Return the reading end of a pipe and a stream at the other end."""
    source, sink = os.pipe()
    stream = background_stream.BackgroundStream(sink, **options)
    try:
        yield source, stream
    finally:
        with contextlib.suppress(OSError):
            os.close(source)
        stream.drain()
        os.close(sink)


def read_for(source, count):
    """Return a number of bytes, fewer if none come for some seconds."""
    data = b""
    while len(data) < count and select.select((source,), (), (), 5)[0]:
        data += os.read(source, count - len(data))
    return data


# A process hung with the first line that the pipe of its log had no room for.
def test_process_goes_on_while_nobody_reads_its_log():
    """Guards against control, entries and agents that wait for the reader of a log."""
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    try:
        # It ends by itself, though its output is not read.
        process.wait(60)
        assert process.returncode == 0
        assert int(process.stderr.read()) < 1000
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
        process.stderr.close()


def socket_ends():
    """Return the descriptors of a socket's reading and writing ends."""
    return tuple(end.detach() for end in socket.socketpair())


# The output may also be a terminal, or a socket of the supervisor.
def test_process_goes_on_while_nobody_reads_a_terminal_or_a_socket():
    """Guards against a process that waits for an output other than a pipe."""
    for make_ends in (os.openpty, socket_ends):
        source, sink = make_ends()
        process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=sink, stderr=subprocess.PIPE
        )
        try:
            process.wait(60)
            assert process.returncode == 0, make_ends
            assert int(process.stderr.read()) < 1000, make_ends
        finally:
            process.kill()
            process.wait()
            process.stderr.close()
            os.close(source)
            os.close(sink)


def test_lines_are_written_whole_and_in_order():
    """Guards against lines that are lost or mixed while the reader is slow."""
    lines = [b"%d\n" % n for n in range(50_000)]
    with open_pipe() as (source, stream):
        assert all(stream.write(line) for line in lines)
        stream.flush()
        assert read_for(source, sum(map(len, lines))) == b"".join(lines)
        assert stream.drain()


def test_memory_is_bounded_and_lines_that_were_left_out_are_counted():
    """Guards against a process that runs out of memory beside a reader that hangs."""
    with open_pipe(max_bytes=50_000) as (source, stream):
        log = log_writer.LogWriter("n1", "entry", "info", lambda: stream)
        for number in range(2000):
            log.log("info", "test.line", "", {"number": number})
            log.flush()
        assert len(stream._waiting) <= 50_000
        left_out = log.left_out
        assert left_out > 0
        output = b""
        while not stream.drain(0.05):
            output += os.read(source, 65536)
        # Reading goes on: the next flush says how many lines are missing.
        log.flush()
        assert stream.drain()
        output += os.read(source, 1_000_000)
        lines = [json.loads(line) for line in output.splitlines()]
        assert sum(line.get("left_out", 0) for line in lines) == left_out
        assert len([ln for ln in lines if "number" in ln]) == 2000 - left_out
        assert log.left_out == left_out
        log.close()


def test_reader_that_ends_and_descriptor_that_is_not_blocking():
    """Guards against an error of the output that ends its thread or the process."""
    with open_pipe() as (source, stream):
        os.close(source)
        for _ in range(3):
            stream.write(b"x\n")
            stream.flush()
            time.sleep(0.02)
        assert stream.errors
        assert stream._thread.is_alive()
    with open_pipe() as (source, stream):
        os.set_blocking(stream._descriptor, False)
        data = b"x" * 200_000 + b"\n"
        stream.write(data)
        stream.flush()
        time.sleep(0.1)
        assert read_for(source, len(data)) == data


def test_wait_for_the_last_lines_is_bounded():
    """Guards against a process that does not end while nobody reads its log."""
    with open_pipe() as (_, stream):
        stream.write(b"x" * 200_000)
        started_at = time.monotonic()
        assert not stream.drain(0.2)
        assert time.monotonic() - started_at < 1.0
