"""Change requested by an operator."""

from __future__ import annotations

import msgspec

from limpetreel.cluster.commands import set_configuration, set_zone


class ChangeRequested(msgspec.Struct, frozen=True, tag="change_requested"):
    """An operator has requested a change.

    Attributes
    ----------
    call_id : int
        Number of the call, for the answer.
    command : SetConfiguration or SetZone
        The validated change.
    """

    call_id: int
    command: set_configuration.SetConfiguration | set_zone.SetZone
