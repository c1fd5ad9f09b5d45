"""Model of the rule by which control changes shares."""

from __future__ import annotations

from limpetreel.catalog import member_record

MIN_DEVIATION_RATIO = 0.25
CHECK_SECONDS = 5.0
CHECKS_BEFORE_CHANGE = 3
"""A deviation at three checks in a row has lasted for 10 s."""


class ShareControl:
    """Changes at most one share of a class at each check, as required of control.

    Parameters
    ----------
    shares : list of int
        Shares of the members of the class.
    """

    def __init__(self, shares: list[int]) -> None:
        self.shares = shares
        self._deviating_checks = [0] * len(shares)

    def check(self, throughputs: list[float]) -> bool:
        """Compare shares with measured throughputs; return whether one changed.

        Parameters
        ----------
        throughputs : list of float
            Measured throughput of each member; 0 where unknown.
        """
        highest = max(throughputs)
        if highest <= 0.0:
            return False
        wanted = [
            max(member_record.MIN_SHARE, round(member_record.MAX_SHARE * m / highest))
            if m > 0.0
            else s
            for m, s in zip(throughputs, self.shares, strict=True)
        ]
        deviations = [abs(w - s) / s for w, s in zip(wanted, self.shares, strict=True)]
        for i, deviation in enumerate(deviations):
            self._deviating_checks[i] = (
                self._deviating_checks[i] + 1 if deviation > MIN_DEVIATION_RATIO else 0
            )
        candidates = [
            i for i, n in enumerate(self._deviating_checks) if n >= CHECKS_BEFORE_CHANGE
        ]
        if not candidates:
            return False
        changed = max(candidates, key=lambda i: deviations[i])
        self.shares[changed] = wanted[changed]
        self._deviating_checks[changed] = 0
        return True
