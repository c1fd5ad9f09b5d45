"""Flow at the agent that owns it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.streams import flow_phase


class OwnedFlow:
    """State of one flow.

    Parameters
    ----------
    now : float
        Time of the opening packet.
    phase : FlowPhase
        Initial phase.
    """

    __slots__ = (
        "caller_end",
        "entry",
        "first_sequence",
        "has_caller_fin",
        "has_upstream_fin",
        "is_confirmed",
        "last_at",
        "offer_id",
        "phase",
        "phase_at",
    )

    def __init__(self, now: float, phase: flow_phase.FlowPhase) -> None:
        self.phase = phase
        self.phase_at = now
        self.last_at = now
        self.offer_id = 0
        self.entry = ("", 0)
        self.first_sequence: int | None = None
        self.caller_end: int | None = None
        self.is_confirmed = False
        self.has_caller_fin = False
        self.has_upstream_fin = False

    @property
    def is_closed(self) -> bool:
        """Return whether both ends have closed the flow."""
        return self.has_caller_fin and self.has_upstream_fin
