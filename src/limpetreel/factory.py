"""Composition root: builds the processes of all roles from settings."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from limpetreel.agent import agent_core, agent_shell
from limpetreel.catalog import role
from limpetreel.coap import coap_protocol
from limpetreel.control import control_shell, operator_codec
from limpetreel.entry import entry_core, entry_shell
from limpetreel.node import identity, table_link
from limpetreel.wire import address, frame_codec

if TYPE_CHECKING:
    from limpetreel.settings import (
        agent_settings,
        control_settings,
        entry_settings,
        node_settings,
    )


def build_entry(cfg: entry_settings.EntrySettings) -> entry_shell.EntryShell:
    """Return an entry that is ready to serve."""
    ident = _identity(cfg, role.Role.ENTRY, "")
    link = _link(cfg, ident)
    own = address.from_socket(cfg.listen)
    decisions = entry_core.EntryCore(link, own, cfg.trace_every)
    return entry_shell.EntryShell(cfg, decisions, _codec(cfg, ident))


def build_agent(cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
    """Return an agent that is ready to serve."""
    ident = _identity(cfg, role.Role.AGENT, cfg.class_name)
    link = _link(cfg, ident)
    protocol = coap_protocol.CoapProtocol()
    decisions = agent_core.AgentCore(ident, link, protocol, seed=ident.incarnation)
    return agent_shell.AgentShell(cfg, decisions, _codec(cfg, ident))


def build_control(
    cfg: control_settings.ControlSettings,
) -> control_shell.ControlShell:
    """Return a control instance that is ready to serve."""
    ident = identity.Identity(
        cfg.name, role.Role.ENTRY, "", cfg.zone, cfg.region, *cfg.listen, _now_ms()
    )
    codec = frame_codec.FrameCodec(cfg.cluster_key, ident.node_id, ident.incarnation)
    operators = operator_codec.OperatorCodec(cfg.operator_key)
    return control_shell.ControlShell(cfg, codec, operators)


def _identity(
    cfg: node_settings.NodeSettings, kind: role.Role, class_name: str
) -> identity.Identity:
    host, port = cfg.listen
    return identity.Identity(
        cfg.name, kind, class_name, cfg.zone, cfg.region, host, port, _now_ms()
    )


def _link(
    cfg: node_settings.NodeSettings, ident: identity.Identity
) -> table_link.TableLink:
    control = tuple(address.from_socket(pair) for pair in cfg.control)
    return table_link.TableLink(ident, control, seed=ident.incarnation)


def _codec(
    cfg: node_settings.NodeSettings, ident: identity.Identity
) -> frame_codec.FrameCodec:
    return frame_codec.FrameCodec(cfg.cluster_key, ident.node_id, ident.incarnation)


def _now_ms() -> int:
    """Return milliseconds since 1970, the incarnation of a starting process."""
    return time.time_ns() // 1_000_000
