"""Print the measured slopes, one JSON object per line."""

from __future__ import annotations

import argparse
import pathlib
import sys

import msgspec

from limpetreel.slopes import (
    agent_slopes,
    child,
    child_states,
    control_slopes,
    entry_packets,
    entry_slopes,
    process_slopes,
    site_slopes,
    slope,
    stream_slopes,
)

SCALES = (0.1, 0.4, 1.0)
QUICK_SCALES = (0.004, 0.008, 0.016)


def main() -> int:
    """Measure the selected groups and print their slopes."""
    parser = argparse.ArgumentParser(prog="limpetreel.slopes")
    parser.add_argument(
        "--quick", action="store_true", help="use tiny sizes, to try the command"
    )
    parser.add_argument(
        "--scratch",
        type=pathlib.Path,
        default=pathlib.Path("build/slopes"),
        help="directory on the disk whose sync time is measured",
    )
    parser.add_argument(
        "--only",
        default="",
        help="run only entry, stream, agent, site, control or process",
    )
    parser.add_argument("--hold", nargs=2, help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.hold:
        state = child_states.build(args.hold[0], float(args.hold[1]))
        print(child.vm_rss_mb("self"))
        del state
        return 0
    args.scratch.mkdir(parents=True, exist_ok=True)
    for group in ("entry", "stream", "agent", "site", "control", "process"):
        if args.only in ("", group):
            for fitted in _measure(group, args.quick, args.scratch):
                print(msgspec.json.encode(fitted).decode(), flush=True)
    return 0


def _measure(group: str, quick: bool, scratch: pathlib.Path) -> list[slope.Slope]:
    scales = QUICK_SCALES if quick else SCALES
    repeats = 2 if quick else 15
    members = (3, 4, 5) if quick else (3, 10, 30, 100)
    if group == "entry":
        packets = entry_packets.slopes(8 * repeats)
        return [*packets, *entry_slopes.slopes(scales, repeats, members)]
    if group == "stream":
        return stream_slopes.slopes(scales, repeats)
    if group == "agent":
        return agent_slopes.slopes(quick, repeats)
    if group == "site":
        return site_slopes.slopes((1, 2, 3, 6), 2.0 if quick else 30.0)
    if group == "control":
        return control_slopes.slopes(scales, repeats, scratch)
    return process_slopes.slopes(scales, quick, scratch)


if __name__ == "__main__":
    sys.exit(main())
