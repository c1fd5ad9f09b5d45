"""Settings of the stand-in upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class UpstreamSettings:
    """Settings of a stand-in upstream.

    Attributes
    ----------
    name : str
        Included in every answer, so that callers can tell upstreams apart.
    class_name : str
        Class that it announces.
    host : str
        IP address to bind.
    port : int
        UDP port to bind.
    agent : tuple of (str, int)
        Address at which the agent receives announcements.
    slots : int
        Concurrent requests at full capacity.
    service_s : float
        Time that one request takes, in seconds.
    cold_s : float
        Time from start to full capacity, in seconds.
    """

    name: str
    class_name: str
    host: str
    port: int
    agent: tuple[str, int]
    slots: int
    service_s: float
    cold_s: float
