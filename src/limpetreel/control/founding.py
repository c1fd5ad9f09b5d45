"""Acceptance of the first instances of a cluster."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limpetreel import exceptions
from limpetreel.consensus import founding_record
from limpetreel.control.actions import save_founding, send_peer
from limpetreel.control.messages import (
    founding_message,
    founding_reply,
    founding_request,
)
from limpetreel.wire import kind

if TYPE_CHECKING:
    from limpetreel.consensus import durable_state

REQUEST_INTERVAL_SECONDS = 0.2


class Founding:
    """Prevents a first member that lost its disk from voting a second time.

    All first members have the same incarnation, so a data folder that
    is initialised again with the list of a new cluster would reuse the lost identity
    without its log and votes. A first member therefore takes part in the replicated log
    only once every other one has accepted its data folder, and each accepts, for
    good, the first folder that it sees of a name.

    Parameters
    ----------
    durable : DurableState
        What was recovered from disk.
    address : str
        Own address, for replies.
    """

    def __init__(self, durable: durable_state.DurableState, address: str) -> None:
        self._name = durable.name
        self._folder = durable.folder
        self._address = address
        self._others = {m.name: m for m in durable.founders if m.name != durable.name}
        self._accepted_by: set[str] = set()
        self._record = durable.founding
        self._request_at = float("-inf")
        if not self._others and not self._record.done:
            self._record = msgspec.structs.replace(self._record, done=True)

    @property
    def is_done(self) -> bool:
        """Whether this instance may take part in the replicated log."""
        return self._record.done

    @property
    def missing(self) -> list[str]:
        """Names of the first members that have not accepted this instance."""
        return sorted(self._others.keys() - self._accepted_by)

    def tick(self, now: float) -> list[msgspec.Struct]:
        """Send requests to the first members that have not accepted yet."""
        if self.is_done or now < self._request_at:
            return []
        self._request_at = now + REQUEST_INTERVAL_SECONDS
        message = founding_request.FoundingRequest(
            self._name, self._folder, self._address
        )
        return [_send(self._others[name].address, message) for name in self.missing]

    def handle(self, message: founding_message.Message) -> list[msgspec.Struct]:
        """Handle a request or a reply from another instance.

        Raises
        ------
        StorageError
            If another instance has accepted an earlier data folder of this one.
        """
        if isinstance(message, founding_request.FoundingRequest):
            return self._on_request(message)
        return self._on_reply(message)

    def _on_request(
        self, message: founding_request.FoundingRequest
    ) -> list[msgspec.Struct]:
        actions: list[msgspec.Struct] = []
        accepted = self._record.accepted
        # An instance that joined later cannot know which folder came first.
        is_accepted = message.name in self._others and (
            accepted.get(message.name, message.folder) == message.folder
        )
        if is_accepted and message.name not in accepted:
            actions += self._save({**accepted, message.name: message.folder})
        reply = founding_reply.FoundingReply(self._name, message.folder, is_accepted)
        return [*actions, _send(message.address, reply)]

    def _on_reply(self, message: founding_reply.FoundingReply) -> list[msgspec.Struct]:
        if self.is_done or message.folder != self._folder:
            return []
        if not message.accepted:
            raise exceptions.StorageError(
                "control.founding",
                f"{self._name} had another data folder before; empty this one and "
                "initialise it with 'limpetreel init --join'",
                peer=message.name,
            )
        self._accepted_by.add(message.name)
        if self.missing:
            return []
        return self._save(self._record.accepted, is_done=True)

    def _save(
        self, accepted: dict[str, int], is_done: bool = False
    ) -> list[msgspec.Struct]:
        is_done = is_done or self._record.done
        self._record = founding_record.FoundingRecord(accepted, is_done)
        return [save_founding.SaveFounding(self._record)]


def _send(address: str, message: founding_message.Message) -> send_peer.SendPeer:
    body = founding_message.encode(message)
    return send_peer.SendPeer(address, kind.Kind.FOUNDING, body)
