"""Wait for the members to confirm a revision."""

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
    """Polls control until the members have confirmed a revision.

    Parameters
    ----------
    call : callable
        Sends a request to control and returns its answer.
    line : Progress
        Shows how many members have not confirmed.
    clock : callable
        Monotonic time in seconds.
    sleep : callable
        Waits for a number of seconds.
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
        """Return the last answer once all members that renew have confirmed.

        Parameters
        ----------
        revision : int
            Revision of an accepted command.
        limit : float
            Time limit in seconds; after it, members may be missing in the result.

        Returns
        -------
        Confirmations or Failure
            Failure if control gave no usable answer within the limit.
        """
        deadline = self._clock() + limit
        while True:
            state = self._ask()
            self._show(state, revision)
            is_done = not isinstance(state, failure.Failure) and self._is_confirmed(
                state, revision
            )
            if is_done or self._clock() >= deadline:
                self._line.clear()
                return state
            self._sleep(POLL_SECONDS)

    def _is_confirmed(self, state: confirmations.Confirmations, revision: int) -> bool:
        # An instance whose table is behind may not know all members yet.
        return state.revision >= revision and not state.missing(revision)

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
        self, state: confirmations.Confirmations | failure.Failure, revision: int
    ) -> None:
        if isinstance(state, failure.Failure):
            self._line.show(f"revision {revision}: {state}")
            return
        missing = len(state.missing(revision))
        total = len(state.members)
        self._line.show(f"revision {revision}: {missing} of {total} members missing")
