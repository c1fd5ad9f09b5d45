"""Checks of the answers of control, from operators' commands and answers only."""

from __future__ import annotations

LEASE = 2.0
SLACK = 1e-6
DEFINITE = ("applied", "conflict", "refused")


class Oracle:
    """Answers of commands and the values seen at each revision."""

    def __init__(self):
        self.commands = {}
        self.answers = {}
        self.applied = []
        self.seen = {}
        self.leaders = {}
        self.current_reads = 0
        self.resends = 0

    def note_leader(self, term, identity):
        assert self.leaders.setdefault(term, identity) == identity, "two leaders"

    def note_answer(self, now, body, answer):
        """Check the answer to a command against the first one."""
        command_id = body["command_id"]
        if answer["status"] not in DEFINITE:
            return
        first = self.answers.setdefault(command_id, answer)
        assert first == answer, f"resend answered {answer}, first {first}"
        self.resends += first is not answer
        if first is answer and answer["status"] == "applied":
            self.applied.append((now, answer["revision"], body))

    def note_records(self, records):
        """Any two tables agree on a record at a revision of the record."""
        for key, record in records.items():
            if not key.startswith("member/"):
                known = self.seen.setdefault((key, record.modified), record)
                assert known == record, f"{key} differs at {record.modified}"

    def newest(self, before):
        """Return the highest revision that was accepted before a time."""
        return max((r for at, r, _ in self.applied if at <= before), default=0)

    def check_current(self, expected, answer):
        """A current read holds all that was accepted before it began."""
        if answer.get("current"):
            self.current_reads += 1
            assert answer["revision"] >= expected, "current read misses a command"

    def check_lease(self, now, remaining, revision):
        """No lease outlives by 2 s an acceptance that its holder does not know."""
        if remaining > 0:
            for at, accepted, _ in self.applied[-30:]:
                if accepted > revision:
                    assert now + remaining <= at + LEASE + SLACK, "lease too long"

    def check_chain(self, records):
        """Each record went through exactly the applied commands, one by one."""
        chains = {}
        for _, revision, body in sorted(self.applied, key=lambda applied: applied[1]):
            key = body["type"].partition("_")[0] + "/" + body["name"]
            assert body["expected"] == chains.get(key, 0), f"{key} forked"
            chains[key] = revision
        for key, record in records.items():
            if not key.startswith("member/"):
                assert record.modified == chains.get(key), f"{key} lost or repeated"
        assert chains.keys() <= records.keys(), "accepted record lost"
