"""Tests of how a control instance opens its data folder."""

from __future__ import annotations

import types

from limpetreel import platform_factory
from limpetreel.storage import log_store, memory_disk
from tests import fixtures

load_tests = fixtures.load_functions(globals())

SEEDS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
PORT = 7000


def recover(disk, is_first_start):
    """Return the state in a folder, and the steps that were logged."""
    steps = []
    cfg = types.SimpleNamespace(
        is_first_start=is_first_start, host=SEEDS[0], seeds=SEEDS
    )
    telemetry = types.SimpleNamespace(
        log=lambda level, step, **fields: steps.append(step)
    )
    _, durable = platform_factory._recover_store(cfg, PORT, disk, telemetry)
    return durable, steps


def test_instance_whose_folder_is_damaged_does_not_found_the_group_again():
    """Guards against a second vote under the identity that has lost its log.

    The settings may say that the whole system starts until they are written anew.
    """
    for is_first_start in (True, False):
        disk = memory_disk.MemoryDisk()
        founder, steps = recover(disk, is_first_start=True)
        assert len(founder.founders) == len(SEEDS) and not steps
        disk.truncate(log_store.MARKER_FILE, 5)
        joiner, steps = recover(disk, is_first_start)
        assert steps == ["log_store.recover"], steps
        assert not joiner.founders, is_first_start
        assert joiner.incarnation > founder.incarnation
