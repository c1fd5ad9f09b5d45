"""Tests of the calls of the upstream beside an agent."""

from __future__ import annotations

import asyncio
import json

from limpetreel.platform import http_upstream_api, paths
from limpetreel.runtime import http_request
from limpetreel.telemetry import telemetry
from tests import fixtures
from tests.platform import test_formats

load_tests = fixtures.load_functions(globals())


class Shell:
    """Agent that keeps the calls it gets and answers them as told."""

    def __init__(self, is_believed):
        self.is_believed = is_believed
        self.announced, self.departed = [], []

    def announce(self, status):
        """Keep an announcement."""
        self.announced.append(status)
        return self.is_believed

    def depart(self, instance_id):
        """Keep a sign-off."""
        self.departed.append(instance_id)
        return self.is_believed


def call(*bodies, path=paths.ANNOUNCE + "i-1", is_believed=True):
    """Return the responses to calls, and the agent that got them."""
    api = http_upstream_api.HttpUpstreamApi(
        ("", 0), None, test_formats.READER, telemetry.disabled()
    )
    api._shell = shell = Shell(is_believed)

    async def send():
        return [
            (await api._serve(http_request.HttpRequest("POST", path, body))).status
            for body in bodies
        ]

    return asyncio.run(send()), shell


def test_malformed_announcement_leaves_the_known_state_and_later_ones_count():
    """Guards against a sound upstream without flows because of one bad body."""
    good, bad = json.dumps(test_formats.ANNOUNCEMENT).encode(), b'{"State": "ready"'
    statuses, shell = call(good, bad, b"", b"[]", good)
    assert statuses == [200, 400, 400, 400, 200]
    assert len(shell.announced) == 2


def test_announcement_that_names_no_upstream_is_refused():
    """Guards against an ack for an announcement that is not put into force."""
    odd = {"State": "resting", "Backend": "s-2", "Zone": None}
    bodies = [
        json.dumps({**test_formats.ANNOUNCEMENT, name: value}).encode()
        for name, value in odd.items()
    ]
    statuses, shell = call(*bodies)
    assert statuses == [400] * len(odd)
    assert not shell.announced


# What the agent did not believe was acknowledged, so its sender did not come again.
def test_call_that_is_not_believed_is_not_acknowledged():
    """Guards against an upstream that relies on an announcement without effect."""
    good = json.dumps(test_formats.ANNOUNCEMENT).encode()
    assert call(good, is_believed=False)[0] == [503]
    statuses, shell = call(b"", path=paths.DEPART + "i-1", is_believed=False)
    assert statuses == [503] and shell.departed == ["i-1"]
    assert call(b"", path=paths.DEPART + "i-1")[0] == [200]
