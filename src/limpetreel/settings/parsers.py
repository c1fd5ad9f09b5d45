"""Parsers of setting values; each raises ValueError for a text that is not allowed."""

from __future__ import annotations

import ipaddress
import pathlib
import re
from typing import TYPE_CHECKING

from limpetreel.settings import peer, port_range, upstream_address

if TYPE_CHECKING:
    from collections.abc import Callable

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_NUMBER = re.compile(r"[0-9]{1,18}")
_FILE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_MIN_KEY_BYTES = 16
_MAX_PEERS = 9
_MAX_PORT = 65535
NAME_ALLOWED = "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit"
ADDRESS_ALLOWED = "an IPv4 number and a port, such as 127.0.0.1:7000"
REACHABLE_ALLOWED = "the IPv4 number of one machine and a port from 1 to 65535"
ADDRESSES_ALLOWED = "comma-separated IPv4 numbers with ports, without duplicates"
KEY_ALLOWED = f"at least {_MIN_KEY_BYTES} bytes"
PEERS_ALLOWED = f"up to {_MAX_PEERS} comma-separated NAME=IP:PORT, without duplicates"
PORTS_ALLOWED = "FIRST-LAST with 1 <= FIRST <= LAST <= 65535"
FILE_NAME_ALLOWED = "a file name in the data folder, without '/'"
PATH_ALLOWED = "a path"


def name(text: str) -> str:
    """Return a name of a node, class or zone."""
    if not _NAME.fullmatch(text):
        raise ValueError
    return text


def ip_number(text: str) -> str:
    """Return an IPv4 number."""
    return str(ipaddress.IPv4Address(text))


def address(text: str) -> tuple[str, int]:
    """Return host and port."""
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError
    return ip_number(host), number(0, _MAX_PORT)(port)


def reachable_address(text: str) -> tuple[str, int]:
    """Return a host and port at which other processes can reach one machine.

    Wildcard, multicast and broadcast addresses and port 0 can be bound but not
    sent to.
    """
    host, port = address(text)
    parsed = ipaddress.IPv4Address(host)
    if port == 0 or parsed.is_unspecified or parsed.is_multicast:
        raise ValueError
    if parsed == ipaddress.IPv4Address("255.255.255.255"):
        raise ValueError
    return host, port


def addresses(text: str) -> tuple[tuple[str, int], ...]:
    """Return several hosts and ports."""
    parsed = tuple(reachable_address(part.strip()) for part in text.split(","))
    if len(set(parsed)) < len(parsed):
        raise ValueError
    return parsed


def peers(text: str) -> tuple[peer.Peer, ...]:
    """Return the control instances of a cluster; none for an empty text."""
    if not text:
        return ()
    parsed = tuple(_peer(part.strip()) for part in text.split(","))
    names = {p.name for p in parsed}
    unique_addresses = {p.address for p in parsed}
    if (
        len(parsed) > _MAX_PEERS
        or len(names) < len(parsed)
        or len(unique_addresses) < len(parsed)
    ):
        raise ValueError
    return parsed


def _peer(text: str) -> peer.Peer:
    peer_name, separator, peer_address = text.partition("=")
    if not separator:
        raise ValueError
    return peer.Peer(name(peer_name), reachable_address(peer_address))


def ports(text: str) -> port_range.PortRange:
    """Return a range of ports."""
    first, separator, last = text.partition("-")
    if not separator:
        raise ValueError
    low = number(1, _MAX_PORT)(first)
    return port_range.PortRange(low, number(low, _MAX_PORT)(last))


def number(low: int, high: int) -> Callable[[str], int]:
    """Return a parser of whole numbers in a range, both ends included."""

    def parse(text: str) -> int:
        if not _NUMBER.fullmatch(text):
            raise ValueError
        value = int(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return parse


def seconds(low: float, high: float) -> Callable[[str], float]:
    """Return a parser of times in seconds in a range, both ends included."""

    def parse(text: str) -> float:
        value = float(text)
        if not low <= value <= high:
            raise ValueError
        return value

    return parse


def choice(*words: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in words:
            raise ValueError
        return text

    return parse


def key(text: str) -> bytes:
    """Return a key."""
    if len(text.encode()) < _MIN_KEY_BYTES:
        raise ValueError
    return text.encode()


def path(text: str) -> pathlib.Path:
    """Return a path."""
    if not text or "\0" in text:
        raise ValueError
    return pathlib.Path(text)


def file_name(text: str) -> str:
    """Return the name of a file without a path, so that it stays in its folder."""
    if not _FILE_NAME.fullmatch(text):
        raise ValueError
    return text


def upstreams(text: str) -> tuple[upstream_address.UpstreamAddress, ...]:
    """Return classes and addresses of upstreams."""
    parsed = []
    for part in text.split(","):
        class_name, separator, host_port = part.strip().partition("=")
        if not separator:
            raise ValueError
        parsed.append(
            upstream_address.UpstreamAddress(name(class_name), address(host_port))
        )
    if len({u.address for u in parsed}) < len(parsed):
        raise ValueError
    return tuple(parsed)


UPSTREAMS_ALLOWED = "comma-separated CLASS=IP:PORT, each address only once"
