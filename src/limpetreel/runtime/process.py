"""Life of a process from start to planned stop."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

Service = Callable[[asyncio.Event], Awaitable[None]]


async def run_until_signal(service: Service) -> None:
    """Run a service; SIGTERM and SIGINT ask it to stop gracefully.

    Parameters
    ----------
    service : callable
        Coroutine function that takes an event, which is set when the service
        shall stop, and that returns once it has stopped.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # Settings that may change are read when they are needed.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await service(stopped)
