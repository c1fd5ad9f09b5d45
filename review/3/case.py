"""A check-in of another writer makes an agent reset the flows of its living target."""

import asyncio
import json
import pathlib
import time

from tests.soak.stand_in import deployment
from tests.soak.stand_in import load

HOST, PORT = "127.200.0.1", 443


async def case(has_trouble):
    """Return whether the system has reset flows that a living target holds."""
    site = deployment.Site(pathlib.Path(__file__).parent, {"svc": 1})
    try:
        await site.start_all()
        document = site.document(
            [deployment.route("r-1", HOST, PORT, "svc")], [deployment.service("svc")]
        )
        status, _ = await site.replace(document, 15)
        if status != 200:
            raise deployment.CannotRunError("the first desired state was not acknowledged")
        await site.wait_ready()
        await asyncio.sleep(2)
        flows = load.LongFlows(site, HOST, PORT, per_client=4)
        await asyncio.sleep(6)
        machine = site.sides[0]
        if has_trouble:
            check_in = {
                "Backend": "svc",
                "Address": f"{machine.ip}:{site.port['app']}",
                "Zone": machine.zone,
                "Version": "v1",
                "MaxConcurrency": 4,
                "State": "resting",
                "WarmupLeftMs": 0,
                "Sequence": 1,
                "born": int(time.time() * 1000),
            }
            status, _ = await site.call(
                machine.ip,
                "POST",
                "/Instances.Heartbeat/i-other",
                json.dumps(check_in).encode(),
            )
            site.note("check-in of another writer", machine=machine.name, status=status)
        await asyncio.sleep(6)
        # The target's own check-ins go on; does it get new flows again?
        mark = time.monotonic()
        more = load.LongFlows(site, HOST, PORT, per_client=6)
        await asyncio.sleep(6)
        await flows.stop()
        await more.stop()
        for target in site.targets:
            new = sum(at > mark for at, _ in target.opened)
            site.note("new flows", target=target.machine.name, number=new)
        broken = load.broken_flows(site)
        for at, flow, name in broken:
            site.note("broken", at=round(at, 3), flow=flow, target=name)
        site.note("outcomes", first=flows.outcomes, later=more.outcomes)
        return bool(broken)
    finally:
        await site.stop()


deployment.main(case)
