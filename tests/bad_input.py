"""Invalid input for the tests of sockets, and checks that it has no effect."""

from __future__ import annotations

import io
import json
import random

from limpetreel.replay import core_state
from limpetreel.telemetry import log_writer, rate_limit, telemetry
from limpetreel.wire import frame, frame_codec, kind

SOURCE = ("127.0.0.1", 40000)
NESTED = b"\x82\xa4type\xa5renew\xa1a" + b"\x91" * 20000
"""MessagePack whose nesting exceeds the recursion limit of a decoder."""


class CapturingTelemetry(telemetry.Telemetry):
    """Telemetry with readable log lines and counts and a constant clock."""

    def __init__(self):
        self.stream = io.BytesIO()
        log = log_writer.LogWriter("n", "r", "info", lambda: self.stream)
        super().__init__("n", "r", log, clock=lambda: 0.0)

    def refused(self):
        """Return the number of inputs that were refused before they reached a core."""
        series = self.metrics.collect()
        return sum(value for name, _, _, value in series if name == "refused_total")

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]


def random_datagrams(seed, count, max_bytes=2000):
    """Return random datagrams, including an empty one."""
    rng = random.Random(seed)
    return [b"", *(rng.randbytes(rng.randrange(max_bytes)) for _ in range(count))]


def frames(key, target):
    """Return frames that fail a check of the frame codec.

    Parameters
    ----------
    key : bytes
        Cluster key of the receiver.
    target : int
        Incarnation of the receiver.
    """
    sender = frame_codec.FrameCodec(key, 77, 1)
    valid = sender.encode(kind.Kind.MESSAGE, target, b"body")
    foreign_codec = frame_codec.FrameCodec(b"another cluster key", 78, 1)
    return [
        *random_datagrams(1, 200),
        *(valid[:size] for size in range(0, len(valid), 5)),
        valid + b"\0" * frame.MAX_BYTES,
        bytes([frame.VERSION + 1]) + valid[1:],
        valid[:-1] + bytes([valid[-1] ^ 1]),
        foreign_codec.encode(kind.Kind.MESSAGE, target, b"body"),
        sender.encode(kind.Kind.MESSAGE, target + 1, b"body"),
        sender.encode(kind.Kind.FORWARD, frame.ANY_INCARNATION, b"body"),
    ]


def bodies(key, target):
    """Return authenticated frames with invalid content."""
    sender = frame_codec.FrameCodec(key, 79, 1)
    contents = [b"", b"\xff" * 100, NESTED, *random_datagrams(2, 50)]
    return [
        sender.encode(frame_kind, target, content)
        for frame_kind in (1, 2, 3, 9, 16)
        for content in contents
    ]


def state_of(core):
    """Return the state of a core without the drop counters of its parts."""
    parts = [p for p in (core, getattr(core, "_requests", None)) if p is not None]
    counters = [part.dropped for part in parts]
    for part in parts:
        part.dropped = {}
    state = core_state.save(core)
    for part, dropped in zip(parts, counters, strict=True):
        part.dropped = dropped
    assert isinstance(state, bytes), state
    return state


def check_log(captured):
    """Check that something was logged and that the rate limit was kept."""
    counts = {}
    for line in captured.lines():
        key = line["step"], line["reason"]
        counts[key] = counts.get(key, 0) + 1
    assert counts and max(counts.values()) <= rate_limit.LINES_PER_PERIOD


def damaged(rng, data):
    """Return data with up to three other bytes, at times cut off."""
    changed = bytearray(data)
    for _ in range(rng.randrange(4)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    if rng.random() < 0.1:
        del changed[rng.randrange(len(changed)) :]
    return bytes(changed)
