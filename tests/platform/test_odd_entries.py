"""Odd entries of other writers, fed to each reader of data from outside.

An entry that cannot be used is refused with an error of the reader; what is accepted
can be used, encoded for other nodes and read by them.
"""

from __future__ import annotations

import contextlib
import json
import pathlib
import tempfile

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from limpetreel import exceptions
from limpetreel.cluster import cluster_state, command_codec, upstream_record
from limpetreel.cluster.commands import set_configuration
from limpetreel.cluster.messages import cluster_codec, report, update
from limpetreel.core import failure
from limpetreel.platform import (
    configuration_format,
    process_settings,
)
from limpetreel.streams import route_table
from limpetreel.streams.events import upstream_announced
from limpetreel.streams.messages import stream_codec
from tests import fixtures
from tests.platform import test_formats
from tests.streams import stream_site

load_tests = fixtures.load_functions(globals())

ODD = st.one_of(
    st.integers(-(10**60), 10**60),
    st.sampled_from((0, -1, 65535, 65536, 2**31, 2**63 - 1, 2**63, 2**64, 10**400)),
    st.sampled_from((1e308, -1e308, float("inf"), float("-inf"), float("nan"))),
    st.floats(),
    st.booleans(),
    st.none(),
    st.text(max_size=20),
    st.sampled_from(("/99999/", "/" + "9" * 5000 + "/", "10.0.0.1:70000", "[::1]:1")),
    st.recursive(st.none(), lambda inner: st.lists(inner, max_size=3), max_leaves=5),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=3),
)
NESTED = b"[" * 100_000 + b"]" * 100_000
MANY = settings(max_examples=400, derandomize=True, deadline=None)


def odd_fields(names):
    """Return a strategy for some odd values of fields."""
    return st.dictionaries(st.sampled_from(sorted(names)), ODD, min_size=1, max_size=3)


def with_duplicate(body):
    """Return a JSON object whose last field stands there twice."""
    return body[:-1] + b"," + body[1:]


def take_announcement(site, body):
    """Pass an announcement as the agent does, and check what follows from it."""
    status = test_formats.READER.decode("i-1", body)
    if isinstance(status, failure.Failure):
        return
    status = msgspec.structs.replace(status, service=stream_site.SERVICE)
    agent = site.agents["agent-0"]
    agent.handle(site.now, upstream_announced.UpstreamAnnounced(status))
    record = upstream_record.UpstreamRecord(
        "agent-0", "10.0.0.1", 1, "z", "s", agent.is_accepting(site.now), agent.slots
    )
    encoded = cluster_codec.encode(report.Report(1, 1, record))
    assert cluster_codec.decode(encoded) == report.Report(1, 1, record)


@MANY
@given(odd_fields(test_formats.ANNOUNCEMENT), st.booleans())
def test_odd_announcement_is_refused_or_harmless(odd, is_duplicated):
    """Guards against an agent that cannot report its upstream any more."""
    site = stream_site.StreamSite(1, [0.01], entries=1)
    body = json.dumps({**test_formats.ANNOUNCEMENT, **odd}).encode()
    take_announcement(site, with_duplicate(body) if is_duplicated else body)
    # The upstream announces itself from the start of the site on.
    site.run(4 * stream_site.ANNOUNCEMENT_SECONDS)
    assert site.agents["agent-0"].is_accepting(site.now)


def test_deeply_nested_entries_are_refused():
    """Guards against the recursion limit in readers of announcements and documents."""
    good = json.dumps(test_formats.ANNOUNCEMENT).encode()
    body = good[:-1] + b', "x": ' + NESTED + b"}"
    assert isinstance(test_formats.READER.decode("i-1", body), failure.Failure)
    document = test_formats.changed()[:-1] + b', "x": ' + NESTED + b"}"
    try:
        test_formats.PARSER.parse(document)
    except exceptions.DocumentError:
        pass
    else:
        raise AssertionError("the document was accepted")


