"""Announcements of an upstream to its agent."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from limpetreel.agent.events import upstream_announced
from limpetreel.coap import header
from limpetreel.core import failure, reason

STEP = "agent.announcement"
MAX_BYTES = 1024
MAX_RUN_ID_CHARACTERS = 128
_POST = 2
_PAYLOAD_MARKER = b"\xff"


class _Body(msgspec.Struct, frozen=True):
    """Payload of an announcement."""

    class_name: str = msgspec.field(name="class")
    run_id: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_RUN_ID_CHARACTERS)]
    state: Literal["ready", "draining"]


_DECODER = msgspec.json.Decoder(_Body)


def read(
    datagram: bytes, class_name: str
) -> upstream_announced.UpstreamAnnounced | failure.Failure:
    """Decode and validate an announcement.

    Parameters
    ----------
    datagram : bytes
        A CoAP POST with a JSON payload.
    class_name : str
        Class that the agent serves. An announcement for another class is refused,
        because the agent would send that upstream packets of its own class.
    """
    if len(datagram) > MAX_BYTES:
        return failure.Failure(reason.Reason.OVERSIZED, STEP)
    head = header.read(datagram)
    if isinstance(head, failure.Failure):
        return failure.Failure(head.reason, STEP)
    if head.code != _POST:
        return failure.Failure(reason.Reason.UNKNOWN_KIND, STEP)
    try:
        body = _DECODER.decode(datagram.partition(_PAYLOAD_MARKER)[2])
    except (msgspec.DecodeError, RecursionError):
        return failure.Failure(reason.Reason.MALFORMED, STEP)
    if body.class_name != class_name:
        return failure.Failure(reason.Reason.WRONG_CLASS, STEP)
    return upstream_announced.UpstreamAnnounced(
        class_name=body.class_name,
        run_id=body.run_id,
        draining=body.state == "draining",
    )
