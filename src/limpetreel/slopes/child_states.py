"""States whose resident memory is measured in a child process."""

from __future__ import annotations

from limpetreel.slopes import control_slopes, entry_slopes


def build(kind: str, scale: float) -> object:
    """Build a state at a scale of the design size.

    Parameters
    ----------
    kind : str
        ``entry``, ``entry-cold`` or ``control``.
    scale : float
        Size of the state as a ratio of the design size.
    """
    if kind == "entry":
        return entry_slopes.build(scale, are_buckets_used=True)
    if kind == "entry-cold":
        return entry_slopes.build(scale, are_buckets_used=False)
    if kind == "control":
        return control_slopes.build(scale)
    raise ValueError(kind)
