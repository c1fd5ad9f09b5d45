"""Reading and rewriting of CoAP headers."""

from __future__ import annotations

import struct

import msgspec

from limpetreel.core import failure, reason

FIXED = struct.Struct("!BBH")
MAX_TOKEN_BYTES = 8
EMPTY_CODE = 0
MAX_METHOD_CODE = 31
"""Codes 0.01 to 0.31 are requests."""


class Header(msgspec.Struct, frozen=True):
    """Type, code, message id and token of a CoAP message (RFC 7252, section 3).

    Attributes
    ----------
    type : int
        A `message_type.MessageType` value.
    code : int
        Method or response code.
    message_id : int
        Message id, 16 bits.
    token : bytes
        Token, up to 8 bytes.
    """

    type: int
    code: int
    message_id: int
    token: bytes

    @property
    def is_empty(self) -> bool:
        """Whether this is an empty message: an acknowledgement or a reset."""
        return self.code == EMPTY_CODE

    @property
    def is_request(self) -> bool:
        """Whether this is a request."""
        return EMPTY_CODE < self.code <= MAX_METHOD_CODE


def read(datagram: bytes) -> Header | failure.Failure:
    """Return the header of a datagram without decoding its options."""
    if len(datagram) < FIXED.size:
        return failure.Failure(reason.Reason.TRUNCATED, "coap.header")
    first, code, message_id = FIXED.unpack_from(datagram)
    token_bytes = first & 0x0F
    if first >> 6 != 1 or token_bytes > MAX_TOKEN_BYTES:
        return failure.Failure(reason.Reason.MALFORMED, "coap.header")
    token = datagram[FIXED.size : FIXED.size + token_bytes]
    if len(token) < token_bytes:
        return failure.Failure(reason.Reason.TRUNCATED, "coap.header")
    if code == EMPTY_CODE and len(datagram) > FIXED.size:
        return failure.Failure(reason.Reason.MALFORMED, "coap.header")
    return Header(first >> 4 & 0x03, code, message_id, token)


def replace_token(datagram: bytes, token: bytes) -> bytes:
    """Return a datagram with its token replaced.

    Parameters
    ----------
    datagram : bytes
        A datagram that `read` accepts.
    token : bytes
        The new token, up to 8 bytes.
    """
    first, code, message_id = FIXED.unpack_from(datagram)
    rest = datagram[FIXED.size + (first & 0x0F) :]
    return FIXED.pack(first & 0xF0 | len(token), code, message_id) + token + rest


def replace_type_and_id(datagram: bytes, kind: int, message_id: int) -> bytes:
    """Return a datagram with its type and message id replaced.

    Parameters
    ----------
    datagram : bytes
        A datagram that `read` accepts.
    kind : int
        A `message_type.MessageType` value.
    message_id : int
        The new message id.
    """
    first, code, _ = FIXED.unpack_from(datagram)
    head = FIXED.pack(first & 0xCF | kind << 4, code, message_id)
    return head + datagram[FIXED.size :]
