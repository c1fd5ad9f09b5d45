"""Slopes of flows with a handshake: entries, and updates from control."""

from __future__ import annotations

import functools
import io
import itertools
from typing import TYPE_CHECKING

from limpetreel.cluster import fleet_view, upstream_directory, upstream_record
from limpetreel.cluster.messages import cluster_codec, report, update
from limpetreel.configuration import (
    configuration,
    request_kind,
    route,
    service,
    weighted_service,
)
from limpetreel.platform import segment_format
from limpetreel.slopes import resource_usage, slope
from limpetreel.streams import stream_entry_core, stream_key
from limpetreel.streams.actions import log_line, send_node
from limpetreel.streams.events import caller_packet, fleet_changed, node_datagram
from limpetreel.streams.messages import offer, outcome, stream_codec, verdict
from limpetreel.telemetry import log_writer, telemetry

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    import msgspec

DESIGN_FLOWS = 8_442
"""Open flows of an entry at the expected size."""
DESIGN_UPSTREAMS = 4_400
DESIGN_SERVICE_UPSTREAMS = 44
"""Upstreams of the largest service at the expected size of the users' sites."""
PACKETS_PER_CALL = 1_000
SYN_FLAGS, ACK_FLAGS = 0x80, 0x02
_HOST, _PORT = "198.18.0.1", 443
_CODEC = segment_format.SegmentFormat()


def slopes(scales: Sequence[float], repeats: int) -> list[slope.Slope]:
    """Return memory and times of an entry, and sizes of updates.

    Parameters
    ----------
    scales : sequence of float
        Ratios of the expected size at which to measure.
    repeats : int
        Number of calls, of which the shortest one counts.
    """
    flows = [max(2, int(DESIGN_FLOWS * s)) for s in scales]
    upstreams = [max(2, int(DESIGN_UPSTREAMS * s)) for s in scales]
    services = sorted(
        {max(2, int(DESIGN_SERVICE_UPSTREAMS * s)) for s in (0.1, 0.4, 1.0)}
    )
    return [
        slope.fit(
            "entry.stream_flow_memory",
            "open flows",
            "B",
            {
                n: resource_usage.retained_bytes(functools.partial(_entry_with, n))
                for n in flows
            },
            DESIGN_FLOWS,
        ),
        slope.fit(
            "entry.stream_carry",
            "open flows",
            "us",
            {n: _carry_us(n, repeats) for n in flows},
            DESIGN_FLOWS,
        ),
        slope.fit(
            "entry.stream_placement",
            "upstreams of the service",
            "us",
            {n: _placement_us(n, repeats) for n in services},
            DESIGN_SERVICE_UPSTREAMS,
        ),
        slope.fit(
            "entry.stream_placement_logged",
            "upstreams of the service",
            "us",
            {n: _logged_placement_us(n, repeats) for n in services},
            DESIGN_SERVICE_UPSTREAMS,
        ),
        slope.fit(
            "control.stream_full_update",
            "upstreams",
            "B",
            {n: len(cluster_codec.encode(_full_update(n))) for n in upstreams},
            DESIGN_UPSTREAMS,
        ),
        slope.fit(
            "control.stream_directory_memory",
            "upstreams",
            "B",
            {
                n: resource_usage.retained_bytes(functools.partial(_build_directory, n))
                for n in upstreams
            },
            DESIGN_UPSTREAMS,
        ),
    ]


def _records(count: int) -> tuple[upstream_record.UpstreamRecord, ...]:
    return tuple(
        upstream_record.UpstreamRecord(
            f"side-{i}", f"10.1.{i >> 8}.{i & 255}", 8172, "zone-a", "s-1", True, 2
        )
        for i in range(count)
    )


