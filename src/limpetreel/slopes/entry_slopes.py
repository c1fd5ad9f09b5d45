"""Slopes of an entry without sockets."""

from __future__ import annotations

import functools

import msgspec

from limpetreel.assignment import assignments
from limpetreel.catalog import node_identity, role, table
from limpetreel.entry import entry_core, owner_hints
from limpetreel.node import node_link, tick
from limpetreel.slopes import child, design_size, resource_usage, sample_site, slope
from limpetreel.wire import address

LARGE_CLASS = 100
"""Agents of a large class; the mean at the design size is 3.4."""


def slopes(
    sizes: tuple[float, float, float], repeats: int, members: tuple[int, ...]
) -> list[slope.Slope]:
    """Return the slopes of memory, table changes and first packets.

    Parameters
    ----------
    sizes : tuple of float
        Ratios of the design size at which to measure.
    repeats : int
        Number of calls, of which the shortest one counts.
    members : tuple of int
        Class sizes for the first packets after a change.
    """
    all_buckets = {
        round(design_size.CLASSES * s): child.resident_mb("entry", s) for s in sizes
    }
    table_only = {
        round(design_size.CLASSES * s): child.resident_mb("entry-cold", s)
        for s in sizes
    }
    change = {round(design_size.CLASSES * s): _change_us(s, repeats) for s in sizes}
    first_packets = {float(n): _first_packets_us(n, repeats) for n in members}
    return [
        slope.fit(
            "entry.resident_all_buckets_used",
            "classes (agents and entries in proportion)",
            "MB resident",
            all_buckets,
            design_size.CLASSES,
        ),
        slope.fit(
            "entry.resident_table_only",
            "classes (agents and entries in proportion)",
            "MB resident",
            table_only,
            design_size.CLASSES,
        ),
        owner_hint_slope(),
        slope.fit(
            "entry.table_change",
            "classes (agents and entries in proportion)",
            "us processor time per change, all classes in use",
            change,
            design_size.CLASSES,
        ),
        slope.fit(
            "entry.first_packets_after_change",
            "agents of the class",
            "us processor time for the first packet of all 1024 buckets",
            first_packets,
            LARGE_CLASS,
        ),
    ]


def owner_hint_slope() -> slope.Slope:
    """Return the memory of an owner hint, the only state that is kept per flow."""
    hints = {
        float(n): resource_usage.retained_bytes(functools.partial(_build_hints, n)) / n
        for n in (1_000, 4_000, 16_000)
    }
    return slope.fit("entry.owner_hint", "hints", "bytes per hint", hints, 16_384)


def build(scale: float, are_buckets_used: bool) -> entry_core.EntryCore:
    """Return an entry that holds a table of the given scale of the design size."""
    identity = node_identity.NodeIdentity(
        "entry", role.Role.ENTRY, "", "zone-0", "east", "127.0.0.1", 7_000, 1
    )
    link = node_link.NodeLink(identity, [address.Address(0x7F000001, 9)], 1)
    core = entry_core.EntryCore(link, address.Address(0x7F000001, 7_000), 0)
    link.table.replace(sample_site.records(scale), 10_000, 10_000)
    core.handle(0.0, tick.Tick())
    if are_buckets_used:
        _look_up_buckets(core, range(1024))
    return core


def _look_up_buckets(core: entry_core.EntryCore, buckets: range) -> None:
    for class_record in core.link.table.classes():
        for bucket in buckets:
            core._assignments.lookup(class_record.class_id, bucket)


def _build_hints(count: int) -> owner_hints.OwnerHints:
    hints = owner_hints.OwnerHints(table.Table())
    for i in range(count):
        hints.learn((1, address.Address(0x0A000000 + i, 40_000)), 1 << 60, 2)
    return hints


def _change_us(scale: float, repeats: int) -> float:
    core = build(scale, are_buckets_used=False)
    _look_up_buckets(core, range(1))
    entry_table = core.link.table

    def change() -> None:
        revision = entry_table.revision + 1
        member = next(iter(entry_table.members()))
        changed = msgspec.structs.replace(
            member, share=revision % 8 + 1, modified=revision
        )
        entry_table.apply([changed], revision)
        core.handle(0.0, tick.Tick())
        core._assignments.for_class(1)

    return resource_usage.min_cpu_us(change, repeats)


def _first_packets_us(members: int, repeats: int) -> float:
    entry_table = table.Table()
    records = [*sample_site.zones(), *sample_site.classes(1)]
    records += [sample_site.agent(i, 0) for i in range(members)]
    entry_table.replace(records, 10_000, 10_000)

    def lookups() -> None:
        class_assignments = assignments.Assignments(entry_table)
        for bucket in range(1024):
            class_assignments.lookup(1, bucket)

    return resource_usage.min_cpu_us(lookups, repeats)
