"""Measurements of the cost of packets and flows."""

from __future__ import annotations

from limpetreel.measure import measurement
from limpetreel.slopes import agent_slopes, entry_packets, entry_slopes

BURST_COUNT = 60
REPEAT_COUNT = 5
_FLOW_PARTS = (
    "agent.owned_flow",
    "agent.directory_entry",
    "agent.request_record",
    "agent.return_path",
    "agent.open_socket_python_part",
)


def measure_cost(seed: int) -> list[measurement.Measurement]:
    """Return the processor time per packet and the memory per flow.

    The baseline of the time per packet is a bare loop that receives, hashes and
    sends, in the same run. None of the three measures has a stated target.

    Parameters
    ----------
    seed : int
        Reported in the measurements; the input is the same for every seed.
    """
    packet, baseline_loop = entry_packets.slopes(BURST_COUNT)
    agent_costs = {
        s.name: s for s in agent_slopes.slopes(quick=True, repeats=REPEAT_COUNT)
    }
    bytes_per_flow = sum(agent_costs[name].slope for name in _FLOW_PARTS)
    owner_hint = entry_slopes.owner_hint_slope()
    rows = [
        ("entry_cpu_us_per_packet", packet.at_design, "us", baseline_loop.at_design),
        (
            "entry_bytes_per_flow",
            owner_hint.at_design,
            "bytes per remembered owner",
            None,
        ),
        ("agent_bytes_per_flow", bytes_per_flow, "bytes", None),
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