def read_document(document):
    """Store, read and restore a document as control does; use it as nodes do."""
    parser = configuration_format.ConfigurationFormat()
    try:
        cfg = parser.parse(document)
    except exceptions.DocumentError:
        return
    stored = cluster_state.compress(document)
    command = set_configuration.SetConfiguration(cfg.version, stored)
    state, restored = (cluster_state.ClusterState(parser) for _ in range(2))
    assert state.apply(1, command_codec.encode(command))
    restored.restore(1, state.snapshot())
    for part in (state, restored):
        assert part.document == document
        assert (part.version, part.configuration) == (cfg.version, cfg)
    message = update.Update(1, 1000, cfg, (), True, (), (), ())
    decoded = cluster_codec.decode(cluster_codec.encode(message))
    assert isinstance(decoded, update.Update) and decoded.configuration == cfg
    route_table.RouteTable(cfg)


@MANY
@given(
    st.sampled_from(("Routes", "Backends", "Limits", "")),
    st.data(),
    st.booleans(),
)
def test_odd_document_is_refused_or_reaches_all_nodes(part, data, is_duplicated):
    """Guards against a document that is acknowledged and that no node can read."""
    document = json.loads(test_formats.changed())
    entry = document[part] if part else document
    entry = entry[0] if isinstance(entry, list) else entry
    entry.update(data.draw(odd_fields(entry)))
    body = json.dumps(document).encode()
    read_document(with_duplicate(body) if is_duplicated else body)


@MANY
@given(odd_fields([*test_formats.SETTINGS, "HeartbeatMs", "Backend", "app"]))
def test_odd_settings_are_refused_by_name(odd):
    """Guards against a process that ends on a settings file that has changed."""
    with contextlib.suppress(exceptions.SettingError):
        process_settings.decode({**test_formats.SETTINGS, **odd})


@MANY
@given(
    st.sampled_from(("Bounds", "Limits", "FaultTolerance", "Zones", "ListenAddrs")),
    st.dictionaries(
        st.sampled_from(("MaxFlowS", "GraceS", "LinkMbps", "Machines", "UdpListen")),
        ODD,
        min_size=1,
    ),
)
def test_odd_tables_of_settings_are_refused_by_name(table, odd):
    """Guards against a process that ends on a number that is too large."""
    with contextlib.suppress(exceptions.SettingError):
        process_settings.decode({**test_formats.SETTINGS, table: odd})


def test_settings_that_are_deeply_nested_or_too_long_are_refused():
    """Guards against control that ends when it reads its seeds again."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        good = 'NodeName = "n"\nIp = "10.0.0.1"\nZone = "z"\n'
        good += "InternalPortRange = [1, 2]\n"
        path.write_text(good)
        assert process_settings.read(path).max_flow_s
        texts = [good + "x = " + "[" * 50_000, good + "x = 1" + "0" * 5000]
        for number in ("1" + "0" * 400, "inf", "nan"):
            texts.append(f"{good}[Bounds]\nMaxFlowS = {number}")
        for text in texts:
            path.write_text(text)
            try:
                process_settings.read(path)
            except exceptions.SettingError:
                continue
            raise AssertionError("the file was accepted")


@MANY
@given(
    st.one_of(st.integers(-(2**63), 2**64 - 1), st.floats(), st.text(max_size=5)),
    st.integers(-5, 2**40),
)
def test_report_with_an_odd_port_or_number_of_slots_is_refused(port, slots):
    """Guards against entries that get an agent which they cannot send to."""
    body = msgspec.msgpack.encode([2, 1, 1, ["n", "h", port, "z", "s", True, slots]])
    message = cluster_codec.decode(body)
    is_valid = isinstance(port, int) and 0 < port < 65536 and 0 <= slots < 2**31
    assert isinstance(message, report.Report) == is_valid


@MANY
@given(st.recursive(ODD, lambda inner: st.lists(inner, max_size=4), max_leaves=12))
def test_odd_datagrams_are_refused(value):
    """Guards against an exception in the packet path of entries and agents."""
    try:
        body = msgspec.msgpack.encode(value)
    except (OverflowError, ValueError):
        return
    stream_codec.decode(body)
    cluster_codec.decode(body)
    stream_codec.decode(b"\x91" * 20_000 + body)
    cluster_codec.decode(b"\x91" * 20_000 + body)
