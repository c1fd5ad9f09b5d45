"""A first desired state with version 0 is acknowledged and lost."""

import asyncio
import json
import pathlib

from tests.soak.stand_in import deployment

HOST, PORT = "127.200.0.1", 443


async def case(has_trouble):
    """Return whether the acknowledged desired state is neither read back nor obeyed."""
    site = deployment.Site(pathlib.Path(__file__).parent, {"svc": 1})
    try:
        await site.start_all()
        document = site.document(
            [deployment.route("r-1", HOST, PORT, "svc")], [deployment.service("svc")]
        )
        document["Version"] = 0 if has_trouble else 1
        status, _ = await site.replace(document, 15)
        if status != 200:
            site.note("not acknowledged", status=status)
            if not has_trouble or not 400 <= status < 500:
                raise deployment.CannotRunError("the desired state got no clear answer")
            # A refusal is a clear answer.
            return False
        await asyncio.sleep(deployment.BOUNDS["ConfigApplyMs"] / 1000 + 4)
        outcomes = []
        for client in site.clients:
            flow = client.new_flow(HOST, PORT)
            result = await flow.open()
            if result == "open":
                result = await flow.request(f"q-{client.zone}", 2.0)
                flow.close()
            site.note("request", client=client.zone, result=result)
            outcomes.append(result)
        status, body = await site.order("GET", "/Config.Fetch", seconds=10)
        site.note(
            "read back",
            status=status,
            is_same=status == 200 and json.loads(body) == document,
            ready=len(site.ready),
        )
        return status != 200 or json.loads(body) != document
    finally:
        await site.stop()


deployment.main(case)
