"""Stand-in for control's rule on changing shares."""

from __future__ import annotations

from limpetreel.catalog import member_record

CHANGE_RATIO = 0.25
CHECK_SECONDS = 5.0
CHECKS_BEFORE_CHANGE = 3
"""A difference at three checks in a row has lasted for 10 s."""


class ShareControl:
    """Changes at most one share of a class at each check, as section 5 demands.

    Parameters
    ----------
    shares : list of int
        Shares of the members of the class.
    """

    def __init__(self, shares: list[int]) -> None:
        self.shares = shares
        self._seen = [0] * len(shares)

    def check(self, measured: list[float]) -> bool:
        """Compare shares with measured values; return whether one changed.

        Parameters
        ----------
        measured : list of float
            What each member bears; 0 where unknown.
        """
        top = max(measured)
        if top <= 0.0:
            return False
        wanted = [
            max(member_record.MIN_SHARE, round(member_record.MAX_SHARE * m / top))
            if m > 0.0
            else s
            for m, s in zip(measured, self.shares, strict=True)
        ]
        off = [abs(w - s) / s for w, s in zip(wanted, self.shares, strict=True)]
        for i, difference in enumerate(off):
            self._seen[i] = self._seen[i] + 1 if difference > CHANGE_RATIO else 0
        due = [i for i, n in enumerate(self._seen) if n >= CHECKS_BEFORE_CHANGE]
        if not due:
            return False
        changed = max(due, key=lambda i: off[i])
        self.shares[changed] = wanted[changed]
        self._seen[changed] = 0
        return True
