"""The flow count must equal the number of flows in all buckets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from limpetreel.flows import bucket_directory, flow_directory, flow_key
from limpetreel.wire import address
from tests import fixtures

load_tests = fixtures.load_functions(globals())

_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "offer", "withdraw", "drop", "expire"]),
        strategies.integers(0, 5),
        strategies.integers(1, 2),
    ),
    max_size=40,
)


@hypothesis.settings(derandomize=True, max_examples=200)
@hypothesis.given(_STEPS)
def test_count_follows_every_change(steps):
    """Guards against a count that drifts, so that new flows are refused permanently."""
    directory = flow_directory.FlowDirectory(max_flows=3)
    flows = [flow_key.FlowKey(1, address.Address(i, 1)) for i in range(6)]
    model = {}
    now = 0.0
    for step, number, owner in steps:
        flow = flows[number]
        peer = (owner, 1)
        if step in ("put", "offer"):
            old = model.get(flow)
            offered = step == "offer" and (old is None or old[0] != peer or old[2])
            directory.for_flow(flow).put(now, flow, peer, offered=step == "offer")
            model[flow] = (peer, now, offered)
        elif step == "withdraw":
            directory.for_flow(flow).withdraw_offer(flow, peer)
            if flow in model and model[flow][0] == peer and model[flow][2]:
                del model[flow]
        elif step == "drop":
            directory.drop_bucket(flow.bucket())
            model = {f: v for f, v in model.items() if f.bucket() != flow.bucket()}
        else:
            now += bucket_directory.IDLE_SECONDS / 2
            directory.expire(now)
            limit = now - bucket_directory.IDLE_SECONDS
            model = {f: v for f, v in model.items() if v[1] > limit}
        assert len(directory) == len(model)
        assert directory.is_full == (len(model) >= 3)
        for other_flow in flows:
            actual_owner = directory.for_flow(other_flow).owner(other_flow)
            assert actual_owner == (
                model[other_flow][0] if other_flow in model else None
            )
