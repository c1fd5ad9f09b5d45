"""Frames that were damaged, repeated or meant for others must not be accepted."""

from __future__ import annotations

from limpetreel.core import reason
from limpetreel.wire import frame_codec
from tests import fixtures

KEY = b"cluster key"


def _pair():
    return frame_codec.FrameCodec(KEY, 1, 10), frame_codec.FrameCodec(KEY, 2, 20)


def test_frame_reaches_its_target():
    sender, receiver = _pair()
    got = receiver.decode(sender.encode(1, 20, b"body"))
    assert (got.sender, got.incarnation, got.body) == (1, 10, b"body")


def test_damaged_frame_is_refused():
    """Guards against acting on truncated or altered datagrams."""
    sender, receiver = _pair()
    data = sender.encode(1, 20, b"body")
    for size in range(len(data)):
        assert not receiver.decode(data[:size])
    for i in range(len(data)):
        altered = data[:i] + bytes([data[i] ^ 1]) + data[i + 1 :]
        assert not receiver.decode(altered)
    assert receiver.decode(data)


def test_replayed_frame_is_refused():
    """Guards against a second effect of a duplicated datagram."""
    sender, receiver = _pair()
    data = sender.encode(1, 20, b"body")
    assert receiver.decode(data)
    assert receiver.decode(data).reason is reason.Reason.REPLAYED


def test_frame_of_earlier_sender_incarnation_is_refused():
    """Guards against late datagrams of a process that has been replaced."""
    receiver = frame_codec.FrameCodec(KEY, 2, 20)
    old = frame_codec.FrameCodec(KEY, 1, 10)
    new = frame_codec.FrameCodec(KEY, 1, 11)
    assert receiver.decode(new.encode(1, 20, b""))
    assert receiver.decode(old.encode(1, 20, b"")).reason is reason.Reason.REPLAYED


def test_frame_for_other_incarnation_is_refused():
    """Guards against a reused address receiving another process's packets."""
    sender, receiver = _pair()
    got = receiver.decode(sender.encode(1, 19, b""))
    assert got.reason is reason.Reason.WRONG_INCARNATION


def test_other_cluster_key_is_refused():
    """Guards against frames from another cluster."""
    _, receiver = _pair()
    other = frame_codec.FrameCodec(b"other", 1, 10)
    got = receiver.decode(other.encode(1, 20, b""))
    assert got.reason is reason.Reason.WRONG_TAG


load_tests = fixtures.load_functions(globals())
