"""Tests of the formats of the users' platform."""

from __future__ import annotations

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from limpetreel import exceptions
from limpetreel.configuration import request_kind
from limpetreel.core import failure
from limpetreel.platform import (
    announcement_format,
    configuration_format,
    process_settings,
    segment_format,
)
from limpetreel.streams import segment, upstream_state
from tests import fixtures
from tests.cluster import control_group

load_tests = fixtures.load_functions(globals())

SYN = bytes.fromhex("80000000a1b2c3d56440000701bb9c41c612000111223344" + 16 * "0")
RESET = bytes.fromhex("1000000000000000c61200019c4101bb64400007" + 24 * "0")
PARSER = configuration_format.ConfigurationFormat()
CODEC = segment_format.SegmentFormat()


def refuses(document):
    """Return whether a document is refused."""
    try:
        PARSER.parse(document)
    except exceptions.DocumentError:
        return True
    return False


def changed(route=None, **changes):
    """Return a document with changes to its first route and to itself."""
    document = json.loads(control_group.make_document(3))
    document["Routes"][0].update(route or {})
    return json.dumps({**document, **changes}).encode()


def test_opening_packet_of_the_specification_is_read():
    """Guards against fields at other offsets than the platform's."""
    decoded = CODEC.from_caller(SYN)
    assert isinstance(decoded, segment.Segment)
    assert decoded.is_open
    assert decoded.sequence == 0x11223344
    assert CODEC.reset(decoded.flow, 0) == RESET


def test_both_directions_of_a_flow_have_one_key():
    """Guards against answers that are counted as another flow."""
    forward, back = CODEC.from_caller(SYN), CODEC.from_upstream(RESET)
    assert isinstance(forward, segment.Segment)
    assert isinstance(back, segment.Segment)
    assert forward.flow == back.flow


def test_returned_packet_has_the_key_of_its_caller():
    """Guards against a search for the owner under the reversed flow key."""
    returned = bytes((SYN[0] | 8,)) + SYN[1:]
    decoded, sent = CODEC.from_upstream(returned), CODEC.from_caller(SYN)
    assert isinstance(decoded, segment.Segment)
    assert isinstance(sent, segment.Segment)
    assert decoded.is_returned
    assert decoded.flow == sent.flow


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.binary(max_size=1400))
def test_any_bytes_are_read_or_refused(data):
    """Guards against an exception in the packet path."""
    for decoded in (CODEC.from_caller(data), CODEC.from_upstream(data)):
        assert isinstance(decoded, segment.Segment | failure.Failure)


def test_packet_with_a_wrong_length_or_unknown_flag_is_refused():
    """Guards against forwarding packets that neither end can have sent."""
    for data in (SYN[:31], SYN + b"x", bytes((SYN[0] | 64,)) + SYN[1:]):
        assert isinstance(CODEC.from_caller(data), failure.Failure)


def test_valid_document_is_read():
    """Guards against fields that are mixed up."""
    config = PARSER.parse(control_group.make_document(7, 8443))
    route = config.routes[0]
    assert (config.version, route.host, route.port) == (7, "198.18.0.1", 8443)
    assert (route.timeout_ms, route.answer_ms, route.priority) == (1200, 200, 1)
    assert route.kind is request_kind.RequestKind.IDEMPOTENT
    assert route.allows("s-1")


def test_invalid_documents_are_refused():
    """Guards against acknowledging a document that cannot take effect."""
    whole = control_group.make_document(3)
    route = json.loads(whole)["Routes"][0]
    split = [{"Backend": "s-1", "Weight": 0}]
    bad = [
        whole[:-9],
        b"",
        b"[]",
        changed({"Backend": "s-2"}),
        changed({"TimeoutMs": 0}),
        changed({"Type": 3}),
        changed({"Type": None}),
        changed({"PathPrefix": "/x/"}),
        changed({"Host": "example"}),
        changed({"Backend": "", "WeightedBackends": split}),
        changed(Routes=[route, {**route, "Name": "r-2"}]),
        changed(Version="7"),
        changed(Version=-1),
        changed(Backends=None),
    ]
    for document in bad:
        assert refuses(document), document


