"""Renewals and a leader for tests."""

from __future__ import annotations

from limpetreel.catalog import role
from limpetreel.control import member_tracker
from limpetreel.messages import renew
from tests.catalog import builders


def make_renew(name="m", **fields):
    values = {
        "name": name,
        "role": role.Role.AGENT,
        "class_name": "bookings",
        "zone": "a",
        "region": "r",
        "host": "127.0.0.1",
        "port": 7000,
        "incarnation": 1,
        "revision": 0,
        "digest": 0,
        "capacity": 0,
        "draining": False,
        "leaving": False,
        "nonce": 1,
    }
    return renew.Renew(**(values | fields))


class Leader:
    """Tracker and log; applies proposals at once unless `holds_proposals` is set."""

    def __init__(self, log=None):
        self.now = 100.0
        self.log = log or builders.new_log()
        self.commands = []
        self.holds_proposals = False
        self.start()

    @property
    def table(self):
        return self.log.table

    def start(self):
        self.tracker = member_tracker.MemberTracker(self.now)

    def renew(self, name="m", **fields):
        message = make_renew(name, **fields)
        return self._apply(self.tracker.renewed(self.now, message, self.table))

    def tick(self):
        return self._apply(self.tracker.tick(self.now, self.table))

    def run(self, seconds, *renewals):
        """Advance the time in steps of 0.5 s, with these renewals in each step."""
        commands = []
        for _ in range(round(seconds * 2)):
            self.now += 0.5
            for name, fields in renewals:
                commands += self.renew(name, **fields)
            commands += self.tick()
        return commands

    def state(self, name="m"):
        member = self.table.member(name)
        return member.state.value if member is not None else None

    def _apply(self, commands):
        self.commands += commands
        if commands and not self.holds_proposals:
            self.log.append(*commands)
        return commands
