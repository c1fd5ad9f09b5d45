"""Paths of the platform's calls."""

from __future__ import annotations

READY = "/readyz"
REPLACE_CONFIGURATION = "/Config.Replace"
READ_CONFIGURATION = "/Config.Fetch"
TAKE_ZONE_OUT = "/Drain.Start/"
TAKE_ZONE_IN = "/Drain.Stop/"
ANNOUNCE = "/Instances.Heartbeat/"
DEPART = "/Instances.Deregister/"


def last_part(path: str, prefix: str) -> str:
    """Return the name at the end of a path.

    Parameters
    ----------
    path, prefix : str
        Path of a call, and the constant of this module that it starts with.
    """
    name = path.removeprefix(prefix)
    if "%" not in name:
        return name
    # Names rarely need it, and the library takes 4 % of the time to start.
    import urllib.parse

    return urllib.parse.unquote(name)
