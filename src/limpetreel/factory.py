"""Composition root: builds the processes of all roles from settings."""

from __future__ import annotations

import random
import sys
import time
from typing import TYPE_CHECKING

import xxhash

from limpetreel import exceptions
from limpetreel.agent import agent_core, agent_shell
from limpetreel.catalog import node_identity, role
from limpetreel.catalog.commands import bootstrap
from limpetreel.coap import coap_protocol
from limpetreel.consensus import raft_core
from limpetreel.control import (
    control_core,
    control_shell,
    founding,
    operator_codec,
    peer_links,
)
from limpetreel.core import failure, reason
from limpetreel.entry import entry_core, entry_shell
from limpetreel.node import node_link
from limpetreel.replay import core_state, entry_filter, full_filter, header, recorder
from limpetreel.settings import (
    agent_settings,
    control_settings,
    entry_settings,
    loader,
    settings_codec,
)
from limpetreel.storage import folder_disk, log_store
from limpetreel.telemetry import log_writer, rotating_file, telemetry
from limpetreel.wire import address, frame_codec

if TYPE_CHECKING:
    import pathlib

    from limpetreel.core import core
    from limpetreel.replay import event_filter
    from limpetreel.settings import (
        node_settings,
        telemetry_settings,
    )
    from limpetreel.telemetry import span_recorder

_BYTES_PER_MB = 1_000_000


def build_entry(cfg: entry_settings.EntrySettings) -> entry_shell.EntryShell:
    """Return an entry that is ready to serve."""
    decisions = _entry_core(cfg, _now_ms())
    chosen = entry_filter.EntryFilter(decisions)
    watch = _node_telemetry(cfg, decisions, chosen)
    codec = _codec(cfg, decisions.link)
    _watch_node(watch, decisions.link, codec)
    watch.watch_drops("entry.core", lambda: decisions.dropped)
    return entry_shell.EntryShell(cfg, decisions, codec, watch)


