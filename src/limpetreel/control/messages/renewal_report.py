"""Renewals that a follower passes on to the leader."""

from __future__ import annotations

import msgspec

from limpetreel.core import failure, reason
from limpetreel.messages import renew


class RenewalReport(msgspec.Struct, frozen=True, tag="renewal_report"):
    """The newest renewal of each node since the last report.

    Attributes
    ----------
    renewals : tuple of Renew
        The renewals.
    """

    renewals: tuple[renew.Renew, ...]


_DECODER = msgspec.msgpack.Decoder(RenewalReport)


def encode(report: RenewalReport) -> bytes:
    """Return the bytes of a report."""
    return msgspec.msgpack.encode(report)


def decode(data: bytes) -> RenewalReport | failure.Failure:
    """Return the report in the bytes."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        return failure.Failure(
            reason.Reason.MALFORMED, "renewal_report.decode", detail=str(exc)
        )
