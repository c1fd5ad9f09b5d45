"""Composition root: builds the processes of all roles from settings."""

from __future__ import annotations

import random
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
from limpetreel.entry import entry_core, entry_shell
from limpetreel.node import node_link
from limpetreel.storage import folder_disk, log_store
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
    link = _link(cfg, role.Role.ENTRY, "")
    own = address.from_socket(cfg.listen)
    decisions = entry_core.EntryCore(link, own, cfg.trace_every)
    return entry_shell.EntryShell(cfg, decisions, _codec(cfg, link))


def build_agent(cfg: agent_settings.AgentSettings) -> agent_shell.AgentShell:
    """Return an agent that is ready to serve."""
    link = _link(cfg, role.Role.AGENT, cfg.class_name)
    protocol = coap_protocol.CoapProtocol()
    decisions = agent_core.AgentCore(link, protocol, seed=link.identity.incarnation)
    return agent_shell.AgentShell(cfg, decisions, _codec(cfg, link))


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
    seeds = tuple(a for a in peer_addresses(cfg.peers).values() if a != own_address)
    raft = raft_core.RaftCore(durable, rng, own_address, seeds)
    first, _, last = cfg.class_ports.partition("-")
    first_entry = bootstrap.Bootstrap(int(first), int(last))
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
    return control_shell.ControlShell(
        cfg, decisions, store, codec, peer_codec, operators
    )


def peer_addresses(text: str) -> dict[str, str]:
    """Return the addresses of control instances by name.

    Parameters
    ----------
    text : str
        Comma-separated ``NAME=IP:PORT``.
    """
    pairs = (part.partition("=") for part in text.split(",") if part)
    return {name: where for name, _, where in pairs}


def _link(
    cfg: node_settings.NodeSettings, kind: role.Role, class_name: str
) -> node_link.NodeLink:
    host, port = cfg.listen
    ident = node_identity.NodeIdentity(
        cfg.name, kind, class_name, cfg.zone, cfg.region, host, port, _now_ms()
    )
    control = tuple(address.from_socket(pair) for pair in cfg.control)
    return node_link.NodeLink(ident, control, seed=ident.incarnation)


def _codec(
    cfg: node_settings.NodeSettings, link: node_link.NodeLink
) -> frame_codec.FrameCodec:
    return frame_codec.FrameCodec(
        cfg.cluster_key, link.node_id, link.identity.incarnation
    )


def _now_ms() -> int:
    """Return milliseconds since 1970, the incarnation of a starting process."""
    return time.time_ns() // 1_000_000
