"""Checks of the answers of control, from operators' commands and answers only."""

from __future__ import annotations

LEASE = 2.0
TOLERANCE = 1e-6
DEFINITE = ("applied", "conflict", "refused")


class Oracle:
    """Answers to commands and the records observed at each revision."""

    def __init__(self):
        self.commands = {}
        self.answers = {}
        self.applied = []
        self.records_by_revision = {}
        self.leaders = {}
        self.current_reads = 0
        self.resends = 0

    def record_leader(self, term, identity):
        first = self.leaders.setdefault(term, identity)
        assert first == identity, "two leaders in one term"

    def record_answer(self, now, body, answer):
        """Check the answer to a command against the first one."""
        command_id = body["command_id"]
        if answer["status"] not in DEFINITE:
            return
        first = self.answers.setdefault(command_id, answer)
        assert first == answer, f"resend answered {answer}, first {first}"
        self.resends += first is not answer
        if first is answer and answer["status"] == "applied":
            self.applied.append((now, answer["revision"], body))

    def record_records(self, records):
        """Any two tables agree on a record at a revision of the record."""
        for key, record in records.items():
            if not key.startswith("member/"):
                revision = key, record.modified
                first = self.records_by_revision.setdefault(revision, record)
                assert first == record, f"{key} differs at {record.modified}"

    def newest(self, before):
        """Return the highest revision that was accepted before a time."""
        return max((r for at, r, _ in self.applied if at <= before), default=0)

    def check_current(self, expected, answer):
        """A current read holds all that was accepted before it began."""
        if answer.get("current"):
            self.current_reads += 1
            assert answer["revision"] >= expected, "current read misses a command"

    def check_lease(self, now, remaining, revision):
        """No lease outlives by 2 s an accepted command that its holder lacks."""
        if remaining > 0:
            for at, accepted, _ in self.applied[-30:]:
                if accepted > revision:
                    latest_end = at + LEASE + TOLERANCE
                    assert now + remaining <= latest_end, "lease too long"

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
