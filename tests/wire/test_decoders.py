"""Decoders of frame bodies must return a value or a failure for any input."""

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
def test_packet_round_trip(original):
    """Guards against fields that are lost or swapped by the packet format."""
    assert packet.decode(packet.encode(original)) == original


@hypothesis.seed(1)
@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(st.binary(max_size=200))
def test_any_body_is_decoded_or_refused(body):
    """Guards against exceptions and against invalid buckets and modes."""
    message_codec.decode(body)
    decoded = packet.decode(body)
    if not isinstance(decoded, failure.Failure):
        assert decoded.bucket < packet.BUCKETS and decoded.mode in (0, 1, 2)


def test_nested_message_is_refused():
    """Guards against a RecursionError raised by deeply nested messages."""
    assert not message_codec.decode(bad_input.NESTED)


def test_packet_without_incarnation_is_refused():
    """Guards against packets accepted by another process at a reused address."""
    sender, receiver = (
        frame_codec.FrameCodec(b"k", 1, 1),
        frame_codec.FrameCodec(b"k", 2, 2),
    )
    for packet_kind in (kind.Kind.FORWARD, kind.Kind.RELAY, kind.Kind.RETURN):
        result = receiver.decode(sender.encode(packet_kind, frame.ANY_INCARNATION, b""))
        assert result.reason is reason.Reason.WRONG_INCARNATION
    assert receiver.decode(sender.encode(kind.Kind.MESSAGE, frame.ANY_INCARNATION, b""))


load_tests = fixtures.load_functions(globals())
