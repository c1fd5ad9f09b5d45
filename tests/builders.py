"""Builders of records, settings and cores shared by the tests."""

from __future__ import annotations

import msgspec
import xxhash

from limpetreel import factory
from limpetreel.catalog import (
    class_record,
    delta_source,
    member_record,
    member_state,
    role,
    table,
    zone_record,
)
from limpetreel.messages import delta_request, lease, renew
from limpetreel.node import frame_arrived, send_frame, tick
from limpetreel.replay import header
from limpetreel.settings import (
    agent_settings,
    control_settings,
    entry_settings,
    port_range,
    settings_codec,
)
from limpetreel.wire import address, frame, kind, message_codec

CLUSTER_KEY = b"cluster key of the tests"
OPERATOR_KEY = b"operator key of the tests"
CONTROL = address.Address(0x7F000001, 6000)
CLASS_NAME = "bookings"
CLASS_ID = 5
AGENT_INCARNATION = 9
NODE = {
    "zone": "north",
    "region": "west",
    "control": (("127.0.0.1", 6000),),
    "cluster_key": CLUSTER_KEY,
    "log_level": "info",
    "log_file": "",
    "metrics": None,
    "trace_file": "",
    "decision_log": "",
    "file_mb": 1,
    "data": None,
}


def entry_cfg(**changes):
    values = {
        **NODE,
        "name": "entry-1",
        "listen": ("127.0.0.1", 7000),
        "service_ip": "127.0.0.1",
        "trace_every": 2,
    }
    return entry_settings.EntrySettings(**{**values, **changes})


def agent_cfg(**changes):
    values = {
        **NODE,
        "name": "agent-1",
        "listen": ("127.0.0.1", 7100),
        "class_name": CLASS_NAME,
        "upstream": ("127.0.0.1", 7101),
        "announce": ("127.0.0.1", 7102),
        "drain_seconds": 1.0,
    }
    return agent_settings.AgentSettings(**{**values, **changes})


def control_cfg(**changes):
    values = {
        **NODE,
        "name": "control-1",
        "listen": ("127.0.0.1", 0),
        "operator_listen": ("127.0.0.1", 0),
        "peer_listen": ("127.0.0.1", 0),
        "peers": (),
        "class_ports": port_range.PortRange(20000, 20010),
        "operator_key": OPERATOR_KEY,
    }
    for name in ("control", "trace_file"):
        del values[name]
    return control_settings.ControlSettings(**{**values, **changes})


def log_header(cfg, role_name):
    return header.Header(role_name, settings_codec.encode(cfg), 9, 9)


def core(cfg, role_name):
    """Return a fresh core, as the factory builds it for a replay."""
    return factory.build_core(log_header(cfg, role_name))


def records():
    member = member_record.MemberRecord(
        node_id=xxhash.xxh64_intdigest(b"agent-1"),
        name="agent-1",
        role=role.Role.AGENT,
        class_name=CLASS_NAME,
        zone="north",
        region="west",
        host="127.0.0.1",
        port=7100,
        incarnation=AGENT_INCARNATION,
        share=8,
        state=member_state.MemberState.ACTIVE,
        modified=3,
        first_incarnation=AGENT_INCARNATION,
    )
    return (
        zone_record.ZoneRecord("north", "west", True, 1),
        class_record.ClassRecord(CLASS_ID, CLASS_NAME, 10, 100, (), 20000, 2),
        member,
    )


def frame_event(message, source=CONTROL):
    body = message_codec.encode(message)
    received = frame.Frame(kind.Kind.MESSAGE, 99, 1, frame.ANY_INCARNATION, body)
    return frame_arrived.FrameArrived(source, received)


class Control:
    """Stub of control that answers renewals and requests for the table."""

    def __init__(self):
        self._table = table.Table()
        self._table.replace(records(), 3, 0)
        self._source = delta_source.DeltaSource(self._table)

    def answers(self, actions):
        """Return the events with the replies to the messages in `actions`."""
        events = []
        for action in actions:
            if not isinstance(action, send_frame.SendFrame):
                continue
            message = message_codec.decode(action.body)
            if isinstance(message, renew.Renew):
                events.append(frame_event(self._lease(message)))
            elif isinstance(message, delta_request.DeltaRequest):
                events += map(frame_event, self._source.parts(message))
        return events

    def _lease(self, message):
        digest = self._table.scope_digest(message.class_name)
        return lease.Lease(message.nonce, 2000, 3, digest, message.incarnation)


def settle(core, feed=None, seconds=4.0):
    """Run a core until it has the table and a lease; return the final time.

    Parameters
    ----------
    core : Core
        An entry or agent core.
    feed : callable or None
        Function of time and event that returns actions; None for `core.handle`.
    seconds : float
        Duration of the run, which starts at 0 s.
    """
    feed = feed or core.handle
    control = Control()
    now = 0.0
    while now < seconds:
        now += 0.02
        pending = control.answers(feed(now, tick.Tick()))
        while pending:
            pending += control.answers(feed(now, pending.pop(0)))
    assert core.link.table.revision == 3
    return now


def request(token=b"\1", message_id=1):
    """Return a confirmable CoAP GET without options."""
    return bytes([0x40 | len(token), 1]) + message_id.to_bytes(2, "big") + token


def announce_datagram(body):
    """Return a non-confirmable CoAP POST with a JSON payload."""
    payload = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return b"\x50\x02\0\1\xff" + payload


def raw_frame_event(frame_kind, body, source=CONTROL):
    """Return the event of a frame with a given kind and body."""
    return frame_arrived.FrameArrived(source, frame.Frame(frame_kind, 2, 1, 9, body))