def _entry(upstreams: int) -> stream_entry_core.StreamEntryCore:
    weighted = weighted_service.WeightedService("s-1", 1)
    kind = request_kind.RequestKind.IDEMPOTENT
    flow_route = route.Route("r-1", _HOST, _PORT, kind, 1200, 200, 1, (weighted,))
    service_limits = service.Service("s-1", 2000, 2.0, 0.0)
    cfg = configuration.Configuration(1, (flow_route,), (service_limits,), 15_000)
    core = stream_entry_core.StreamEntryCore(_CODEC, "zone-a", 1)
    view = fleet_view.FleetView(1, cfg, frozenset(), _records(upstreams))
    core.handle(0.0, fleet_changed.FleetChanged(view))
    return core


def _packet(number: int, flags: int) -> bytes:
    caller = stream_key.pack(f"100.64.{number >> 16}.{number >> 8 & 255}", number & 255)
    data = bytearray(_CODEC.reset(caller + stream_key.pack(_HOST, _PORT), 0))
    data[0] = flags
    data[8:12], data[16:20] = data[16:20], data[8:12]
    data[12:14], data[14:16] = data[14:16], data[12:14]
    return bytes(data)


def _place(
    core: stream_entry_core.StreamEntryCore, number: int
) -> list[msgspec.Struct]:
    """Open a flow at the first agent that it is offered to."""
    event = caller_packet.CallerPacket(_packet(number, SYN_FLAGS))
    actions: list[msgspec.Struct] = []
    for action in core.handle(0.0, event):
        if not isinstance(action, send_node.SendNode):
            continue
        message = stream_codec.decode(action.data)
        if isinstance(message, offer.Offer):
            accepted = outcome.Outcome.ACCEPTED
            answer = verdict.Verdict(message.offer_id, accepted, 0, 40, 50)
            data = stream_codec.encode(answer)
            reply = node_datagram.NodeDatagram(*action.address, data)
            actions += core.handle(0.001, reply)
    return actions


def _entry_with(flows: int) -> stream_entry_core.StreamEntryCore:
    core = _entry(DESIGN_SERVICE_UPSTREAMS)
    for number in range(flows):
        _place(core, number)
    return core


def _carry_us(flows: int, repeats: int) -> float:
    core = _entry_with(flows)
    events = [
        caller_packet.CallerPacket(_packet(i % flows, ACK_FLAGS))
        for i in range(PACKETS_PER_CALL)
    ]

    def carry() -> None:
        for event in events:
            core.handle(0.1, event)

    return resource_usage.min_cpu_us(carry, repeats) / PACKETS_PER_CALL


def _new_flows() -> Iterator[int]:
    """Return numbers of flows that the entry has not seen.

    An opening packet of a known flow goes to the flow's owner without a choice.
    """
    return itertools.count()


def _placement_us(upstreams: int, repeats: int) -> float:
    core = _entry(upstreams)
    numbers = _new_flows()

    def place() -> None:
        for number in itertools.islice(numbers, PACKETS_PER_CALL):
            _place(core, number)

    return resource_usage.min_cpu_us(place, repeats) / PACKETS_PER_CALL


def _logged_placement_us(upstreams: int, repeats: int) -> float:
    """Return the time of one of a thousand openings that arrive within a second."""
    core = _entry(upstreams)
    numbers = _new_flows()
    log = log_writer.LogWriter("entry-1", "entry", "info", io.BytesIO)

    def place() -> None:
        outputs = telemetry.Telemetry("entry-1", "entry", log)
        for number in itertools.islice(numbers, PACKETS_PER_CALL):
            for action in _place(core, number):
                if isinstance(action, log_line.LogLine):
                    outputs.log_decision(action.level, action.step, action.fields)

    shortest = resource_usage.min_cpu_us(place, repeats) / PACKETS_PER_CALL
    log.close()
    return shortest


def _full_update(upstreams: int) -> update.Update:
    controls = tuple(f"10.0.0.{i}:7000" for i in range(9))
    return update.Update(1, 2000, None, (), True, _records(upstreams), (), controls)


def _build_directory(upstreams: int) -> upstream_directory.UpstreamDirectory:
    directory = upstream_directory.UpstreamDirectory()
    for i, record in enumerate(_records(upstreams)):
        directory.record_report(0.0, report.Report(i, 1, record))
    return directory
