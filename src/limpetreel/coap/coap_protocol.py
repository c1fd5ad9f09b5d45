"""CoAP as the caller protocol."""

from __future__ import annotations

import aiocoap
from aiocoap import error as coap_error
from aiocoap import message as aiocoap_message

from limpetreel.agent import answer, caller_protocol, request, signal
from limpetreel.coap import header, message_type
from limpetreel.core import failure, reason

DEADLINE_OPTION = 65052
"""Experimental option: elective, safe to forward, not part of the cache key."""

_IDEMPOTENT = frozenset({aiocoap.GET, aiocoap.PUT, aiocoap.DELETE, aiocoap.FETCH})
_SHED_CODE = int(aiocoap.SERVICE_UNAVAILABLE)
_FIRST_SERVER_ERROR = 160
"""Code 5.00."""


class CoapProtocol(caller_protocol.CallerProtocol):
    """CoAP over UDP (RFC 7252) with Request-Tag (RFC 9175) and Observe (RFC 7641)."""

    def read_caller(
        self, datagram: bytes
    ) -> request.Request | signal.Signal | failure.Failure:
        """Read a request, an acknowledgement or a reset of a caller."""
        head = header.read(datagram)
        if isinstance(head, failure.Failure):
            return head
        if head.is_empty:
            return _read_signal(head)
        if not head.is_request:
            return failure.Failure(reason.Reason.MALFORMED, "coap.read_caller")
        return _read_request(head, datagram)

    def is_message(self, datagram: bytes) -> bool:
        """Return whether a datagram has a valid CoAP header."""
        return not isinstance(header.read(datagram), failure.Failure)

    def read_upstream(
        self, datagram: bytes
    ) -> answer.Answer | signal.Signal | failure.Failure:
        """Read an answer, an acknowledgement or a reset of an upstream."""
        head = header.read(datagram)
        if isinstance(head, failure.Failure):
            return head
        if head.is_empty:
            return _read_signal(head)
        if head.is_request:
            return failure.Failure(reason.Reason.MALFORMED, "coap.read_upstream")
        message = _decode(datagram)
        if isinstance(message, failure.Failure):
            return message
        return answer.Answer(
            message_id=head.message_id,
            token=head.token,
            shed=head.code == _SHED_CODE,
            failed=head.code >= _FIRST_SERVER_ERROR,
            last=message.opt.observe is None,
        )

    def replace_token(self, datagram: bytes, token: bytes) -> bytes:
        """Return the datagram with another token."""
        return header.replace_token(datagram, token)

    def with_deadline(self, datagram: bytes, deadline_ms: int) -> bytes:
        """Return the request with its deadline option set."""
        message = aiocoap.Message.decode(datagram)
        # aiocoap refuses to encode a message whose direction is incoming.
        message.direction = aiocoap_message.Direction.OUTGOING
        message.opt.delete_option(DEADLINE_OPTION)
        message.opt.add_option(_deadline_option(deadline_ms))
        return message.encode()

    def encode_cancellation(self, message_id: int) -> bytes:
        """Return an empty reset for a request."""
        return _empty_message(message_type.MessageType.RST, message_id)

    def encode_not_run(self, req: request.Request, retry_after_s: int) -> bytes:
        """Return 5.03 with Max-Age (RFC 7252, section 5.9.3.4)."""
        message = _error_response(aiocoap.SERVICE_UNAVAILABLE, req, b"not run")
        message.opt.max_age = retry_after_s
        return message.encode()

    def encode_unknown(self, req: request.Request) -> bytes:
        """Return 5.04 (RFC 7252, section 5.9.3.5)."""
        return _error_response(aiocoap.GATEWAY_TIMEOUT, req, b"unknown").encode()

    def encode_repeated_answer(self, datagram: bytes, req: request.Request) -> bytes:
        """Return a recorded answer that acknowledges the repeated request."""
        kind = message_type.MessageType.ACK
        if not req.confirmable:
            kind = message_type.MessageType.NON
        return header.replace_type_and_id(datagram, kind, req.message_id)


def _read_signal(head: header.Header) -> signal.Signal | failure.Failure:
    if head.type in (message_type.MessageType.ACK, message_type.MessageType.RST):
        return signal.Signal(
            head.message_id, cancel=head.type == message_type.MessageType.RST
        )
    return failure.Failure(reason.Reason.MALFORMED, "coap.signal")


def _read_request(
    head: header.Header, datagram: bytes
) -> request.Request | failure.Failure:
    if head.type not in (message_type.MessageType.CON, message_type.MessageType.NON):
        return failure.Failure(reason.Reason.MALFORMED, "coap.request")
    message = _decode(datagram)
    if isinstance(message, failure.Failure):
        return message
    return request.Request(
        message_id=head.message_id,
        token=head.token,
        idempotent=message.code in _IDEMPOTENT,
        confirmable=head.type == message_type.MessageType.CON,
        deadline_ms=_read_deadline(message),
        tag=b"".join(message.opt.request_tag),
        long_lived=message.opt.observe == 0,
    )


def _decode(datagram: bytes) -> aiocoap.Message | failure.Failure:
    try:
        return aiocoap.Message.decode(datagram)
    # aiocoap does not convert the exceptions of its option decoders.
    except (coap_error.Error, ValueError, IndexError) as exc:
        return failure.Failure(reason.Reason.MALFORMED, "coap.decode", detail=str(exc))


def _read_deadline(message: aiocoap.Message) -> int | None:
    for option in message.opt.get_option(DEADLINE_OPTION) or ():
        return int.from_bytes(option.value, "big")
    return None


def _deadline_option(deadline_ms: int) -> aiocoap.optiontypes.OpaqueOption:
    size = (deadline_ms.bit_length() + 7) // 8
    return aiocoap.optiontypes.OpaqueOption(
        DEADLINE_OPTION, deadline_ms.to_bytes(size, "big")
    )


def _empty_message(kind: int, message_id: int) -> bytes:
    return header.FIXED.pack(1 << 6 | kind << 4, header.EMPTY_CODE, message_id)


def _error_response(code: int, req: request.Request, text: bytes) -> aiocoap.Message:
    message = aiocoap.Message(code=code, payload=text)
    message.token = req.token
    message.mid = req.message_id
    # A CON gets a piggybacked response. A NON response reuses the id of the request,
    # which is unique in the direction to the caller.
    message.mtype = aiocoap.ACK if req.confirmable else aiocoap.NON
    return message
