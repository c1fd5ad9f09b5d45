"""Measurement of what packets and flows cost."""

from __future__ import annotations

from limpetreel.measure import measurement
from limpetreel.slopes import agent_slopes, entry_packets, entry_slopes

BURSTS = 60
REPEATS = 5
_FLOW_PARTS = (
    "agent.owned_flow",
    "agent.directory_entry",
    "agent.request_record",
    "agent.return_path",
    "agent.open_socket_python_part",
)


def measure_cost(seed: int) -> list[measurement.Measurement]:
    """Return processor time per packet and memory per flow.

    The time per packet has the floor of a bare loop that receives, hashes and sends
    as its baseline, in the same run. None of the three has a stated target.

    Parameters
    ----------
    seed : int
        Named in the figures; their input is the same for every seed.
    """
    packet, floor = entry_packets.slopes(BURSTS)
    agent = {s.name: s for s in agent_slopes.slopes(quick=True, repeats=REPEATS)}
    per_flow = sum(agent[name].slope for name in _FLOW_PARTS)
    hint = entry_slopes.hint_slope()
    rows = [
        ("entry_cpu_us_per_packet", packet.at_design, "us", floor.at_design),
        ("entry_bytes_per_flow", hint.at_design, "bytes per remembered owner", None),
        ("agent_bytes_per_flow", per_flow, "bytes", None),
    ]
    return [
        measurement.Measurement(
            name,
            round(value, 2),
            unit,
            None,
            None if baseline is None else round(baseline, 2),
            seed,
            "one machine",
        )
        for name, value, unit, baseline in rows
    ]
