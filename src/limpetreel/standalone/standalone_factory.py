"""Construction of a whole site in one process."""

from __future__ import annotations

import os
import secrets
from typing import TYPE_CHECKING

from limpetreel import factory
from limpetreel.consensus import member
from limpetreel.console import operator_client
from limpetreel.settings import (
    agent_settings,
    control_settings,
    entry_settings,
    standalone_settings,
)
from limpetreel.standalone import standalone_shell
from limpetreel.storage import folder_disk, log_store

if TYPE_CHECKING:
    import pathlib

_KEY_BYTES = 32
FIRST_INCARNATION = 1


def build_standalone(
    cfg: standalone_settings.StandaloneSettings,
) -> standalone_shell.StandaloneShell:
    """Return a whole site in one process.

    The keys are created at the first start and kept in the data folder. The data
    folder is initialised without an operator's command: the control instance is the
    only voter, so a lost folder that is initialised again misleads no other voter.
    """
    cluster_key = _load_or_create_key(cfg.data / "cluster.key")
    operator_key = _load_or_create_key(cfg.data / "operator.key")
    control_cfg = _control_settings(cfg, cluster_key, operator_key)
    _initialise_folder(control_cfg)
    shared = {
        "zone": standalone_shell.ZONE,
        "region": standalone_shell.ZONE,
        "control": (control_cfg.listen,),
        "data": cfg.data,
        "cluster_key": cluster_key,
        "log_level": cfg.log_level,
    }
    entry_cfg = entry_settings.EntrySettings(
        name="entry",
        listen=(cfg.ip, cfg.base_port + 3),
        service_ip=cfg.service_ip,
        **shared,  # type: ignore[arg-type]
    )
    agents = []
    for i, upstream in enumerate(cfg.upstreams):
        first_port = cfg.base_port + standalone_settings.AGENT_PORTS * (i + 1)
        agent_cfg = agent_settings.AgentSettings(
            name=f"agent-{i + 1}",
            listen=(cfg.ip, first_port),
            announce=(cfg.ip, first_port + 1),
            class_name=upstream.class_name,
            upstream=upstream.address,
            drain_seconds=cfg.drain_seconds,
            **shared,  # type: ignore[arg-type]
        )
        agents.append(factory.build_agent(agent_cfg))
    client = operator_client.OperatorClient(
        (control_cfg.operator_listen,), operator_key
    )
    return standalone_shell.StandaloneShell(
        cfg,
        factory.build_control(control_cfg),
        factory.build_entry(entry_cfg),
        agents,
        client,
    )


def _control_settings(
    cfg: standalone_settings.StandaloneSettings, cluster_key: bytes, operator_key: bytes
) -> control_settings.ControlSettings:
    return control_settings.ControlSettings(
        name="control",
        zone=standalone_shell.ZONE,
        listen=(cfg.ip, cfg.base_port),
        operator_listen=(cfg.ip, cfg.base_port + 1),
        peer_listen=(cfg.ip, cfg.base_port + 2),
        data=cfg.data / "control",
        class_ports=cfg.class_ports,
        cluster_key=cluster_key,
        operator_key=operator_key,
        log_level=cfg.log_level,
    )


def _initialise_folder(cfg: control_settings.ControlSettings) -> None:
    store = log_store.LogStore(folder_disk.FolderDisk(cfg.data))
    if store.recover() is None:
        local_address = f"{cfg.peer_listen[0]}:{cfg.peer_listen[1]}"
        members = (member.Member(cfg.name, FIRST_INCARNATION, local_address),)
        store.create(cfg.name, FIRST_INCARNATION, members)
    store.close()


def _load_or_create_key(path: pathlib.Path) -> bytes:
    """Return the key in a file; create the file if it does not exist."""
    if path.exists():
        return path.read_bytes().strip()
    path.parent.mkdir(parents=True, exist_ok=True)
    key = secrets.token_hex(_KEY_BYTES).encode()
    with open(path, "wb", opener=_open_private) as file:
        file.write(key + b"\n")
        file.flush()
        os.fsync(file.fileno())
    return key


def _open_private(name: str, flags: int) -> int:
    return os.open(name, flags, 0o600)
