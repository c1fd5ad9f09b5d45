"""Paths of the platform's calls."""

from __future__ import annotations

READY = "/readyz"
REPLACE_CONFIGURATION = "/Config.Replace"
READ_CONFIGURATION = "/Config.Fetch"
TAKE_ZONE_OUT = "/Drain.Start/"
TAKE_ZONE_IN = "/Drain.Stop/"
ANNOUNCE = "/Instances.Heartbeat/"
DEPART = "/Instances.Deregister/"
