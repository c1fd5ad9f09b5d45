"""Simulation of nodes that fetch their table from one control instance at once."""

from __future__ import annotations

from limpetreel.catalog import member_record, node_identity, table
from limpetreel.control import node_service
from limpetreel.messages import delta_request, renew
from limpetreel.node import node_link
from limpetreel.slopes import sample_site
from limpetreel.wire import address, message_codec

STEP_SECONDS = 0.1
MAX_SECONDS = 300.0
LEASE_MS = 2_000
CONTROL = address.Address(0x7F000001, 9)


def completion_seconds(
    entries: int, agents: int, scale: float, known_nodes: int = 0
) -> float:
    """Return when the last node holds its table, in seconds of a simulated clock.

    Parameters
    ----------
    entries, agents : int
        Nodes that start without a table at the same moment.
    scale : float
        Size of the table as a ratio of the design size.
    known_nodes : int
        Number of other nodes that fetched changes before. The shared rate limit of
        the instance grows with the number of nodes that it knows.
    """
    records = table.Table()
    records.replace(sample_site.records(scale), 10_000, 10_000)
    service = node_service.NodeService(0.0, records)
    for i in range(known_nodes):
        request = delta_request.DeltaRequest(records.revision)
        service.delta_requested(0.0, i + 1, request)
    nodes = [sample_site.entry(i) for i in range(entries)]
    nodes += [sample_site.agent(i, i) for i in range(agents)]
    waiting = {m.node_id: _link(m, i) for i, m in enumerate(nodes)}
    now = 0.0
    while waiting and now < MAX_SECONDS:
        now += STEP_SECONDS
        for node_id, link in list(waiting.items()):
            _exchange(now, node_id, link, service)
            if link.table.revision == records.revision:
                del waiting[node_id]
    return now


def _link(record: member_record.MemberRecord, seed: int) -> node_link.NodeLink:
    names = node_identity.NodeIdentity.__struct_fields__
    identity = node_identity.NodeIdentity(**{f: getattr(record, f) for f in names})
    return node_link.NodeLink(identity, [CONTROL], seed)


def _exchange(
    now: float,
    node_id: int,
    link: node_link.NodeLink,
    service: node_service.NodeService,
) -> None:
    """Exchange messages without latency until the node has none to send."""
    pending = link.tick(now)
    while pending:
        message = message_codec.decode(pending.pop().body)
        answers: list[message_codec.Message] = []
        if isinstance(message, renew.Renew):
            answers = [service.renewed(message, LEASE_MS)]
        elif isinstance(message, delta_request.DeltaRequest):
            answers = [*service.delta_requested(now, node_id, message)]
        for answer in answers:
            pending += link.receive(now, CONTROL, 1, answer)
