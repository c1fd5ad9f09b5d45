"""Synchronization of a node's table and serving right with control."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from limpetreel.catalog import (
    delta_body,
    delta_source,
    fetch,
    member_record,
    member_state,
    outgoing,
    peer,
    record,
    role,
)
from limpetreel.core import failure
from limpetreel.messages import (
    delta,
    delta_request,
    lease,
    mismatch,
    probe,
    probe_answer,
    renew,
)
from limpetreel.wire import address

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.catalog import node_identity, table
    from limpetreel.serving import serving_right

RENEW_SECONDS = 0.5
MIN_RENEW_SECONDS = 0.2
"""Minimum interval between renewals of a node that sees a newer revision."""

PROBE_SECONDS = 0.5
JITTER = 0.1
"""Relative jitter of intervals, so that nodes do not send at the same time."""

RETRY_SECONDS = 0.5
"""Time without progress after which missing parts are requested again."""

MAX_ATTEMPTS = 6
STALLED_ATTEMPTS = 2
"""Requests without progress after which another source may be used."""

FIRST_FETCH_SECONDS = 3.0
"""Largest delay of a fetch after an outage, when all nodes fetch."""

PROMPT_SECONDS = 0.1
"""Time within which control under low load answers the first renewal.

A node that has just started then fetches without delay. When all nodes start at once,
the renewals of most of them wait, and their fetches are spread as after an outage.
"""

OUTAGE_SECONDS = 5.0
CONTROL_TIMEOUT_SECONDS = 1.0
"""Two unanswered renewals; from then on deltas are fetched from other nodes."""

MAX_OUTSTANDING = 16
PEER_BYTES_PER_SECOND = 64_000


class TableSync:
    """Node side of the exchange with control and of probes.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    controls : sequence of Address
        Control instances.
    records : Table
        Table to keep up to date.
    right : ServingRight
        Receives the leases and probe answers that this table is new enough for.
    seed : int
        Seed of the jitter and of the choice of peers.
    """

    def __init__(
        self,
        identity: node_identity.NodeIdentity,
        controls: Sequence[address.Address],
        records: table.Table,
        right: serving_right.ServingRight,
        seed: int,
    ) -> None:
        self._identity = identity
        self._controls = tuple(controls)
        self._table = records
        self._right = right
        self._random = random.Random(seed)
        self._source = delta_source.DeltaSource(records)
        self._scope = identity.class_name
        self._control = self._random.randrange(len(self._controls))
        self._nonce = 0
        self._renewals: dict[int, float] = {}
        self._probes: dict[int, tuple[float, str]] = {}
        self._renew_at = float("-inf")
        self._renewed_at = float("-inf")
        self._probe_at = float("-inf")
        self._answered_at = float("-inf")
        self._is_answered = True
        self._leases: list[tuple[int, float, int]] = []
        self._probe_answers: list[tuple[int, float, str]] = []
        self._fetch: fetch.Fetch | None = None
        self._sent_second = 0
        self._sent_bytes = 0
        self.capacity = 0
        self.is_draining = False
        self.is_leaving = False
        self.newest_incarnation = identity.incarnation
        self._catch_up_count = 0

    @property
    def is_superseded(self) -> bool:
        """Whether control knows a higher incarnation of this node's name."""
        return self.newest_incarnation > self._identity.incarnation

    @property
    def change_marker(self) -> tuple[float, float, int, int]:
        """Value that changes with every step that sends no message."""
        attempts = self._fetch.attempts if self._fetch is not None else -1
        return self._renew_at, self._probe_at, attempts, self._catch_up_count

    def tick(self, now: float) -> list[outgoing.Outgoing]:
        """Return the messages that are due; to be called about every 0.1 s."""
        messages = []
        if now >= self._renew_at:
            messages += self.renew_now(now)
        if now >= self._probe_at:
            self._probe_at = now + self._jittered(PROBE_SECONDS)
            messages += self._probe_zones(now)
        return messages + self._retry_fetch(now)

    def renew_now(self, now: float) -> list[outgoing.Outgoing]:
        """Return a renewal, for example at once when the node drains or leaves."""
        if not self._is_answered:
            self._control = (self._control + 1) % len(self._controls)
        self._is_answered = False
        self._renewed_at = now
        self._renew_at = now + self._jittered(RENEW_SECONDS)
        nonce = self._next_nonce()
        _add_outstanding(self._renewals, nonce, now)
        message = renew.Renew(
            **msgspec.structs.asdict(self._identity),
            revision=self._table.revision,
            digest=self._table.scope_digest(self._scope),
            capacity=self.capacity,
            draining=self.is_draining,
            leaving=self.is_leaving,
            nonce=nonce,
        )
        to = peer.Peer(self._controls[self._control])
        return [outgoing.Outgoing(to, message)]

    def receive(
        self, now: float, source: peer.Peer, message: object
    ) -> list[outgoing.Outgoing]:
        """Handle a message and return the messages to send in response.

        Parameters
        ----------
        now : float
            Time in seconds.
        source : Peer
            Sender of the frame.
        message
            The message; types handled elsewhere are ignored.
        """
        if isinstance(message, lease.Lease):
            return self._handle_lease(now, source, message)
        if isinstance(message, delta.Delta):
            return self._handle_part(now, source, message)
        if isinstance(message, delta_request.DeltaRequest):
            return self._handle_delta_request(now, source, message)
        if isinstance(message, probe.Probe):
            answer = probe_answer.ProbeAnswer(
                message.nonce, self._identity.zone, self._table.revision
            )
            return [outgoing.Outgoing(source, answer)]
        if isinstance(message, probe_answer.ProbeAnswer):
            return self._handle_probe_answer(now, source, message)
        if isinstance(message, mismatch.Mismatch):
            return self._catch_up(now, source, message.revision)
        return []

    def adopt_lease(
        self, now: float, source: peer.Peer, lease_ms: int, revision: int
    ) -> list[outgoing.Outgoing]:
        """Adopt the lease in a frame of an entry if this table is as new.

        Parameters
        ----------
        now : float
            Time in seconds.
        source : Peer
            Sender of the frame.
        lease_ms : int
            Remaining lease of the sender.
        revision : int
            Table revision of the sender.
        """
        if revision <= self._table.revision:
            self._right.adopt_lease(now, lease_ms)
            return []
        return self._catch_up(now, source, revision)

    def _handle_lease(
        self, now: float, source: peer.Peer, message: lease.Lease
    ) -> list[outgoing.Outgoing]:
        sent_at = self._renewals.pop(message.nonce, None)
        if sent_at is None:
            return []
        is_after_outage = now - self._answered_at > OUTAGE_SECONDS
        is_start = self._answered_at == float("-inf")
        is_prompt = is_start and now - sent_at <= PROMPT_SECONDS
        self._answered_at = now
        # An instance that is cut off from the others answers but has no lease to
        # grant; the next renewal then goes to another one.
        self._is_answered = message.lease_ms > 0
        self.newest_incarnation = max(self.newest_incarnation, message.incarnation)
        if self.is_superseded:
            return []
        is_equal = message.digest == self._table.scope_digest(self._scope)
        if is_equal and message.revision > self._table.revision:
            # Changes outside the scope only: the same records are the newer table.
            self._table.revision = message.revision
            self._apply_pending()
        if is_equal or message.revision < self._table.revision:
            self._right.renew(sent_at, message.lease_ms)
            return []
        self._leases.append((message.revision, sent_at, message.lease_ms))
        self._leases = self._leases[-MAX_OUTSTANDING:]
        is_same = message.revision == self._table.revision
        delay = 0.0
        if is_after_outage and not is_prompt:
            delay = self._random.uniform(0.0, FIRST_FETCH_SECONDS)
        start = 0 if is_same else self._table.revision
        return self._start_fetch(now, source, start, delay)

    def _handle_probe_answer(
        self, now: float, source: peer.Peer, message: probe_answer.ProbeAnswer
    ) -> list[outgoing.Outgoing]:
        sent_at, zone = self._probes.pop(message.nonce, (now, ""))
        if not zone or zone != message.zone:
            return []
        if message.revision <= self._table.revision:
            self._right.record_zone_contact(sent_at, zone)
            return []
        self._probe_answers.append((message.revision, sent_at, zone))
        self._probe_answers = self._probe_answers[-MAX_OUTSTANDING:]
        return self._catch_up(now, source, message.revision)

    def _catch_up(
        self, now: float, source: peer.Peer, revision: int
    ) -> list[outgoing.Outgoing]:
        """Renew early; if control does not answer, fetch the revision from a node."""
        if revision <= self._table.revision:
            return []
        self._catch_up_count += 1
        if now - self._answered_at <= CONTROL_TIMEOUT_SECONDS:
            earliest = max(now, self._renewed_at + MIN_RENEW_SECONDS)
            self._renew_at = min(self._renew_at, earliest)
            return []
        return self._start_fetch(
            now, self._fetch_peer(source), self._table.revision, 0.0
        )

    def _fetch_peer(self, source: peer.Peer) -> peer.Peer:
        """Return a node that holds the scope: the source, or else a random entry."""
        entries = []
        for member in self._reachable_members():
            is_source = _address(member) == source.address
            is_whole = member.role is role.Role.ENTRY
            if is_source and (is_whole or member.class_name == self._scope):
                return source
            if is_whole and member.name != self._identity.name:
                entries.append(member)
        if not entries:
            return source
        chosen = self._random.choice(entries)
        return peer.Peer(_address(chosen), chosen.incarnation)

    def _start_fetch(
        self, now: float, source: peer.Peer, revision: int, delay: float
    ) -> list[outgoing.Outgoing]:
        current = self._fetch
        if current is not None and current.attempts < STALLED_ATTEMPTS:
            is_enough = current.revision == 0 or revision > 0
            if is_enough:
                return []
        self._fetch = fetch.Fetch(source, revision, self._scope, now + delay)
        if delay > 0:
            # Makes the first request due as soon as the delay has passed.
            self._fetch.requested_at -= RETRY_SECONDS
            return []
        return self._request_parts(now, self._fetch)

    def _request_parts(
        self, now: float, current: fetch.Fetch
    ) -> list[outgoing.Outgoing]:
        current.requested_at = now
        return [outgoing.Outgoing(current.source, r) for r in current.requests()]

    def _retry_fetch(self, now: float) -> list[outgoing.Outgoing]:
        current = self._fetch
        if current is None or now - current.requested_at < RETRY_SECONDS:
            return []
        current.attempts += 1
        if current.attempts > MAX_ATTEMPTS:
            # The next lease or probe answer starts a new fetch from its own sender.
            self._fetch = None
            return []
        return self._request_parts(now, current)

    def _handle_part(
        self, now: float, source: peer.Peer, part: delta.Delta
    ) -> list[outgoing.Outgoing]:
        current = self._fetch
        if current is None or source.address != current.source.address:
            return []
        if not current.add(part):
            return []
        current.requested_at = now
        if current.is_complete():
            self._fetch = None
            before = (self._table.revision, self._table.digest)
            if not self._install(current):
                return self._start_fetch(now, source, 0, 0.0)
            # A whole table of a lower revision is not installed, and must not
            # apply a lease that waits for the records of this revision.
            if before != (self._table.revision, self._table.digest):
                self._apply_pending()
            return []
        return self._request_parts(now, current) if current.is_window_complete() else []

    def _install(self, done: fetch.Fetch) -> bool:
        """Install a complete delta in the table; return False if it is invalid."""
        head = done.head
        records = delta_body.decode(done.body())
        if head is None or isinstance(records, failure.Failure):
            return False
        if head.from_revision > 0:
            if head.to_revision <= self._table.revision:
                return True
            if self._table.digest_after(records) != head.digest:
                return False
            self._table.apply(records, head.to_revision)
            return True
        digest = 0
        for installed in records:
            digest ^= record.record_hash(installed)
        if digest != head.digest:
            return False
        # The whole table also replaces one of the same revision that differs.
        if head.to_revision >= self._table.revision:
            self._table.replace(records, head.to_revision, head.to_revision)
        return True

    def _apply_pending(self) -> None:
        """Apply pending leases and probe answers that the table now covers."""
        revision = self._table.revision
        for needed, sent_at, lease_ms in self._leases:
            if needed <= revision:
                self._right.renew(sent_at, lease_ms)
        self._leases = [pending for pending in self._leases if pending[0] > revision]
        for needed, sent_at, zone in self._probe_answers:
            if needed <= revision:
                self._right.record_zone_contact(sent_at, zone)
        self._probe_answers = [
            pending for pending in self._probe_answers if pending[0] > revision
        ]

    def _handle_delta_request(
        self, now: float, source: peer.Peer, request: delta_request.DeltaRequest
    ) -> list[outgoing.Outgoing]:
        """Answer a node that cannot reach control."""
        if self._scope not in ("", request.scope):
            return []
        if int(now) != self._sent_second:
            self._sent_second = int(now)
            self._sent_bytes = 0
        messages = []
        for part in self._source.parts(request):
            if self._sent_bytes >= PEER_BYTES_PER_SECOND:
                break
            self._sent_bytes += len(part.body)
            messages.append(outgoing.Outgoing(source, part))
        return messages

    def _probe_zones(self, now: float) -> list[outgoing.Outgoing]:
        """Return a probe to one node in every other zone of the region."""
        by_zone: dict[str, list[member_record.MemberRecord]] = {}
        for member in self._reachable_members():
            if member.region == self._identity.region:
                by_zone.setdefault(member.zone, []).append(member)
        by_zone.pop(self._identity.zone, None)
        messages = []
        for zone in sorted(by_zone):
            chosen = self._random.choice(by_zone[zone])
            nonce = self._next_nonce()
            _add_outstanding(self._probes, nonce, (now, zone))
            to = peer.Peer(_address(chosen))
            message = probe.Probe(nonce, self._identity.zone)
            messages.append(outgoing.Outgoing(to, message))
        return messages

    def _reachable_members(self) -> list[member_record.MemberRecord]:
        lost = member_state.MemberState.LOST
        return [m for m in self._table.members() if m.state is not lost]

    def _next_nonce(self) -> int:
        self._nonce += 1
        return self._nonce

    def _jittered(self, seconds: float) -> float:
        return seconds * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)


def _address(member: member_record.MemberRecord) -> address.Address:
    return address.from_socket((member.host, member.port))


def _add_outstanding(outstanding: dict, nonce: int, value: object) -> None:
    """Add an outstanding request and evict the oldest beyond `MAX_OUTSTANDING`."""
    outstanding[nonce] = value
    if len(outstanding) > MAX_OUTSTANDING:
        del outstanding[next(iter(outstanding))]
