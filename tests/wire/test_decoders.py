"""Decoders of frame contents must return a value or a failure for any input."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from limpetreel.core import failure, reason
from limpetreel.wire import address, frame, frame_codec, kind, message_codec, packet
from tests import bad_input, fixtures

ADDRESSES = st.builds(
    address.Address, st.integers(0, 2**32 - 1), st.integers(0, 2**16 - 1)
)
PACKETS = st.builds(
    packet.Packet,
    class_id=st.integers(0, 2**32 - 1),
    bucket=st.integers(0, 1023),
    hops=st.integers(0, 255),
    mode=st.integers(0, 2),
    lease_ms=st.integers(0, 2**16 - 1),
    revision=st.integers(0, 2**64 - 1),
    trace_id=st.integers(0, 2**64 - 1),
    caller=ADDRESSES,
    entry=ADDRESSES,
    datagram=st.binary(max_size=50),
)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(PACKETS)
def test_packet_survives_encoding(item):
    assert packet.decode(packet.encode(item)) == item


@hypothesis.seed(1)
@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=200))
def test_any_body_is_read_or_refused(body):
    """Guards against exceptions, and against buckets and modes that do not exist."""
    message_codec.decode(body)
    found = packet.decode(body)
    if not isinstance(found, failure.Failure):
        assert found.bucket < packet.BUCKETS and found.mode in (0, 1, 2)


def test_nested_message_is_refused():
    """Guards against a RecursionError in the decoder of messages."""
    assert not message_codec.decode(bad_input.NESTED)


def test_packet_without_incarnation_is_refused():
    """Guards against packets that reach another process at a reused address."""
    sender, receiver = (
        frame_codec.FrameCodec(b"k", 1, 1),
        frame_codec.FrameCodec(b"k", 2, 2),
    )
    for which in (kind.Kind.FORWARD, kind.Kind.RELAY, kind.Kind.RETURN):
        found = receiver.decode(sender.encode(which, frame.ANY_INCARNATION, b""))
        assert found.reason is reason.Reason.WRONG_INCARNATION
    assert receiver.decode(sender.encode(kind.Kind.MESSAGE, frame.ANY_INCARNATION, b""))


load_tests = fixtures.load_functions(globals())
