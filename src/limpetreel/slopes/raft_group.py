"""Group of Raft cores that exchange messages without a network."""

from __future__ import annotations

import collections
import random

from limpetreel.consensus import durable_state, member, raft_core, role, snapshot
from limpetreel.consensus.actions import send
from limpetreel.consensus.events import message_received, tick
from limpetreel.consensus.messages import envelope, envelope_codec
from limpetreel.wire import frame

STEP_SECONDS = 0.02
SETTLE_SECONDS = 3.0
MEASURED_SECONDS = 5.0


def leader_bytes_per_second(instance_count: int) -> float:
    """Return the bytes per second that the leader of an idle group exchanges.

    Parameters
    ----------
    instance_count : int
        Number of control instances.
    """
    members = tuple(
        member.Member(f"control-{i}", 1, f"a{i}") for i in range(instance_count)
    )
    cores = {}
    for i, peer in enumerate(members):
        durable = durable_state.DurableState(
            peer.name, 1, 0, "", snapshot.Snapshot(0, 0, members)
        )
        cores[peer.address] = raft_core.RaftCore(
            durable, random.Random(i), peer.address
        )
    total = 0
    now = 0.0
    while now < SETTLE_SECONDS + MEASURED_SECONDS:
        now += STEP_SECONDS
        pending = collections.deque(
            (source, action)
            for source, core in cores.items()
            for action in core.handle(now, tick.Tick())
        )
        while pending:
            source, action = pending.popleft()
            if not isinstance(action, send.Send):
                continue
            sender, target = cores[source], cores[action.address]
            message = envelope.Envelope(
                sender.identity, source, action.peer, action.message
            )
            size = len(envelope_codec.encode(message))
            if now > SETTLE_SECONDS and role.Role.LEADER in (sender.role, target.role):
                total += size + frame.HEADER.size + frame.TAG_BYTES
            event = message_received.MessageReceived(message)
            pending.extend((action.address, a) for a in target.handle(now, event))
    return total / MEASURED_SECONDS
