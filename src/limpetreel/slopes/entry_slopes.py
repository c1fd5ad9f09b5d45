"""Slopes of an entry without sockets."""

from __future__ import annotations

import functools

import msgspec

from limpetreel.assignment import assignments
from limpetreel.catalog import node_identity, role, table
from limpetreel.entry import entry_core, owner_hints
from limpetreel.node import node_link, tick
from limpetreel.slopes import child, design_size, gauge, sample_site, slope
from limpetreel.wire import address

LARGE_CLASS = 100
"""Agents of a large class; the mean at the design size is 3.4."""


def slopes(
    sizes: tuple[float, float, float], repeats: int, members: tuple[int, ...]
) -> list[slope.Slope]:
    """Return memory and the cost of a table change.

    Parameters
    ----------
    sizes : tuple of float
        Parts of the design size at which to measure.
    repeats : int
        Calls of which the least processor time counts.
    members : tuple of int
        Sizes of classes for the first packets after a change.
    """
    memory = {
        round(design_size.CLASSES * s): child.resident_mb("entry", s) for s in sizes
    }
    cold = {
        round(design_size.CLASSES * s): child.resident_mb("entry-cold", s)
        for s in sizes
    }
    change = {round(design_size.CLASSES * s): _change_us(s, repeats) for s in sizes}
    first = {float(n): _first_packets_us(n, repeats) for n in members}
    return [
        slope.fit(
            "entry.resident_all_buckets_used",
            "classes (agents and entries in proportion)",
            "MB resident",
            memory,
            design_size.CLASSES,
        ),
        slope.fit(
            "entry.resident_table_only",
            "classes (agents and entries in proportion)",
            "MB resident",
            cold,
            design_size.CLASSES,
        ),
        hint_slope(),
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
            first,
            LARGE_CLASS,
        ),
    ]


def hint_slope() -> slope.Slope:
    """Return the memory of a remembered owner, the only thing kept per flow."""
    hints = {
        float(n): gauge.held_bytes(functools.partial(_hints, n)) / n
        for n in (1_000, 4_000, 16_000)
    }
    return slope.fit("entry.owner_hint", "hints", "bytes per hint", hints, 16_384)


def build(scale: float, are_buckets_used: bool) -> entry_core.EntryCore:
    """Return an entry that holds the table of a part of the design size."""
    ident = node_identity.NodeIdentity(
        "entry", role.Role.ENTRY, "", "zone-0", "east", "127.0.0.1", 7_000, 1
    )
    link = node_link.NodeLink(ident, [address.Address(0x7F000001, 9)], 1)
    core = entry_core.EntryCore(link, address.Address(0x7F000001, 7_000), 0)
    link.table.replace(sample_site.records(scale), 10_000, 10_000)
    core.handle(0.0, tick.Tick())
    if are_buckets_used:
        _use_all(core, range(1024))
    return core


def _use_all(core: entry_core.EntryCore, buckets: range) -> None:
    for found in core.link.table.classes():
        for bucket in buckets:
            core._assignments.lookup(found.class_id, bucket)


def _hints(count: int) -> owner_hints.OwnerHints:
    made = owner_hints.OwnerHints(table.Table())
    for i in range(count):
        made.learn((1, address.Address(0x0A000000 + i, 40_000)), 1 << 60, 2)
    return made


def _change_us(scale: float, repeats: int) -> float:
    core = build(scale, are_buckets_used=False)
    _use_all(core, range(1))
    records = core.link.table

    def change() -> None:
        revision = records.revision + 1
        old = next(iter(records.members()))
        item = msgspec.structs.replace(old, share=revision % 8 + 1, modified=revision)
        records.apply([item], revision)
        core.handle(0.0, tick.Tick())
        core._assignments.for_class(1)

    return gauge.least_us(change, repeats)


def _first_packets_us(members: int, repeats: int) -> float:
    records = table.Table()
    items = [*sample_site.zones(), *sample_site.classes(1)]
    items += [sample_site.agent(i, 0) for i in range(members)]
    records.replace(items, 10_000, 10_000)

    def lookups() -> None:
        made = assignments.Assignments(records)
        for bucket in range(1024):
            made.lookup(1, bucket)

    return gauge.least_us(lookups, repeats)
