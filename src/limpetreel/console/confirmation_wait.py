"""Wait until the members have confirmed a revision."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec

from limpetreel.console import confirmations, progress
from limpetreel.core import failure, reason

POLL_SECONDS = 0.25

Call = Callable[[dict[str, Any]], dict[str, Any] | failure.Failure]


class ConfirmationWait:
    """Asks control again and again who has confirmed a revision.

    Parameters
    ----------
    call : callable
        Sends a request to control and returns its answer.
    line : Progress
        Shows how many members are missing.
    clock : callable
        Monotonic time in seconds.
    sleep : callable
        Waits for some seconds.
    """

    def __init__(
        self,
        call: Call,
        line: progress.Progress,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._call = call
        self._line = line
        self._clock = clock
        self._sleep = sleep

    def run(
        self, revision: int, limit: float
    ) -> confirmations.Confirmations | failure.Failure:
        """Return the last state once all members that renew have confirmed.

        Parameters
        ----------
        revision : int
            Revision of an accepted command.
        limit : float
            Time limit in seconds; after it the state may name missing members.

        Returns
        -------
        Confirmations or Failure
            Failure if control gave no usable answer within the limit.
        """
        until = self._clock() + limit
        while True:
            found = self._ask()
            self._show(found, revision)
            is_done = not isinstance(found, failure.Failure) and self._is_confirmed(
                found, revision
            )
            if is_done or self._clock() >= until:
                self._line.clear()
                return found
            self._sleep(POLL_SECONDS)

    def _is_confirmed(self, found: confirmations.Confirmations, revision: int) -> bool:
        # An instance that is behind may not know all members yet.
        return found.revision >= revision and not found.missing(revision)

    def _ask(self) -> confirmations.Confirmations | failure.Failure:
        answer = self._call({"type": "confirmations"})
        if isinstance(answer, failure.Failure):
            return answer
        try:
            return msgspec.convert(answer, confirmations.Confirmations)
        except msgspec.ValidationError as exc:
            detail = str(answer.get("detail", exc))
            return failure.Failure(
                reason.Reason.MALFORMED, "operator.confirmations", detail=detail
            )

    def _show(
        self, found: confirmations.Confirmations | failure.Failure, revision: int
    ) -> None:
        if isinstance(found, failure.Failure):
            self._line.show(f"revision {revision}: {found}")
            return
        missing = len(found.missing(revision))
        total = len(found.members)
        self._line.show(f"revision {revision}: {missing} of {total} members missing")
