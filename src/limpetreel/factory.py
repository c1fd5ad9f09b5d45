"""Composition root: builds the processes of all roles from settings."""

from __future__ import annotations

import os
import random
import sys
import time
from typing import TYPE_CHECKING

import xxhash

import limpetreel
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
from limpetreel.telemetry import (
    background_stream,
    log_writer,
    rotating_file,
    telemetry,
)
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
    core = _entry_core(cfg, _now_ms())
    event_selection = entry_filter.EntryFilter(core)
    telemetry = _node_telemetry(cfg, core, event_selection)
    codec = _codec(cfg, core.link)
    _add_node_metrics(telemetry, core.link, codec)
    telemetry.add_drop_counter("entry.core", lambda: core.dropped)
    return entry_shell.EntryShell(cfg, core, codec, telemetry)


def build_agent(cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
    """Return an agent that is ready to serve."""
    core = _agent_core(cfg, _now_ms())
    telemetry = _node_telemetry(cfg, core, full_filter.FullFilter())
    codec = _codec(cfg, core.link)
    _add_node_metrics(telemetry, core.link, codec)
    telemetry.add_drop_counter("agent.core", lambda: core.all_dropped)
    telemetry.add_metric(
        "relays_total", "relays to other agents", "", lambda: {"": core.relays}
    )
    return agent_shell.AgentShell(cfg, core, codec, telemetry)


def build_control(
    cfg: control_settings.ControlSettings,
) -> control_shell.ControlShell:
    """Return a control instance that is ready to serve.

    Raises
    ------
    StorageError
        If the data folder has not been initialised.
    """
    store = log_store.LogStore(folder_disk.FolderDisk(cfg.data))
    durable = store.recover()
    if durable is None:
        raise exceptions.StorageError(
            "control.start",
            "the data folder is not initialised; run 'limpetreel init' first",
            path=str(cfg.data),
        )
    rng = random.Random()
    peer_address = f"{cfg.peer_listen[0]}:{cfg.peer_listen[1]}"
    seeds = tuple(p.host_port for p in cfg.peers if p.host_port != peer_address)
    raft = raft_core.RaftCore(durable, rng, peer_address, seeds)
    ports = cfg.class_ports
    bootstrap_command = bootstrap.Bootstrap(ports.first, ports.last)
    core = control_core.ControlCore(
        time.monotonic(),
        raft,
        bootstrap_command,
        peer_address,
        founding.Founding(durable, peer_address),
    )
    incarnation = _now_ms()
    node_id = xxhash.xxh64_intdigest(cfg.name.encode())
    codec = frame_codec.FrameCodec(cfg.cluster_key, node_id, incarnation)
    peer_codec = frame_codec.FrameCodec(
        cfg.cluster_key, node_id, incarnation, peer_links.MAX_MESSAGE_BYTES
    )
    operators = operator_codec.OperatorCodec(cfg.operator_key)
    log = _control_recorder(cfg, core, incarnation)
    telemetry = build_telemetry(cfg, cfg.name, "control", cfg.data, log)
    telemetry.add_metric(
        "frames_refused_total", "frames", "reason", lambda: codec.rejected
    )
    telemetry.add_drop_counter("control.core", lambda: core.dropped)
    return control_shell.ControlShell(
        cfg, core, store, codec, peer_codec, operators, telemetry
    )


def _control_recorder(
    cfg: control_settings.ControlSettings,
    core: control_core.ControlCore,
    incarnation: int,
) -> recorder.Recorder | None:
    if not cfg.decision_log:
        return None
    # The initial state of a control core comes from the disk, not from the settings.
    state = core_state.save(core)
    if isinstance(state, failure.Failure):
        raise exceptions.StorageError(state.step, state.detail)
    log_header = header.Header("control", b"", incarnation, incarnation)
    file = _rotating_file(cfg, cfg.data, cfg.decision_log)
    event_selection = full_filter.FullFilter()
    return recorder.Recorder(file, log_header, core, event_selection, state)


def build_core(log_header: header.Header) -> core.Core | failure.Failure:
    """Return a core in the initial state of a decision log.

    Parameters
    ----------
    log_header : Header
        Header of the log.
    """
    if log_header.role == "entry":
        cfg = settings_codec.decode(log_header.settings, entry_settings.EntrySettings)
        if not isinstance(cfg, failure.Failure):
            return _entry_core(cfg, log_header.incarnation)
        return cfg
    if log_header.role == "agent":
        agent_cfg = settings_codec.decode(
            log_header.settings, agent_settings.AgentSettings
        )
        if not isinstance(agent_cfg, failure.Failure):
            return _agent_core(agent_cfg, log_header.incarnation)
        return agent_cfg
    return failure.Failure(reason.Reason.UNKNOWN_KIND, "replay.build", log_header.role)


def build_telemetry(
    cfg: telemetry_settings.TelemetrySettings,
    node: str,
    role_name: str,
    folder: pathlib.Path | None,
    decisions: recorder.Recorder | None = None,
    spans: span_recorder.SpanRecorder | None = None,
) -> telemetry.Telemetry:
    """Return the telemetry of one process.

    Parameters
    ----------
    cfg : TelemetrySettings
        Settings of logs, metrics and traces.
    node, role_name : str
        Name and role of the process.
    folder : pathlib.Path or None
        Data folder; None if the process has none.
    decisions : Recorder or None
        Recorder of the decision log; None for no decision log.
    spans : SpanRecorder or None
        Recorder of spans; None for no traces.
    """

    def open_stream() -> log_writer.Stream:
        if cfg.log_file and folder is not None:
            return _rotating_file(cfg, folder, cfg.log_file)
        return background_stream.BackgroundStream(sys.stderr.fileno())

    log = log_writer.LogWriter(
        node, role_name, cfg.log_level, open_stream, loader.secrets(cfg)
    )
    return telemetry.Telemetry(
        node,
        role_name,
        log,
        spans,
        decisions,
        cfg.metrics,
        package_folder=os.path.dirname(limpetreel.__file__),
    )


def _node_telemetry(
    cfg: node_settings.NodeSettings,
    core: entry_core.EntryCore | agent_core.AgentCore,
    event_selection: event_filter.EventFilter,
) -> telemetry.Telemetry:
    ident = core.link.identity
    role_name = ident.role.value
    decisions = None
    if cfg.decision_log and cfg.data is not None:
        encoded = settings_codec.encode(loader.without_secrets(cfg))
        log_header = header.Header(
            role_name, encoded, ident.incarnation, ident.incarnation
        )
        file = _rotating_file(cfg, cfg.data, cfg.decision_log)
        decisions = recorder.Recorder(file, log_header, core, event_selection)
    spans = _span_recorder(cfg)
    return build_telemetry(cfg, cfg.name, role_name, cfg.data, decisions, spans)


def _span_recorder(
    cfg: node_settings.NodeSettings,
) -> span_recorder.SpanRecorder | None:
    if not cfg.trace_file or cfg.data is None:
        return None
    # Imported here because the library takes memory that is not needed without a
    # trace file.
    from limpetreel.telemetry import span_exporter, span_recorder

    file = _rotating_file(cfg, cfg.data, cfg.trace_file)
    exporter = span_exporter.SpanExporter(cfg.name, file)
    return span_recorder.SpanRecorder(exporter, seed=time.time_ns())


def _rotating_file(
    cfg: telemetry_settings.TelemetrySettings, folder: pathlib.Path, name: str
) -> rotating_file.RotatingFile:
    folder.mkdir(parents=True, exist_ok=True)
    return rotating_file.RotatingFile(folder / name, cfg.file_mb * _BYTES_PER_MB)


def _entry_core(
    cfg: entry_settings.EntrySettings, incarnation: int
) -> entry_core.EntryCore:
    link = _link(cfg, role.Role.ENTRY, "", incarnation)
    listen_address = address.from_socket(cfg.listen)
    return entry_core.EntryCore(link, listen_address, cfg.trace_every)


def _agent_core(
    cfg: agent_settings.AgentSettings, incarnation: int
) -> agent_core.AgentCore:
    link = _link(cfg, role.Role.AGENT, cfg.class_name, incarnation)
    return agent_core.AgentCore(link, coap_protocol.CoapProtocol(), seed=incarnation)


def _link(
    cfg: node_settings.NodeSettings,
    node_role: role.Role,
    class_name: str,
    incarnation: int,
) -> node_link.NodeLink:
    host, port = cfg.listen
    ident = node_identity.NodeIdentity(
        cfg.name, node_role, class_name, cfg.zone, cfg.region, host, port, incarnation
    )
    control = tuple(address.from_socket(pair) for pair in cfg.control)
    return node_link.NodeLink(ident, control, seed=incarnation)


def _codec(
    cfg: node_settings.NodeSettings, link: node_link.NodeLink
) -> frame_codec.FrameCodec:
    return frame_codec.FrameCodec(
        cfg.cluster_key, link.node_id, link.identity.incarnation
    )


def _add_node_metrics(
    telemetry: telemetry.Telemetry,
    link: node_link.NodeLink,
    codec: frame_codec.FrameCodec,
) -> None:
    """Add the metrics that entries and agents share."""

    def read_lease() -> dict[str, float]:
        return {"": max(0.0, link.right.lease_until - time.monotonic())}

    telemetry.add_metric(
        "frames_refused_total", "frames", "reason", lambda: codec.rejected
    )
    telemetry.add_metric(
        "table_revision", "revision", "", lambda: {"": float(link.table.revision)}
    )
    telemetry.add_metric("lease_seconds", "what is left of the lease", "", read_lease)


def _now_ms() -> int:
    """Return milliseconds since the Unix epoch, the incarnation of a new process."""
    return time.time_ns() // 1_000_000
