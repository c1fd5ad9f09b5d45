"""Commands, records and catalogs for tests."""

from __future__ import annotations

import os

from limpetreel.catalog import catalog, role
from limpetreel.catalog.commands import (
    bootstrap,
    class_create,
    command_codec,
    member_joined,
    zone_create,
    zone_out,
)

SEED = int(os.environ.get("LIMPETREEL_FUZZ_SEED", "1"))
STEPS = int(os.environ.get("LIMPETREEL_FUZZ_STEPS", "25"))


class Log:
    """Catalog with a log that assigns indexes and keeps the entries."""

    def __init__(self):
        self.catalog = catalog.Catalog()
        self.entries = []

    @property
    def table(self):
        return self.catalog.table

    def append(self, *commands):
        """Append commands and return the answer to the last one."""
        for command in commands:
            self.entries.append(command_codec.encode(command))
            answer = self.catalog.apply(len(self.entries), self.entries[-1])
        return answer


def new_log(zones=("a", "b", "c"), ports=(9000, 9003)):
    """Return a log with a port range and zones of region r."""
    log = Log()
    log.append(bootstrap.Bootstrap(*ports), *(create_zone(z) for z in zones))
    return log


def create_zone(name):
    return zone_create.ZoneCreate(
        command_id=f"create-{name}", expected=0, name=name, region="r"
    )


def create_class(name="bookings", command_id=None, expected=0, zones=(), **targets):
    return class_create.ClassCreate(
        command_id=command_id or f"create-{name}",
        expected=expected,
        name=name,
        zones=zones,
        **({"capacity": 100, "answer_ms": 500} | targets),
    )


def take_out(log, zone, command_id, force=False):
    return zone_out.ZoneOut(
        command_id=command_id,
        expected=log.table.zone(zone).modified,
        name=zone,
        force=force,
    )


def join(name, class_name="bookings", zone="a", incarnation=1, share=16, port=1):
    return member_joined.MemberJoined(
        name=name,
        role=role.Role.AGENT if class_name else role.Role.ENTRY,
        class_name=class_name,
        zone=zone,
        region="r",
        host="127.0.0.1",
        port=port,
        incarnation=incarnation,
        share=share,
    )
