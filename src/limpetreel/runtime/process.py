"""Signal handling of a process."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

Service = Callable[[asyncio.Event], Awaitable[None]]


async def run_until_signal(service: Service) -> None:
    """Run a service until SIGTERM or SIGINT requests a graceful stop.

    Parameters
    ----------
    service : callable
        Coroutine function that takes an event, which is set to request a stop, and
        that returns once the service has stopped.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    # SIGHUP must not end the process; changed settings are read when they are needed.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    await service(stop_requested)