# A route could name a service that is not in the document, beside one that is.
def test_each_service_that_a_route_names_is_known():
    """Guards against an ack for a document that is invalid by the platform's page."""
    split = [{"Backend": "s-2", "Weight": 1}]
    assert refuses(changed({"WeightedBackends": split}))
    split = [{"Backend": "s-1", "Weight": 1}, {"Backend": "s-2", "Weight": 0}]
    assert refuses(changed({"Backend": "", "WeightedBackends": split}))
    assert not refuses(changed({"WeightedBackends": split[:1]}))


# Bytes that cannot be read were acknowledged in fields that have no meaning here.
def test_document_that_cannot_be_read_in_full_is_refused():
    """Guards against an ack for a document that is invalid by the platform's page."""
    document = changed(HealthCheckPath="/health")
    assert not refuses(document)
    assert refuses(document.replace(b"/health", b"/\xff"))


def test_limit_that_is_not_in_the_document_is_no_limit_of_0():
    """Guards against a service whose upstreams take no flow at all."""
    for limits, expected in (({}, None), ({"MaxConnections": 0}, 0)):
        config = PARSER.parse(changed(Backends=[{"Name": "s-1", **limits}]))
        assert config.services[0].max_connections == expected
    assert refuses(changed(Backends=[{"Name": "s-1", "MaxConnections": None}]))


def test_kinds_tell_whether_a_request_may_be_repeated():
    """Guards against a second run of an upload, and of a kind that is not known."""
    expected = {
        "idempotent": ("idempotent", True),
        "download": ("download", True),
        "non_idempotent": ("non_idempotent", False),
        "upload": ("upload", False),
        "lookup_2": ("non_idempotent", False),
        "": ("non_idempotent", False),
    }
    for name, (kind, is_repeatable) in expected.items():
        route = PARSER.parse(changed({"Type": name})).routes[0]
        assert (route.kind, route.kind.is_repeatable) == (kind, is_repeatable), name


def test_unknown_kind_keeps_its_name():
    """Guards against a log line that cannot be found in the document."""
    assert PARSER.parse(changed({"Type": "lookup_2"})).routes[0].unknown_kind
    assert not PARSER.parse(changed({"Type": "upload"})).routes[0].unknown_kind


def test_host_has_the_canonical_form():
    """Guards against two spellings of one address, which would be two routes."""
    for host in (
        "1.2.3",
        "01.2.3.4",
        "256.1.1.1",
        " 1.2.3.4",
        "1.2.3.4/8",
        "1.2.3.4\0",
    ):
        assert refuses(changed({"Host": host})), host


def test_words_in_fields_that_are_not_read_change_nothing():
    """Guards against a document refused for a field that has no effect here."""
    words = {"Hash": "ring", "Discovery": "dns", "Protocol": "later", "Form": None}
    document = changed(words, **words)
    assert PARSER.parse(document) == PARSER.parse(changed())


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.binary(max_size=200) | st.text(max_size=200).map(str.encode))
def test_any_document_is_read_or_refused(document):
    """Guards against an unhandled exception caused by an operator's call."""
    refuses(document)


ANNOUNCEMENT = {
    "Backend": "s-1",
    "Address": "10.0.0.9:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "MaxConcurrency": 4,
    "State": "ready",
    "WarmupLeftMs": 0,
    "Sequence": 4,
    "born": 1776722736430,
}


READER = announcement_format.AnnouncementFormat("s-1")


def announced(**changes):
    """Return what is read from an announcement with changes."""
    body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
    return READER.decode("i-1", body)


def test_announcement_with_missing_or_wrong_fields_names_no_upstream():
    """Guards against flows to an upstream that another kind of client announced."""
    good = ANNOUNCEMENT
    decoded = announced()
    assert not isinstance(decoded, failure.Failure)
    assert (decoded.slots, decoded.sequence, decoded.started_ms) == (4, 4, good["born"])
    wrong = {"MaxConcurrency": 0, "State": 1, "Sequence": "4", "Backend": None}
    for name, value in wrong.items():
        assert isinstance(announced(**{name: value}), failure.Failure)
        rest = json.dumps({k: v for k, v in good.items() if k != name}).encode()
        assert isinstance(READER.decode("i-1", rest), failure.Failure)
    assert isinstance(READER.decode("i-1", b"\xff{"), failure.Failure)


