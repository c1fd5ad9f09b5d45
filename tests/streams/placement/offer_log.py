"""Offers and refusals of a simulated site."""

from __future__ import annotations

from limpetreel.streams.actions import send_node
from limpetreel.streams.messages import offer, stream_codec


class OfferLog:
    """Counts the offers of all entries of a site and reads their log lines.

    Parameters
    ----------
    site : StreamSite
        The site, before any load.
    """

    def __init__(self, site):
        self.site = site
        self.offers = {}
        site.on_action = self._record

    def _record(self, node, action):
        if not isinstance(action, send_node.SendNode):
            return
        message = stream_codec.decode(action.data)
        if isinstance(message, offer.Offer):
            self.offers.setdefault(message.packet[:20], []).append(self.site.now)

    def offers_per_attempt(self):
        """Return the mean number of offers of an attempt of a caller."""
        attempts = sum(r.tries for r in self.site.requests)
        return sum(map(len, self.offers.values())) / max(1, attempts)

    def refusals(self):
        """Return the fields of all refusals."""
        lines = [line for _, _, line in self.site.log_lines]
        return [x.fields for x in lines if x.step == "flow.refused"]

    def held_ms(self):
        """Return the sorted times in milliseconds from openings to their refusals."""
        return sorted(fields["held_ms"] for fields in self.refusals())

    def busy_shares(self):
        """Return the work of the served requests of each upstream over its slots."""
        return [u.served * u.work_s / u.slots for u in self.site.upstreams.values()]
