"""Records of a sample site at a scale of the design size."""

from __future__ import annotations

import xxhash

from limpetreel.catalog import (
    class_record,
    member_record,
    member_state,
    record,
    role,
    zone_record,
)
from limpetreel.slopes import design_size

REGIONS = ("east", "middle", "west")
FIRST_PORT = 20_000


def zones() -> list[record.Record]:
    """Return 7 zones in 3 regions."""
    return [
        zone_record.ZoneRecord(f"zone-{i}", REGIONS[i % len(REGIONS)], True, i + 1)
        for i in range(design_size.ZONES)
    ]


def classes(count: int) -> list[record.Record]:
    """Return classes with ids from 1."""
    return [
        class_record.ClassRecord(
            i + 1, f"class-{i:05}", 1000, 500, (), FIRST_PORT + i, 10 + i
        )
        for i in range(count)
    ]


def agent(number: int, class_number: int) -> member_record.MemberRecord:
    """Return the record of an agent of a class."""
    name = f"agent-{number:05}.example"
    return _member(name, role.Role.AGENT, f"class-{class_number:05}", number)


def entry(number: int) -> member_record.MemberRecord:
    """Return the record of an entry."""
    return _member(f"entry-{number:05}.example", role.Role.ENTRY, "", number)


def records(scale: float) -> list[record.Record]:
    """Return all records at a ratio of the design size."""
    count = max(1, round(design_size.CLASSES * scale))
    agents = round(design_size.AGENTS * scale)
    entries = round(design_size.ENTRIES * scale)
    return [
        *zones(),
        *classes(count),
        *(agent(i, i % count) for i in range(agents)),
        *(entry(i) for i in range(entries)),
    ]


def _member(
    name: str, member_role: role.Role, class_name: str, number: int
) -> member_record.MemberRecord:
    zone = number % design_size.ZONES
    return member_record.MemberRecord(
        node_id=xxhash.xxh64_intdigest(name.encode()),
        name=name,
        role=member_role,
        class_name=class_name,
        zone=f"zone-{zone}",
        region=REGIONS[zone % len(REGIONS)],
        host=f"127.{1 + number // 60_000}.{number // 250 % 250}.{1 + number % 250}",
        port=7_000,
        incarnation=1_790_000_000_000 + number,
        share=8,
        state=member_state.MemberState.ACTIVE,
        modified=2_000 + number,
        first_incarnation=1_790_000_000_000 + number,
    )
