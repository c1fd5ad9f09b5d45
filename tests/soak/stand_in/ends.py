"""The two ends of flows: a client and a target (PROTOCOL.md, "Flows" and "Targets").

A request and its response take one packet each. Packets that are not acknowledged are
sent again after 200 ms, and the interval doubles up to 1.6 s; a target gives up after 8
times, a client at its time limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time

from tests.soak.stand_in import wire

RETRANSMIT = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
SYN_COPIES = (0.2, 0.4, 0.8)
RESET_WINDOW = 76_800


class End:
    """One end of one flow."""

    def __init__(self, send, first):
        self._send = send
        self.next_seq = (first + 1) & wire.MASK
        self.peer_next = 0
        self.unacked = {}
        self.has_sent_fin = self.has_peer_fin = False

    def send_data(self, flags, data=b""):
        """Send a packet that is repeated until it is acknowledged."""
        seq = self.next_seq
        size = len(data) + bool(flags & wire.FIN)
        self.next_seq = (seq + size) & wire.MASK
        loop = asyncio.get_running_loop()
        self.unacked[seq] = loop.create_task(self._repeat(flags, seq, data))
        self.has_sent_fin = self.has_sent_fin or bool(flags & wire.FIN)

    async def _repeat(self, flags, seq, data):
        for pause in (*RETRANSMIT, 0):
            self._send(flags | wire.ACK, seq, self.peer_next, data)
            await asyncio.sleep(pause)

    def record_ack(self, ack):
        """Stop repeating what is acknowledged."""
        for seq in [s for s in self.unacked if 0 < (ack - s) & wire.MASK < 1 << 24]:
            self.unacked.pop(seq).cancel()

    def acknowledge(self):
        """Send a packet without data."""
        self._send(wire.ACK, self.next_seq, self.peer_next, b"")

    def drop(self):
        """Stop repeating everything."""
        for task in self.unacked.values():
            task.cancel()
        self.unacked.clear()


class Target(asyncio.DatagramProtocol):
    """A target on a side machine with its check-ins and its health endpoint."""

    def __init__(self, site, machine, slots=4, work_s=0.02, warmup_s=2.0):
        self.site, self.machine = site, machine
        self.slots, self.work_s, self.warmup_s = slots, work_s, warmup_s
        self.flows = {}
        self.opened = []
        self.runs = {}
        self.resets_sent = set()
        self.state = "ready"
        self.is_up = False
        self.acks = []
        self.boot = 0

    def start(self, first_sequence=1):
        """Start a new boot, which holds no flows."""
        self.boot += 1
        self.instance = f"i-{self.machine.name}-{self.boot}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = first_sequence - 1
        self.working, self.queue = 0, []
        self.state, self.is_up = "ready", True
        self.beats = asyncio.get_running_loop().create_task(self._beat())

    def crash(self):
        """End at once; the sockets stay, so packets get no answer."""
        self.is_up = False
        self.beats.cancel()
        for end in self.flows.values():
            end.drop()
        self.flows.clear()

    async def serve_health(self):
        """Listen for health probes, as the process of a target does."""
        self.health = await asyncio.start_server(
            self._answer_probe, self.machine.ip, self.site.port["app"]
        )

    async def _answer_probe(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            status = 200 if self.is_up and self.state == "ready" else 503
            writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
        writer.close()

    def connection_made(self, transport):
        """Take the socket."""
        self.transport = transport

    def body(self):
        """Return the next check-in."""
        self.sequence += 1
        left = self.warmup_s - (time.monotonic() - self.started)
        return {
            "Backend": self.machine.service,
            "Address": f"{self.machine.ip}:{self.site.port['app']}",
            "Zone": self.machine.zone,
            "Version": "v1",
            "MaxConcurrency": self.slots,
            "State": self.state,
            "WarmupLeftMs": max(0, int(left * 1000)),
            "Sequence": self.sequence,
            "born": self.born,
        }

    async def check_in(self):
        """Check in until there is an ack."""
        while True:
            body = self.body()
            status, _ = await self.site.call(
                self.machine.ip,
                "POST",
                f"/Instances.Heartbeat/{self.instance}",
                json.dumps(body).encode(),
            )
            if 200 <= status < 300:
                self.acks.append((time.monotonic(), body["State"]))
                return
            await asyncio.sleep(0.5)

    async def _beat(self):
        while True:
            await self.check_in()
            await asyncio.sleep(self.site.heartbeat_s)

    def _sender(self, key):
        client, cport, host, port = key

        def send(flags, seq, ack, data):
            if self.is_up:
                packet = wire.Packet(host, port, client, cport, flags, seq, ack, data)
                self.transport.sendto(wire.encode(packet), self.machine.outbound)

        return send

    def datagram_received(self, raw, address):
        """Handle a packet of a client."""
        if not self.is_up:
            return
        p = wire.decode(raw)
        if p is None or not p.is_sum_right:
            self.site.note("altered", target=self.machine.name)
            return
        if p.flags & wire.RST:
            end = self.flows.pop(p.key(), None)
            if end is not None:
                end.drop()
                self.site.note("closed", flow=p.key())
            return
        if p.flags & wire.SYN:
            self._open(p)
            return
        end = self.flows.get(p.key())
        is_own = end is not None and (end.is_open or p.ack == end.next_seq)
        arrivals = self.site.arrivals.setdefault(p.key(), [])
        arrivals.append((self.site.seconds(), self.machine.name, is_own))
        if not is_own:
            self.transport.sendto(wire.bounced(raw), self.machine.outbound)
            return
        if not end.is_open:
            end.is_open = True
            self.site.note("open", target=self.machine.name, flow=p.key())
        end.record_ack(p.ack)
        if p.data or p.flags & wire.FIN:
            if p.seq == end.peer_next:
                end.peer_next = (
                    p.seq + len(p.data) + bool(p.flags & wire.FIN)
                ) & wire.MASK
                if p.data:
                    self._take(p.key(), end, p.data)
                if p.flags & wire.FIN:
                    end.has_peer_fin = True
                    if not end.has_sent_fin:
                        end.send_data(wire.FIN)
            end.acknowledge()
        if end.has_peer_fin and end.has_sent_fin and not end.unacked:
            self.flows.pop(p.key(), None)
            self.site.note("closed", flow=p.key())

    def _open(self, p):
        end = self.flows.get(p.key())
        if end is None:
            first = random.getrandbits(32)
            end = End(self._sender(p.key()), first)
            end.first, end.is_open, end.peer_next = (
                first,
                False,
                (p.seq + 1) & wire.MASK,
            )
            self.flows[p.key()] = end
            self.opened.append((time.monotonic(), p.key()))
        if not end.is_open:
            self._sender(p.key())(wire.SYN | wire.ACK, end.first, end.peer_next, b"")

    def _take(self, key, end, data):
        if self.working >= self.slots:
            self.queue.append((key, end, data))
            return
        self.working += 1
        asyncio.get_running_loop().create_task(self._run(key, end, data))

    async def _run(self, key, end, data):
        boot = self.boot
        number = data.split(b"X-Limpetreel-Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.runs[number] = self.runs.get(number, 0) + 1
        self.site.note("run", request=number, target=self.machine.name, boot=boot)
        await asyncio.sleep(self.work_s)
        if boot != self.boot or not self.is_up:
            return
        if self.flows.get(key) is end:
            body = f"answer to {number}".encode()
            head = (
                "HTTP/1.1 200 OK\r\nX-Limpetreel-Server-Signature: s\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            end.send_data(0, head.encode() + body)
        self.working -= 1
        if self.queue:
            self._take(*self.queue.pop(0))


class Client(asyncio.DatagramProtocol):
    """All clients of one zone behind one address."""

    def __init__(self, site, ip, zone):
        self.site, self.ip, self.zone = site, ip, zone
        self.flows = {}
        self.next_port = 20000

    def connection_made(self, transport):
        """Take the socket."""
        self.transport = transport

    def send(self, packet):
        """Send a packet through the router."""
        entry = self.site.route(packet, self.zone)
        if entry is not None:
            self.transport.sendto(
                wire.encode(packet), (entry.ip, self.site.port["udp"])
            )

    def datagram_received(self, raw, address):
        """Handle a packet for one of the flows."""
        p = wire.decode(raw)
        flow = self.flows.get(p.reply_key()) if p is not None else None
        if flow is not None:
            flow.receive(p, address[0])

    def new_flow(self, host, port):
        """Return a flow from a new port."""
        self.next_port += 1
        return ClientFlow(self, (self.ip, self.next_port, host, port))


class ClientFlow:
    """One flow of a client."""

    def __init__(self, client, key):
        self.client, self.key = client, key
        self.site = client.site
        self.first = random.getrandbits(32)
        self.end = End(self._send, self.first)
        self.is_open = self.is_over = False
        self.opened = asyncio.get_running_loop().create_future()
        self.answer = None
        client.flows[key] = self

    def _send(self, flags, seq, ack, data):
        if not self.is_over:
            packet = wire.Packet(
                self.key[0],
                self.key[1],
                self.key[2],
                self.key[3],
                flags,
                seq,
                ack,
                data,
            )
            self.client.send(packet)

    async def open(self):
        """Open the flow; return "open", "reset" or "silent"."""
        for copy, pause in enumerate(SYN_COPIES):
            self._send(wire.SYN, self.first, copy, b"")
            done, _ = await asyncio.wait({self.opened}, timeout=pause)
            if done:
                return self.opened.result()
        self.finish()
        return "silent"

    async def request(self, number, time_limit):
        """Send a request; return "answered", "reset", "late" or "foreign"."""
        self.answer = asyncio.get_running_loop().create_future()
        text = (
            f"GET /x HTTP/1.1\r\nHost: {self.key[2]}\r\n"
            f"X-Limpetreel-Request-Id: {number}\r\n\r\n"
        )
        self.end.send_data(0, text.encode())
        try:
            body = await asyncio.wait_for(asyncio.shield(self.answer), time_limit)
        except TimeoutError:
            return "late"
        if body is None:
            return "reset"
        return (
            "answered" if body.endswith(f"answer to {number}".encode()) else "foreign"
        )

    def close(self):
        """Close the client's side."""
        if not self.is_over and not self.end.has_sent_fin:
            self.end.send_data(wire.FIN)

    def finish(self):
        """Forget the flow."""
        self.is_over = True
        self.end.drop()
        self.client.flows.pop(self.key, None)

    def receive(self, p, source=""):
        """Handle a packet from a machine of the system."""
        if p.flags & wire.RST:
            distance = (p.seq - self.end.peer_next) & wire.MASK
            is_near = min(distance, (1 << 32) - distance) <= RESET_WINDOW
            if self.is_open and not is_near:
                self.site.note("ignored reset", flow=self.key)
                return
            by = "system" if p.sum == 0 else "target"
            self.site.note(
                "reset", flow=self.key, by=by, open=self.is_open, source=source
            )
            self.finish()
            if not self.opened.done():
                self.opened.set_result("reset")
            if self.answer is not None and not self.answer.done():
                self.answer.set_result(None)
            return
        if not p.is_sum_right:
            self.site.note("altered", client=self.key)
            return
        if p.flags & (wire.SYN | wire.ACK) == wire.SYN | wire.ACK:
            if not self.is_open:
                self.is_open = True
                self.end.peer_next = (p.seq + 1) & wire.MASK
                if not self.opened.done():
                    self.opened.set_result("open")
            self.end.acknowledge()
            return
        self.end.record_ack(p.ack)
        if p.data or p.flags & wire.FIN:
            if p.seq == self.end.peer_next:
                self.end.peer_next = (
                    p.seq + len(p.data) + bool(p.flags & wire.FIN)
                ) & wire.MASK
                if p.data and self.answer is not None and not self.answer.done():
                    self.answer.set_result(p.data)
                if p.flags & wire.FIN:
                    self.end.has_peer_fin = True
                    if not self.end.has_sent_fin:
                        self.end.send_data(wire.FIN)
            self.end.acknowledge()
        if self.end.has_peer_fin and self.end.has_sent_fin and not self.end.unacked:
            self.finish()
