"""Renewals and table changes between a node and control."""

from __future__ import annotations

import random

from limpetreel.catalog import record, table
from limpetreel.messages import delta, delta_request, lease, renew
from limpetreel.node import identity, send_frame
from limpetreel.serving import serving_right
from limpetreel.wire import address, frame, kind, message_codec

RENEW_SECONDS = 0.5


class TableLink:
    """Keeps the table of a node and its serving right.

    Parameters
    ----------
    ident : Identity
        The node.
    control : tuple of Address
        Control instances.
    seed : int
        Seed of the jitter and of the choice of control instances.
    """

    def __init__(
        self, ident: identity.Identity, control: tuple[address.Address, ...], seed: int
    ) -> None:
        self.table = table.Table()
        self.right = serving_right.ServingRight(ident.zone, ident.region)
        self._ident = ident
        self._control = control
        self._rng = random.Random(seed)
        self._next_renewal = 0.0
        self._nonce = 0
        self._sent_at: dict[int, float] = {}
        self._parts: dict[int, tuple[record.Record, ...]] = {}
        self.capacity = 0
        self.draining = False
        self.leaving = False

    def tick(self, now: float) -> list[send_frame.SendFrame]:
        """Return a renewal if one is due."""
        if now < self._next_renewal:
            return []
        self._next_renewal = now + RENEW_SECONDS * self._rng.uniform(0.9, 1.1)
        self._nonce += 1
        self._sent_at = {n: t for n, t in self._sent_at.items() if t > now - 10}
        self._sent_at[self._nonce] = now
        ident = self._ident
        message = renew.Renew(
            name=ident.name,
            role=ident.role,
            class_name=ident.class_name,
            zone=ident.zone,
            region=ident.region,
            host=ident.host,
            port=ident.port,
            incarnation=ident.incarnation,
            revision=self.table.revision,
            digest=self.table.digest,
            capacity=self.capacity,
            draining=self.draining,
            leaving=self.leaving,
            nonce=self._nonce,
        )
        return [self._send(self._rng.choice(self._control), message)]

    def leave(self, now: float) -> list[send_frame.SendFrame]:
        """Return a last renewal, which ends the membership."""
        self.leaving = True
        self._next_renewal = 0.0
        return self.tick(now)

    def receive(
        self, now: float, source: address.Address, message: message_codec.Message
    ) -> list[send_frame.SendFrame]:
        """Take a message of control and return what to send."""
        if isinstance(message, lease.Lease):
            return self._take_lease(source, message)
        if isinstance(message, delta.Delta):
            self._take_delta(message)
        return []

    def _take_lease(
        self, source: address.Address, message: lease.Lease
    ) -> list[send_frame.SendFrame]:
        sent_at = self._sent_at.pop(message.nonce, None)
        if sent_at is None:
            return []
        if message.revision <= self.table.revision:
            self.right.renew(sent_at, message.lease_ms)
            return []
        return [self._send(source, delta_request.DeltaRequest(self.table.revision))]

    def _take_delta(self, message: delta.Delta) -> None:
        if message.part == 0:
            self._parts.clear()
        self._parts[message.part] = message.records
        if len(self._parts) == message.parts:
            records = [r for part in self._parts.values() for r in part]
            self.table.apply(records, message.to_revision)
            self._parts.clear()
            self._next_renewal = 0.0

    def _send(
        self, destination: address.Address, message: message_codec.Message
    ) -> send_frame.SendFrame:
        body = message_codec.encode(message)
        return send_frame.SendFrame(
            destination, frame.ANY_INCARNATION, kind.Kind.MESSAGE, body
        )
