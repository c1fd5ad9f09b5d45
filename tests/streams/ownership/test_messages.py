"""Tests that processes of two versions understand each other during an upgrade."""

from __future__ import annotations

import msgspec

from limpetreel.streams import flow_set
from limpetreel.streams.messages import holdings, search, sought, stream_codec
from limpetreel.streams.ownership import held_flows
from limpetreel.streams.serving import capacity, slot_occupancy
from tests import fixtures

load_tests = fixtures.load_functions(globals())

FLOWS = (b"a" * 12, b"b" * 12)


class EarlierSearch(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """`Search` of the version before."""

    flows: tuple[sought.Sought, ...]


class EarlierHoldings(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """`Holdings` of the version before."""

    owned: tuple[bytes, ...] = ()
    missing: tuple[bytes, ...] = ()
    unsure: tuple[bytes, ...] = ()


def test_agent_names_missing_flows_to_an_entry_of_the_version_before():
    """Guards against an answer that an older entry takes for silence."""
    question = EarlierSearch(tuple(sought.Sought(f, 7) for f in FLOWS))
    message = stream_codec.decode(msgspec.msgpack.encode(question))
    held = held_flows.HeldFlows(
        flow_set.FlowSet(slot_occupancy.SlotOccupancy(capacity.Capacity())),
        float("-inf"),
    )
    answer = stream_codec.encode(held.answer(0.0, ("entry-0", 1), message))
    earlier = msgspec.msgpack.decode(answer, type=EarlierHoldings)
    assert earlier == EarlierHoldings(missing=FLOWS)


def test_agent_of_the_version_before_understands_a_numbered_question():
    """Guards against a question that an older agent drops."""
    question = search.Search(tuple(sought.Sought(f, None) for f in FLOWS), 5)
    data = stream_codec.encode(question)
    earlier = msgspec.msgpack.decode(data, type=EarlierSearch)
    assert earlier.flows == question.flows
    answer = msgspec.msgpack.encode(
        EarlierHoldings(missing=FLOWS[:1], unsure=FLOWS[1:])
    )
    message = stream_codec.decode(answer)
    assert message == holdings.Holdings(missing=FLOWS[:1], unsure=FLOWS[1:])
    assert not message.is_rest_missing
