"""Composition root of the roles on the users' platform.

It is separate from `factory` because the libraries of the CoAP roles would double
the memory of these processes.
"""

from __future__ import annotations

import os
import random
import sys
import time
from typing import TYPE_CHECKING

import limpetreel
from limpetreel import exceptions
from limpetreel.platform import process_settings, seed_source
from limpetreel.telemetry import log_writer, telemetry

if TYPE_CHECKING:
    from limpetreel.cluster import cluster_shell, control_client
    from limpetreel.consensus import durable_state
    from limpetreel.storage import disk, log_store
    from limpetreel.streams import (
        stream_agent_core,
        stream_agent_shell,
        stream_entry_shell,
        stream_shell,
    )
    from limpetreel.streams.ownership import process_start

    Settings = process_settings.ProcessSettings

METRICS_PORTS = {"entry": 9464, "agent": 9464, "control": 9465}
"""Ports that the deploy file names; an entry and a control instance share a machine."""
TRAILING_ENTRIES = 32
"""Log entries kept before a snapshot; documents take some kilobytes each."""
_MS_PER_SECOND = 1000
_BYTES_PER_MBIT = 125_000


def settings_path() -> str:
    """Return the path of the settings file."""
    name = process_settings.ENVIRONMENT_NAME
    return os.environ.get(name) or process_settings.DEFAULT_PATH


def build_entry(path: process_settings.Path) -> stream_entry_shell.StreamEntryShell:
    """Return an entry that is ready to serve."""
    from limpetreel.platform import http_ready_api, segment_format
    from limpetreel.streams import stream_entry_core, stream_entry_shell

    cfg = process_settings.read(path)
    packets = process_settings.required(cfg, "packets")
    ready = process_settings.required(cfg, "ready")
    telemetry = _build_telemetry(cfg, "entry")
    core = stream_entry_core.StreamEntryCore(
        segment_format.SegmentFormat(),
        cfg.data_centre,
        random.getrandbits(63),
        cfg.link_mbps * _BYTES_PER_MBIT,
    )
    telemetry.add_metric(
        "offers_total", "offers by outcome", "outcome", lambda: core.outcomes
    )
    telemetry.add_metric(
        "refusals_total", "refused flows", "reason,service", lambda: core.refusals
    )
    telemetry.add_metric("open_flows", "flows", "", lambda: {"": core.open_flows})
    telemetry.add_metric(
        "owner_searches_total", "searches by result", "result", lambda: core.searches
    )
    telemetry.add_metric(
        "owner_probes_sent_total",
        "packets sent to agents that are unsure of their flow",
        "",
        lambda: {"": core.probes},
    )
    telemetry.add_drop_counter("entry.core", lambda: core.dropped)
    api = http_ready_api.HttpReadyApi(ready, telemetry)
    node_listen = (cfg.host, cfg.internal_ports[0] + 1)
    shell = stream_entry_shell.StreamEntryShell(
        packets, node_listen, core, api, telemetry
    )
    _attach_control(path, cfg, shell, telemetry, wants_upstreams=True)
    return shell


def build_agent(path: process_settings.Path) -> stream_agent_shell.StreamAgentShell:
    """Return an agent that is ready to serve."""
    process = _read_process_start()
    from limpetreel.platform import (
        announcement_format,
        http_upstream_api,
        segment_format,
    )
    from limpetreel.streams import stream_agent_core, stream_agent_shell

    cfg = process_settings.read(path)
    telemetry = _build_telemetry(cfg, "agent")
    core = stream_agent_core.StreamAgentCore(
        time.monotonic(),
        segment_format.SegmentFormat(),
        cfg.service,
        cfg.data_centre,
        cfg.heartbeat_ms / _MS_PER_SECOND,
        cfg.max_flow_s,
        process,
    )
    telemetry.add_metric(
        "offers_total", "offers by outcome", "outcome", lambda: core.outcomes
    )
    telemetry.add_metric(
        "owner_probes_total",
        "packets of unknown flows that were tried on the upstream, by result",
        "result",
        lambda: core.probes,
    )
    telemetry.add_metric(
        "resets_total", "flows reset, by reason", "reason", lambda: core.resets
    )
    telemetry.add_drop_counter("agent.core", lambda: core.dropped)
    _add_request_metrics(telemetry, core)
    api = http_upstream_api.HttpUpstreamApi(
        process_settings.required(cfg, "control"),
        cfg.ready,
        announcement_format.AnnouncementFormat(cfg.service),
        telemetry,
    )
    shell = stream_agent_shell.StreamAgentShell(
        cfg.node,
        cfg.data_centre,
        cfg.service,
        process_settings.required(cfg, "packets"),
        process_settings.required(cfg, "outbound"),
        process_settings.required(cfg, "upstream"),
        cfg.grace_s,
        core,
        api,
        telemetry,
    )
    _attach_control(path, cfg, shell, telemetry, wants_upstreams=False)
    return shell


def _add_request_metrics(
    telemetry: telemetry.Telemetry, core: stream_agent_core.StreamAgentCore
) -> None:
    telemetry.add_metric(
        "requests_waiting", "requests held", "", lambda: {"": core.requests_waiting}
    )
    telemetry.add_metric(
        "requests_held_total", "requests held", "kind", lambda: core.held_by_kind
    )
    telemetry.add_metric(
        "receiving_flows",
        "flows whose request is arriving",
        "",
        lambda: {"": core.receiving_flows},
    )


