"""Composition root: builds the processes of all roles from settings."""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING

from limpetreel.agent import agent_core, agent_shell
from limpetreel.catalog import role
from limpetreel.coap import coap_protocol
from limpetreel.control import control_shell, operator_codec
from limpetreel.core import failure, reason
from limpetreel.entry import entry_core, entry_shell
from limpetreel.node import identity, table_link
from limpetreel.replay import entry_filter, full_filter, header, recorder
from limpetreel.settings import (
    agent_settings,
    entry_settings,
    loader,
    settings_codec,
)
from limpetreel.telemetry import log_writer, rotating_file, telemetry
from limpetreel.wire import address, frame_codec

if TYPE_CHECKING:
    import pathlib

    from limpetreel.core import core
    from limpetreel.replay import event_filter
    from limpetreel.settings import (
        control_settings,
        node_settings,
        telemetry_settings,
    )
    from limpetreel.telemetry import span_recorder

_BYTES_PER_MB = 1_000_000


def build_entry(cfg: entry_settings.EntrySettings) -> entry_shell.EntryShell:
    """Return an entry that is ready to serve."""
    incarnation = _now_ms()
    decisions = _entry_core(cfg, incarnation)
    chosen = entry_filter.EntryFilter(decisions)
    watch = _node_telemetry(cfg, "entry", incarnation, decisions, chosen)
    codec = _codec(cfg, incarnation)
    _watch_node(watch, decisions.link, codec)
    watch.watch_drops("entry.core", lambda: decisions.dropped)
    return entry_shell.EntryShell(cfg, decisions, codec, watch)


def build_agent(cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
    """Return an agent that is ready to serve."""
    incarnation = _now_ms()
    decisions = _agent_core(cfg, incarnation)
    chosen = full_filter.FullFilter()
    watch = _node_telemetry(cfg, "agent", incarnation, decisions, chosen)
    codec = _codec(cfg, incarnation)
    _watch_node(watch, decisions.link, codec)
    watch.watch_drops("agent.core", lambda: decisions.dropped)
    return agent_shell.AgentShell(cfg, decisions, codec, watch)


def build_control(
    cfg: control_settings.ControlSettings,
) -> control_shell.ControlShell:
    """Return a control instance that is ready to serve."""
    ident = identity.Identity(
        cfg.name, role.Role.ENTRY, "", cfg.zone, cfg.region, *cfg.listen, _now_ms()
    )
    codec = frame_codec.FrameCodec(cfg.cluster_key, ident.node_id, ident.incarnation)
    operators = operator_codec.OperatorCodec(cfg.operator_key)
    watch = build_telemetry(cfg, cfg.name, "control", cfg.data)
    watch.watch("frames_refused_total", "frames", "reason", lambda: codec.rejected)
    return control_shell.ControlShell(cfg, codec, operators, watch)


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
    kind: str,
    incarnation: int,
    target: core.Core,
    chosen: event_filter.EventFilter,
) -> telemetry.Telemetry:
    decisions = None
    if cfg.decision_log and cfg.data is not None:
        encoded = settings_codec.encode(loader.without_secrets(cfg))
        first = header.Header(kind, encoded, incarnation, incarnation)
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
    link = _link(cfg, _identity(cfg, role.Role.ENTRY, "", incarnation))
    own = address.from_socket(cfg.listen)
    return entry_core.EntryCore(link, own, cfg.trace_every)


def _agent_core(
    cfg: agent_settings.AgentSettings, incarnation: int
) -> agent_core.AgentCore:
    link = _link(cfg, _identity(cfg, role.Role.AGENT, cfg.class_name, incarnation))
    return agent_core.AgentCore(link, coap_protocol.CoapProtocol(), cfg.class_name)


def _identity(
    cfg: node_settings.NodeSettings, kind: role.Role, class_name: str, incarnation: int
) -> identity.Identity:
    host, port = cfg.listen
    return identity.Identity(
        cfg.name, kind, class_name, cfg.zone, cfg.region, host, port, incarnation
    )


def _link(
    cfg: node_settings.NodeSettings, ident: identity.Identity
) -> table_link.TableLink:
    control = tuple(address.from_socket(pair) for pair in cfg.control)
    return table_link.TableLink(ident, control, seed=ident.incarnation)


def _codec(cfg: node_settings.NodeSettings, incarnation: int) -> frame_codec.FrameCodec:
    ident = _identity(cfg, role.Role.ENTRY, "", incarnation)
    return frame_codec.FrameCodec(cfg.cluster_key, ident.node_id, incarnation)


def _watch_node(
    watch: telemetry.Telemetry,
    link: table_link.TableLink,
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
