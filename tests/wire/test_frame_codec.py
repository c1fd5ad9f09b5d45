"""Damaged, replayed and misdirected frames must not be accepted."""

from __future__ import annotations

from limpetreel.core import reason
from limpetreel.wire import frame_codec
from tests import fixtures

KEY = b"cluster key"


def _codec_pair():
    return frame_codec.FrameCodec(KEY, 1, 10), frame_codec.FrameCodec(KEY, 2, 20)


def test_frame_reaches_its_target():
    """Guards against a wrong sender, incarnation or body of a valid frame."""
    sender, receiver = _codec_pair()
    result = receiver.decode(sender.encode(1, 20, b"body"))
    assert (result.sender, result.incarnation, result.body) == (1, 10, b"body")


def test_damaged_frame_is_refused():
    """Guards against accepting truncated or altered datagrams."""
    sender, receiver = _codec_pair()
    data = sender.encode(1, 20, b"body")
    for size in range(len(data)):
        assert not receiver.decode(data[:size])
    for position in range(len(data)):
        altered = data[:position] + bytes([data[position] ^ 1]) + data[position + 1 :]
        assert not receiver.decode(altered)
    assert receiver.decode(data)


def test_replayed_frame_is_refused():
    """Guards against processing a duplicated datagram twice."""
    sender, receiver = _codec_pair()
    data = sender.encode(1, 20, b"body")
    assert receiver.decode(data)
    assert receiver.decode(data).reason is reason.Reason.REPLAYED


def test_frame_of_earlier_sender_incarnation_is_refused():
    """Guards against delayed datagrams of a process that has been replaced."""
    receiver = frame_codec.FrameCodec(KEY, 2, 20)
    earlier = frame_codec.FrameCodec(KEY, 1, 10)
    current = frame_codec.FrameCodec(KEY, 1, 11)
    assert receiver.decode(current.encode(1, 20, b""))
    assert receiver.decode(earlier.encode(1, 20, b"")).reason is reason.Reason.REPLAYED


def test_frame_for_other_incarnation_is_refused():
    """Guards against packets accepted by a new process at a reused address."""
    sender, receiver = _codec_pair()
    result = receiver.decode(sender.encode(1, 19, b""))
    assert result.reason is reason.Reason.WRONG_INCARNATION


def test_frame_with_another_cluster_key_is_refused():
    """Guards against frames from another cluster."""
    _, receiver = _codec_pair()
    other = frame_codec.FrameCodec(b"other", 1, 10)
    result = receiver.decode(other.encode(1, 20, b""))
    assert result.reason is reason.Reason.WRONG_TAG


load_tests = fixtures.load_functions(globals())