def build_control(path: process_settings.Path) -> cluster_shell.ClusterShell:
    """Return a control instance that is ready to serve."""
    from limpetreel.cluster import cluster_core, cluster_shell, durable_instance
    from limpetreel.consensus import open_membership, raft_core
    from limpetreel.platform import configuration_format, http_operator_api

    cfg = process_settings.read(path)
    telemetry = _build_telemetry(cfg, "control")
    port = cfg.internal_ports[0]
    address = f"{cfg.host}:{port}"
    seeds = seed_source.SeedSource(path, port, cfg.seeds, telemetry)
    parser = configuration_format.ConfigurationFormat()

    def open_instance() -> durable_instance.DurableInstance:
        store, durable = _open_store(cfg, port, telemetry)
        raft = raft_core.RaftCore(
            durable,
            random.Random(),
            address,
            seeds.addresses(),
            open_membership.OpenMembership(2 * cfg.lost_machines + 1),
            TRAILING_ENTRIES,
            is_durable=bool(cfg.data_folder),
        )
        core = cluster_core.ClusterCore(raft, parser, address, seeds.addresses)
        return durable_instance.DurableInstance(core, store)

    api = http_operator_api.HttpOperatorApi(
        process_settings.required(cfg, "control"), parser, cfg.data_centres, telemetry
    )
    listen = (cfg.host, port)
    shell = cluster_shell.ClusterShell(listen, cfg.node, open_instance, api, telemetry)
    telemetry.add_metric(
        "calls_total", "calls by status", "status", lambda: shell.outcomes
    )
    return shell


def _read_process_start() -> process_start.ProcessStart:
    """Return a time at which this process existed, as early as is known."""
    from limpetreel.streams.ownership import process_start

    return process_start.ProcessStart(limpetreel.LOADED_AT, limpetreel.LOADED_UNIX_MS)


def _build_telemetry(cfg: Settings, role: str) -> telemetry.Telemetry:
    log = log_writer.LogWriter(
        cfg.node, cfg.role, "info", _open_output, is_deferred=True
    )
    address = (cfg.host, METRICS_PORTS[role])
    result = telemetry.Telemetry(
        cfg.node,
        cfg.role,
        log,
        metrics_address=address,
        package_folder=os.path.dirname(limpetreel.__file__),
        find_faults=_find_faults,
    )
    result.add_metric(
        "log_lines_left_out_total",
        "log lines for which the output had no room",
        "",
        lambda: {"": log.left_out},
    )
    return result


def _find_faults() -> list[str]:
    # Imported here because it runs after the start.
    from limpetreel.platform import installed_build

    return installed_build.find_faults()


def _open_output() -> log_writer.Stream:
    # Imported here because the log is opened after the start.
    from limpetreel.telemetry import background_stream

    return background_stream.BackgroundStream(sys.stdout.fileno())


def _attach_control(
    path: process_settings.Path,
    cfg: Settings,
    shell: stream_shell.StreamShell,
    telemetry: telemetry.Telemetry,
    wants_upstreams: bool,
) -> control_client.ControlClient:
    from limpetreel.cluster import control_client

    seeds = seed_source.SeedSource(path, cfg.internal_ports[0], cfg.seeds, telemetry)
    client = control_client.ControlClient(
        cfg.node,
        seeds.addresses,
        wants_upstreams,
        shell.apply_update,
        telemetry,
        random.Random(),
    )
    shell.attach(client)
    return client


def _open_store(
    cfg: Settings, port: int, telemetry: telemetry.Telemetry
) -> tuple[log_store.LogStore, durable_state.DurableState]:
    """Recover the data folder, or initialise an empty one."""
    from limpetreel.storage import folder_disk, memory_disk

    files: disk.Disk = memory_disk.MemoryDisk()
    if cfg.data_folder:
        files = folder_disk.FolderDisk(cfg.data_folder)
    try:
        return _recover_store(cfg, port, files, telemetry)
    except exceptions.StorageError:
        # The folder stays locked while it is open, and the next attempt reopens it.
        files.close()
        raise


def _recover_store(
    cfg: Settings, port: int, files: disk.Disk, telemetry: telemetry.Telemetry
) -> tuple[log_store.LogStore, durable_state.DurableState]:
    from limpetreel.storage import log_store

    store = log_store.LogStore(files)
    try:
        durable = store.recover()
    except exceptions.CorruptError as exc:
        # Without its log the instance must not vote under its old identity, so it
        # joins as a new one.
        telemetry.log("error", exc.step, detail=exc.detail)
        for name in files.list_files():
            files.remove(name)
        store = log_store.LogStore(files)
        _create_joining(cfg, store)
        durable = store.recover()
    if durable is None:
        _create_store(cfg, port, store)
        durable = store.recover()
    assert durable is not None
    return store, durable


def _create_store(cfg: Settings, port: int, store: log_store.LogStore) -> None:
    """Found the group with the other seeds, or wait for the group to add this one.

    Only the first start of the whole system founds a group, and only the seeds do,
    since all machines have the same seeds at that time.
    """
    from limpetreel.consensus import member

    if cfg.is_first_start and cfg.host in cfg.seeds:
        founders = tuple(
            member.Member(host, 1, f"{host}:{port}") for host in sorted(set(cfg.seeds))
        )
        store.create(cfg.host, 1, founders)
        return
    _create_joining(cfg, store)


def _create_joining(cfg: Settings, store: log_store.LogStore) -> None:
    """Create the folder of an instance that waits for the group to add it."""
    incarnation = time.time_ns() // 1_000_000
    store.create(cfg.host, incarnation, ())