def test_each_field_of_an_announcement_is_required():
    """Guards against an upstream that is known by some of its fields."""
    for name in ANNOUNCEMENT.keys() - {"born"}:
        rest = {k: v for k, v in ANNOUNCEMENT.items() if k != name}
        body = json.dumps(rest).encode()
        assert isinstance(READER.decode("i-1", body), failure.Failure), name
    for name in ANNOUNCEMENT:
        for value in (None, True, [], {}, "", "x", -1, 1.5, 2**63):
            if name in ("Version", "Address", "Zone") and isinstance(value, str):
                continue
            if (name, value) == ("WarmupLeftMs", 1.5):
                continue
            decoded = announced(**{name: value})
            assert isinstance(decoded, failure.Failure), (name, value)


def test_announcement_without_a_time_of_start_has_none():
    """Guards against a time of start that stands for one that was not announced."""
    rest = {k: v for k, v in ANNOUNCEMENT.items() if k != "born"}
    decoded = READER.decode("i-1", json.dumps(rest).encode())
    assert decoded.started_ms is None
    assert announced(born=0).started_ms == 0


# An announcement of another service was refused by the agent, yet acknowledged.
def test_announcement_names_the_upstream_beside_the_agent():
    """Guards against an agent that believes the announcement of another service."""
    decoded = announced(Backend="s-2")
    assert isinstance(decoded, failure.Failure)
    assert "'s-2' is not 's-1'" in decoded.detail
    body = json.dumps(ANNOUNCEMENT).encode()
    assert isinstance(READER.decode("", body), failure.Failure)


# A state that is not named on the platform's page names no upstream to use.
def test_announcement_with_an_unknown_state_names_no_upstream():
    """Guards against the word of another writer in place of the upstream's last one."""
    for state in ("odd", "", "READY", "resting"):
        decoded = announced(State=state, Sequence=5)
        assert isinstance(decoded, failure.Failure)
        assert repr(state) in decoded.detail


def test_upstream_that_announces_unknown_states_only_takes_no_new_flow():
    """Guards against an upstream that counts as ready although it says otherwise."""
    upstream = upstream_state.UpstreamState(1.2)
    upstream.record_announcement(0.0, announced())
    for at in (1.2, 2.4):
        assert isinstance(announced(State="odd", Sequence=5), failure.Failure)
        assert upstream.is_accepting(at)
    assert not upstream.is_accepting(3.6)
    upstream.record_announcement(3.6, announced(Sequence=7))
    assert upstream.is_accepting(3.6)


SETTINGS = {
    "NodeName": "edge-1",
    "Ip": "10.1.0.10",
    "Zone": "zone-a",
    "InternalPortRange": [7720, 7735],
    "SeedNodes": ["10.1.0.10:8166"],
    "ListenAddrs": {"UdpListen": "10.1.0.10:8172"},
}


def test_settings_are_read_and_unknown_fields_ignored():
    """Guards against a start that fails because the platform adds a field."""
    cfg = process_settings.decode({**SETTINGS, "Later": {"a": 1}})
    assert cfg.packets == ("10.1.0.10", 8172)
    assert cfg.seeds == ("10.1.0.10",)
    assert cfg.internal_ports == (7720, 7735)


def test_wrong_setting_is_named():
    """Guards against a process that starts with incomplete settings."""
    wrong = {
        "NodeName": 3,
        "InternalPortRange": [1],
        "SeedNodes": ["x"],
        "HeartbeatMs": 0,
        "ListenAddrs": {"UdpListen": "10.1.0.10:0"},
    }
    for name, value in wrong.items():
        try:
            process_settings.decode({**SETTINGS, name: value})
        except exceptions.SettingError as exc:
            assert exc.name in (name, "UdpListen")
        else:
            raise AssertionError(name)


def test_missing_address_is_named_as_in_the_file():
    """Guards against an error with a name that does not occur in the file."""
    cfg = process_settings.decode(SETTINGS)
    assert process_settings.required(cfg, "packets") == ("10.1.0.10", 8172)
    try:
        process_settings.required(cfg, "control")
    except exceptions.SettingError as exc:
        assert exc.name == "Control"
    else:
        raise AssertionError("a missing address was accepted")
