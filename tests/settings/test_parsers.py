"""Parsers must either return the value that the text states or reject the text."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from limpetreel.settings import parsers
from tests import fixtures

ALL = (
    parsers.name,
    parsers.ip_number,
    parsers.address,
    parsers.reachable_address,
    parsers.addresses,
    parsers.peers,
    parsers.ports,
    parsers.number(0, 100),
    parsers.seconds(0, 100),
    parsers.choice("a", "b"),
    parsers.key,
    parsers.path,
    parsers.file_name,
)
TEXTS = st.text() | st.text(alphabet="0123456789.:-,=ac/", max_size=40)


@hypothesis.seed(1)
@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(TEXTS)
def test_any_text_is_parsed_or_rejected(text):
    """Guards against an exception other than ValueError at start."""
    for parse in ALL:
        try:
            parse(text)
        except ValueError:
            continue


@hypothesis.seed(1)
@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(st.integers(0, 70000), st.integers(0, 70000))
def test_port_ranges(first, last):
    """Guards against an empty range and against invalid ports."""
    is_valid = 1 <= first <= last <= 65535
    try:
        ports = parsers.ports(f"{first}-{last}")
    except ValueError:
        assert not is_valid
    else:
        assert is_valid and str(ports) == f"{first}-{last}"


def test_rejected_texts():
    """Guards against texts that are parsed as a value other than the intended one."""
    for parse, text in (
        (parsers.ports, "20000"),
        (parsers.number(0, 100), " 5"),
        (parsers.number(0, 100), "1_0"),
        (parsers.seconds(0, 100), "nan"),
        (parsers.address, "localhost:1"),
        (parsers.reachable_address, "0.0.0.0:1"),
        (parsers.reachable_address, "127.0.0.1:0"),
        (parsers.addresses, "127.0.0.1:1,127.0.0.1:1"),
        (parsers.peers, "a=127.0.0.1:1,a=127.0.0.1:2"),
        (parsers.peers, "a=127.0.0.1:1,b=127.0.0.1:1"),
        (parsers.file_name, "../x"),
    ):
        try:
            parse(text)
        except ValueError:
            continue
        raise AssertionError(text)


load_tests = fixtures.load_functions(globals())
