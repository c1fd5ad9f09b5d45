"""Tests of the ports of demonstrations that run at the same time."""

from __future__ import annotations

import contextlib
import socket

from limpetreel.workload import port_reservation, site
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def test_demonstrations_that_start_at_once_get_different_ports():
    """Guards against agents that end because another site has their ports."""
    with contextlib.ExitStack() as stack:
        bases = [stack.enter_context(port_reservation.reserve()) for _ in range(3)]
    assert len(set(bases)) == 3
    with port_reservation.reserve() as again:
        assert again == bases[0]


def test_range_with_one_used_port_is_left_out():
    """Guards against a site that finds one of its later ports in use."""
    with port_reservation.reserve() as base:
        pass
    for offset in (9, 20, site.USED_PORTS - 1):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", base + offset))
            with port_reservation.reserve() as other:
                assert other > base, offset
