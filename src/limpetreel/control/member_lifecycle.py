"""States of a member and the events that change them."""

from __future__ import annotations

from typing import Any

import transitions

from limpetreel.catalog import member_state

ABSENT = "absent"

_ACTIVE = member_state.MemberState.ACTIVE.value
_DRAINING = member_state.MemberState.DRAINING.value
_LOST = member_state.MemberState.LOST.value

_TRANSITIONS: list[Any] = [
    ["renew", [ABSENT, _LOST], _ACTIVE],
    # A draining member stays so for its incarnation: a renewal that was sent
    # before the drain may arrive after it.
    ["drain", [ABSENT, _ACTIVE, _LOST], _DRAINING],
    ["leave", [_ACTIVE, _DRAINING, _LOST], ABSENT],
    ["fall_silent", [_ACTIVE, _DRAINING], _LOST],
    ["expire", _LOST, ABSENT],
]


class MemberLifecycle:
    """State machine of members.

    One machine serves all members, since the state of each is in its record and
    a machine for each of 5,170 members would cost several kilobytes apiece. It
    is triggered once for each state and event and the result is cached, since
    every renewal is an event.
    """

    def __init__(self) -> None:
        self.state = ABSENT
        self._next_states: dict[tuple[str, str], str] = {}
        self._machine = transitions.Machine(
            model=self,
            states=[ABSENT, _ACTIVE, _DRAINING, _LOST],
            transitions=_TRANSITIONS,
            initial=ABSENT,
            auto_transitions=False,
            ignore_invalid_triggers=True,
        )

    def next_state(self, state: str, event: str) -> str:
        """Return the state after an event; the same one if it changes nothing.

        Parameters
        ----------
        state : str
            `ABSENT` or a `MemberState`.
        event : str
            ``renew``, ``drain``, ``leave``, ``fall_silent`` or ``expire``.
        """
        next_state = self._next_states.get((state, event))
        if next_state is None:
            self._machine.set_state(str(state), model=self)
            self._machine.events[event].trigger(self)
            next_state = self.state
            self._next_states[state, event] = next_state
        return next_state