def build_agent(cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
    """Return an agent that is ready to serve."""
    decisions = _agent_core(cfg, _now_ms())
    watch = _node_telemetry(cfg, decisions, full_filter.FullFilter())
    codec = _codec(cfg, decisions.link)
    _watch_node(watch, decisions.link, codec)
    watch.watch_drops("agent.core", lambda: decisions.all_dropped)
    watch.watch(
        "relays_total", "relays to other agents", "", lambda: {"": decisions.relays}
    )
    return agent_shell.AgentShell(cfg, decisions, codec, watch)


def build_control(
    cfg: control_settings.ControlSettings,
) -> control_shell.ControlShell:
    """Return a control instance that is ready to serve.

    Raises
    ------
    StorageError
        If the data folder has not been put into use.
    """
    store = log_store.LogStore(folder_disk.FolderDisk(cfg.data))
    durable = store.recover()
    if durable is None:
        raise exceptions.StorageError(
            "control.start",
            "the folder is not in use; put it into use with 'limpetreel init'",
            path=str(cfg.data),
        )
    rng = random.Random()
    own_address = f"{cfg.peer_listen[0]}:{cfg.peer_listen[1]}"
    seeds = tuple(p.host_port for p in cfg.peers if p.host_port != own_address)
    raft = raft_core.RaftCore(durable, rng, own_address, seeds)
    ports = cfg.class_ports
    first_entry = bootstrap.Bootstrap(ports.first, ports.last)
    decisions = control_core.ControlCore(
        time.monotonic(),
        raft,
        first_entry,
        own_address,
        founding.Founding(durable, own_address),
    )
    incarnation = _now_ms()
    node_id = xxhash.xxh64_intdigest(cfg.name.encode())
    codec = frame_codec.FrameCodec(cfg.cluster_key, node_id, incarnation)
    peer_codec = frame_codec.FrameCodec(
        cfg.cluster_key, node_id, incarnation, peer_links.MAX_MESSAGE_BYTES
    )
    operators = operator_codec.OperatorCodec(cfg.operator_key)
    log = _control_recorder(cfg, decisions, incarnation)
    watch = build_telemetry(cfg, cfg.name, "control", cfg.data, log)
    watch.watch("frames_refused_total", "frames", "reason", lambda: codec.rejected)
    watch.watch_drops("control.core", lambda: decisions.dropped)
    return control_shell.ControlShell(
        cfg, decisions, store, codec, peer_codec, operators, watch
    )


def _control_recorder(
    cfg: control_settings.ControlSettings,
    decisions: control_core.ControlCore,
    incarnation: int,
) -> recorder.Recorder | None:
    if not cfg.decision_log:
        return None
    # A control core depends on what the disk held at the start, not on settings.
    state = core_state.save(decisions)
    if isinstance(state, failure.Failure):
        raise exceptions.StorageError(state.step, state.detail)
    first = header.Header("control", b"", incarnation, incarnation)
    file = _file(cfg, cfg.data, cfg.decision_log)
    chosen = full_filter.FullFilter()
    return recorder.Recorder(file, first, decisions, chosen, state)


def build_core(first: header.Header) -> core.Core | failure.Failure:
    """Return the core that a decision log begins with.

    Parameters
    ----------
    first : Header
        Header of the log.
    """
    if first.role == "entry":
        cfg = settings_codec.decode(first.settings, entry_settings.EntrySettings)
        if not isinstance(cfg, failure.Failure):
            return _entry_core(cfg, first.incarnation)
        return cfg
    if first.role == "agent":
        found = settings_codec.decode(first.settings, agent_settings.AgentSettings)
        if not isinstance(found, failure.Failure):
            return _agent_core(found, first.incarnation)
        return found
    return failure.Failure(reason.Reason.UNKNOWN_KIND, "replay.build", first.role)


def build_telemetry(
    cfg: telemetry_settings.TelemetrySettings,
    node: str,
    kind: str,
    folder: pathlib.Path | None,
    decisions: recorder.Recorder | None = None,
    spans: span_recorder.SpanRecorder | None = None,
) -> telemetry.Telemetry:
    """Return what a shell reports to.

    Parameters
    ----------
    cfg : TelemetrySettings
        Settings.
    node, kind : str
        Name and role of the process.
    folder : pathlib.Path or None
        Data folder.
    decisions : Recorder or None
        Decision log.
    spans : SpanRecorder or None
        Trace file.
    """
    stream: log_writer.Stream = sys.stderr.buffer
    if cfg.log_file and folder is not None:
        stream = _file(cfg, folder, cfg.log_file)
    log = log_writer.LogWriter(node, kind, cfg.log_level, stream, loader.secrets(cfg))
    return telemetry.Telemetry(node, kind, log, spans, decisions, cfg.metrics)


def _node_telemetry(
    cfg: node_settings.NodeSettings,
    target: entry_core.EntryCore | agent_core.AgentCore,
    chosen: event_filter.EventFilter,
) -> telemetry.Telemetry:
    ident = target.link.identity
    kind = ident.role.value
    decisions = None
    if cfg.decision_log and cfg.data is not None:
        encoded = settings_codec.encode(loader.without_secrets(cfg))
        first = header.Header(kind, encoded, ident.incarnation, ident.incarnation)
        file = _file(cfg, cfg.data, cfg.decision_log)
        decisions = recorder.Recorder(file, first, target, chosen)
    spans = _spans(cfg)
    return build_telemetry(cfg, cfg.name, kind, cfg.data, decisions, spans)


def _spans(cfg: node_settings.NodeSettings) -> span_recorder.SpanRecorder | None:
    if not cfg.trace_file or cfg.data is None:
        return None
    # Loaded here because the library takes memory that is not needed without a
    # trace file.
    from limpetreel.telemetry import span_exporter, span_recorder

    file = _file(cfg, cfg.data, cfg.trace_file)
    exporter = span_exporter.SpanExporter(cfg.name, file)
    return span_recorder.SpanRecorder(exporter, seed=time.time_ns())


def _file(
    cfg: telemetry_settings.TelemetrySettings, folder: pathlib.Path, name: str
) -> rotating_file.RotatingFile:
    folder.mkdir(parents=True, exist_ok=True)
    return rotating_file.RotatingFile(folder / name, cfg.file_mb * _BYTES_PER_MB)


def _entry_core(
    cfg: entry_settings.EntrySettings, incarnation: int
) -> entry_core.EntryCore:
    link = _link(cfg, role.Role.ENTRY, "", incarnation)
    own = address.from_socket(cfg.listen)
    return entry_core.EntryCore(link, own, cfg.trace_every)


def _agent_core(
    cfg: agent_settings.AgentSettings, incarnation: int
) -> agent_core.AgentCore:
    link = _link(cfg, role.Role.AGENT, cfg.class_name, incarnation)
    return agent_core.AgentCore(link, coap_protocol.CoapProtocol(), seed=incarnation)


def _link(
    cfg: node_settings.NodeSettings, kind: role.Role, class_name: str, incarnation: int
) -> node_link.NodeLink:
    host, port = cfg.listen
    ident = node_identity.NodeIdentity(
        cfg.name, kind, class_name, cfg.zone, cfg.region, host, port, incarnation
    )
    control = tuple(address.from_socket(pair) for pair in cfg.control)
    return node_link.NodeLink(ident, control, seed=incarnation)


def _codec(
    cfg: node_settings.NodeSettings, link: node_link.NodeLink
) -> frame_codec.FrameCodec:
    return frame_codec.FrameCodec(
        cfg.cluster_key, link.node_id, link.identity.incarnation
    )


def _watch_node(
    watch: telemetry.Telemetry,
    link: node_link.NodeLink,
    codec: frame_codec.FrameCodec,
) -> None:
    """Add the metrics that entries and agents share."""

    def read_lease() -> dict[str, float]:
        return {"": max(0.0, link.right.lease_until - time.monotonic())}

    watch.watch("frames_refused_total", "frames", "reason", lambda: codec.rejected)
    watch.watch(
        "table_revision", "revision", "", lambda: {"": float(link.table.revision)}
    )
    watch.watch("lease_seconds", "what is left of the lease", "", read_lease)


def _now_ms() -> int:
    """Return milliseconds since 1970, the incarnation of a starting process."""
    return time.time_ns() // 1_000_000
