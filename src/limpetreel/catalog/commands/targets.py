"""Checks on the targets of classes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limpetreel.catalog import class_record, table

MAX_CAPACITY = 10_000_000
"""Open requests; above the 6.5 million flows of the design size."""

MAX_ANSWER_MS = 247_000
"""CoAP EXCHANGE_LIFETIME: a caller ignores any later answer."""


def check_figures(capacity: int, answer_ms: int) -> str:
    """Return why targets are impossible, or an empty string."""
    if not 1 <= capacity <= MAX_CAPACITY:
        return f"capacity {capacity} is outside 1 to {MAX_CAPACITY} open requests"
    if not 1 <= answer_ms <= MAX_ANSWER_MS:
        return (
            f"answer_ms {answer_ms} is outside 1 to {MAX_ANSWER_MS}; callers stop "
            f"waiting after {MAX_ANSWER_MS} ms"
        )
    return ""


def check_zones(name: str, zones: tuple[str, ...], records: table.Table) -> str:
    """Return why a class cannot run in zones, or an empty string."""
    unknown = sorted(z for z in zones if records.zone(z) is None)
    if unknown:
        known = ", ".join(z.name for z in records.zones()) or "none"
        return f"unknown zones {', '.join(unknown)}; known zones: {known}"
    return _no_zone_calculation(name, zones, records, "")


def classes_without_zone(zone: str, records: table.Table) -> list[str]:
    """Return the calculation for each class that a zone-out leaves without zone.

    A class that has no serving zone already is not counted: the zone-out does not
    change it.
    """
    calculations = []
    for class_ in records.classes():
        if _serving(class_, records) == [zone]:
            calculations.append(
                _no_zone_calculation(class_.name, class_.zones, records, zone)
            )
    return calculations


def _serving(class_: class_record.ClassRecord, records: table.Table) -> list[str]:
    names = class_.zones or tuple(z.name for z in records.zones())
    return [z for z in names if records.is_zone_serving(z)]


def _no_zone_calculation(
    name: str, zones: tuple[str, ...], records: table.Table, taken_out: str
) -> str:
    """Return the calculation if a class is left without zone, or nothing."""
    allowed = zones or tuple(z.name for z in records.zones())
    left = [z for z in allowed if records.is_zone_serving(z) and z != taken_out]
    if left:
        return ""
    out = [z for z in allowed if not records.is_zone_serving(z)]
    allowed_names = ", ".join(allowed) or "no zone, as there is none"
    parts = [f"class {name} may run in {allowed_names}"]
    if out:
        parts.append(f"{', '.join(out)} {'is' if len(out) == 1 else 'are'} out")
    if taken_out:
        parts.append(f"taking {taken_out} out leaves 0 zones")
    else:
        parts.append(f"{len(allowed)} - {len(out)} leaves 0 zones")
    return "; ".join(parts[:1]) + "; " + ", ".join(parts[1:])
