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
    """Agent that keeps the announcements it gets."""

    def __init__(self):
        self.announced = []
        self.announce = self.announced.append


def call(*bodies):
    """Return the responses to announcements, and what reached the agent."""
    api = http_upstream_api.HttpUpstreamApi(("", 0), None, telemetry.disabled())
    api._shell = Shell()

    async def send():
        path = paths.ANNOUNCE + "i-1"
        return [
            (await api._serve(http_request.HttpRequest("POST", path, body))).status
            for body in bodies
        ]

    return asyncio.run(send()), api._shell.announced


def test_malformed_announcement_leaves_the_known_state_and_later_ones_count():
    """Guards against a sound upstream without flows because of one bad body."""
    good, bad = json.dumps(test_formats.ANNOUNCEMENT).encode(), b'{"State": "ready"'
    statuses, announced = call(good, bad, b"", b"[]", good)
    assert statuses == [200, 400, 400, 400, 200]
    assert len(announced) == 2


def test_unknown_state_reaches_the_agent_as_one_that_takes_no_flows():
    """Guards against an upstream that counts as ready until it counts as silent."""
    body = json.dumps({**test_formats.ANNOUNCEMENT, "State": "resting"}).encode()
    statuses, announced = call(body)
    assert statuses == [200]
    assert announced[0].is_draining
