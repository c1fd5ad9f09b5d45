"""A whole site in one process."""

from __future__ import annotations

import asyncio
import sys
from typing import TYPE_CHECKING, Any

from limpetreel.core import failure

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limpetreel.agent import agent_shell
    from limpetreel.console import operator_client
    from limpetreel.control import control_shell
    from limpetreel.entry import entry_shell
    from limpetreel.settings import standalone_settings

ZONE = "local"
DEFAULT_CAPACITY = 1000
DEFAULT_ANSWER_MS = 2000
SETUP_ATTEMPTS = 10
SETUP_RETRY_SECONDS = 0.5


class StandaloneShell:
    """Runs one control instance, one entry and an agent for each upstream.

    Parameters
    ----------
    cfg : StandaloneSettings
        Settings.
    control : ControlShell
        Control instance.
    entry : EntryShell
        Entry.
    agents : sequence of AgentShell
        One agent for each upstream.
    client : OperatorClient
        Client of the control instance.
    """

    def __init__(
        self,
        cfg: standalone_settings.StandaloneSettings,
        control: control_shell.ControlShell,
        entry: entry_shell.EntryShell,
        agents: Sequence[agent_shell.AgentShell],
        client: operator_client.OperatorClient,
    ) -> None:
        self._cfg = cfg
        self._control = control
        self._entry = entry
        self._agents = tuple(agents)
        self._client = client

    async def serve(self, stopped: asyncio.Event) -> None:
        """Serve until stopped; the agents drain before the other roles end."""
        stop_rest = asyncio.Event()
        control = asyncio.create_task(self._control.serve(stop_rest))
        entry = asyncio.create_task(self._entry.serve(stop_rest))
        agents = [asyncio.create_task(a.serve(stopped)) for a in self._agents]
        setup = asyncio.create_task(self._set_up())
        tasks = [control, entry, *agents]
        try:
            # A role that ends before the stop has failed, and its error ends the site.
            stop_wait = asyncio.create_task(stopped.wait())
            await asyncio.wait([stop_wait, *tasks], return_when=asyncio.FIRST_COMPLETED)
            stopped.set()
            await asyncio.gather(*agents)
        finally:
            stopped.set()
            stop_rest.set()
            await asyncio.gather(setup, *tasks, return_exceptions=True)
        for task in tasks:
            task.result()

    async def _set_up(self) -> None:
        """Create the zone and the classes that do not exist yet."""
        bodies: list[dict[str, Any]] = [
            {"type": "zone_create", "name": ZONE, "region": ZONE}
        ]
        names = dict.fromkeys(u.class_name for u in self._cfg.upstreams)
        targets = {"capacity": DEFAULT_CAPACITY, "answer_ms": DEFAULT_ANSWER_MS}
        bodies += [{"type": "class_create", "name": n, **targets} for n in names]
        for body in bodies:
            body["expected"] = 0
            # With the same id at each start, control repeats its first answer.
            body["command_id"] = f"standalone-{body['type']}-{body['name']}"[:64]
            try:
                await self._send(body)
            except Exception as exc:  # nothing else reads the outcome of this task
                print(f"limpetreel: {body['type']} failed: {exc!r}", file=sys.stderr)

    async def _send(self, body: dict[str, Any]) -> None:
        for _ in range(SETUP_ATTEMPTS):
            answer = await asyncio.to_thread(self._client.call, body)
            if not isinstance(answer, failure.Failure):
                return
            await asyncio.sleep(SETUP_RETRY_SECONDS)
        command = f"{body['type']} {body['name']}"
        text = f"{command} failed: no answer from control in {SETUP_ATTEMPTS} attempts"
        print(f"limpetreel: {text}", file=sys.stderr)
