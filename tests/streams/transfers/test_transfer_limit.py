"""Large requests that share the small link of one entry."""

from __future__ import annotations

import heapq
import itertools
import random

from limpetreel.streams import segment, stream_key
from limpetreel.streams.transfers import transfer_limit
from tests import fixtures

load_tests = fixtures.load_functions(globals())

LINK_BYTES_PER_SECOND = 275_000.0
PACKET_BYTES = 1260
RETRANSMIT_SECONDS = 0.2
ANSWER_SECONDS = 1.1


def make_opening(number):
    """Return the opening packet of a flow."""
    key = stream_key.pack("100.64.0.1", number) + stream_key.pack("198.18.0.1", 443)
    return segment.Segment(key, True, False, False, False, False, False, 0, 0, 0, b"")


class Entries:
    """Simulated entries with one link each, and callers that send 40 kB in windows.

    A caller sends at most 16 packets before an acknowledgement, and sends a packet
    again when it has not been acknowledged for 0.2 s. A refused caller tries twice
    more, each time through a random entry. Each packet arrives at an entry and is
    forwarded on the same link.
    """

    def __init__(self, limits):
        self.limits = limits
        self.random = random.Random(5)
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count(1024)
        self.free_at = [0.0] * len(limits)
        self.copies = 0
        self.asked = 0
        self.held = []
        self.waiting = {}
        self.seconds = []

    def after(self, at, call, *args):
        heapq.heappush(self.events, (at, next(self.order), call, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            at, _, call, args = heapq.heappop(self.events)
            call(at, *args)

    def ask(self, now):
        self.asked += 1
        packets = max(2, int(self.random.lognormvariate(3.2, 0.7)))
        self.open(now, Upload(now, packets), 0)

    def open(self, now, upload, tries):
        upload.entry = self.random.randrange(len(self.limits))
        limit = self.limits[upload.entry]
        opening = make_opening(next(self.numbers))
        upload.flow, upload.tries = opening.flow, tries
        if limit.try_start(now, opening.flow):
            self.begin(now, upload)
        elif limit.can_wait(ANSWER_SECONDS):
            limit.wait(now, opening, ANSWER_SECONDS)
            self.waiting[opening.flow] = upload
        else:
            self.refuse(now, upload, now)

    def refuse(self, now, upload, since):
        self.held.append(now - since)
        if upload.tries < 2:
            self.after(now + 0.005, self.open, upload, upload.tries + 1)

    def tick(self, now):
        """Continue openings that wait, as an entry does at each tick."""
        for limit in self.limits:
            for waiting in limit.take_expired(now):
                upload = self.waiting.pop(waiting.segment.flow)
                self.refuse(now, upload, waiting.arrived_at)
            for waiting in limit.take_startable(now):
                self.begin(now, self.waiting.pop(waiting.segment.flow))
        self.after(now + 0.02, self.tick)

    def begin(self, now, upload):
        for _ in range(min(16, upload.packets)):
            self.send(now, upload)

    def send(self, now, upload):
        number = upload.sent
        upload.sent += 1
        self.transmit(now, upload, number, RETRANSMIT_SECONDS)

    def transmit(self, now, upload, number, timeout):
        seconds = 2 * PACKET_BYTES / LINK_BYTES_PER_SECOND
        free_at = max(self.free_at[upload.entry], now) + seconds
        self.free_at[upload.entry] = free_at
        self.after(free_at, self.deliver, upload, number)
        self.after(now + timeout, self.retransmit, upload, number, 2 * timeout)

    def retransmit(self, now, upload, number, timeout):
        if number not in upload.arrived:
            self.copies += 1
            self.transmit(now, upload, number, min(1.6, timeout))

    def deliver(self, now, upload, number):
        size = 600 if number == upload.packets - 1 else 1200
        self.limits[upload.entry].record_data(now, upload.flow, size)
        if number in upload.arrived:
            return
        upload.arrived.add(number)
        if upload.sent < upload.packets:
            self.send(now, upload)
        if len(upload.arrived) == upload.packets:
            self.seconds.append(now - upload.began_at)

    def in_time(self):
        """Return the share of uploads that were delivered in time."""
        return sum(s <= ANSWER_SECONDS for s in self.seconds) / self.asked


class Upload:
    """One upload of a caller, over all its attempts."""

    def __init__(self, began_at, packets):
        self.began_at, self.packets = began_at, packets
        self.sent = 0
        self.arrived = set()


def run_uploads(bytes_per_second, share, entries=4, seconds=30):
    """Return the entries after uploads that take a share of their links."""
    site = Entries(
        [transfer_limit.TransferLimit(bytes_per_second) for _ in range(entries)]
    )
    site.tick(0.0)
    per_second = share * entries * LINK_BYTES_PER_SECOND / (2 * 40_000)
    at = site.random.expovariate(per_second)
    while at < seconds:
        site.after(at, site.ask)
        at += site.random.expovariate(per_second)
    site.run(seconds + 30)
    return site


def test_uploads_at_the_peak_of_a_wave_do_not_fill_links_with_copies():
    """Guards against copies of packets that only wait in the queue of a small link.

    Uploads take 0.6 of the links. Without a limit their windows make a queue above
    0.2 s, callers retransmit, and the copies fill the links.
    """
    free = run_uploads(float("1e12"), 0.6)
    limited = run_uploads(LINK_BYTES_PER_SECOND, 0.6)
    assert limited.copies <= 0.05 * free.copies
    assert limited.in_time() >= 0.85


def test_overload_is_refused_at_once_and_the_rest_is_in_time():
    """Guards against openings that wait although the link cannot carry them in time."""
    site = run_uploads(LINK_BYTES_PER_SECOND, 2.0)
    late = [s for s in site.seconds if s > 1.5 * ANSWER_SECONDS]
    assert len(late) <= 0.1 * len(site.seconds)
    assert sorted(site.held)[len(site.held) // 2] <= 0.01


def test_copies_after_the_end_are_no_transfer():
    """Guards against a link that seems busy after packets were lost."""
    limit = transfer_limit.TransferLimit(LINK_BYTES_PER_SECOND)
    flow = make_opening(1024).flow
    limit.record_data(0.0, flow, 1200)
    assert limit.record_data(0.3, flow, 600)
    assert not limit.record_data(0.5, flow, 1200)
    assert not limit.record_data(0.5, flow, 600)
    assert limit.try_start(0.5, make_opening(1025).flow)


def test_ended_transfers_are_forgotten():
    """Guards against memory that grows with each upload on a large link."""
    limit = transfer_limit.TransferLimit(12_500_000.0)
    for number in range(2000):
        flow = make_opening(1024 + number).flow
        limit.record_data(number * 0.1, flow, 1200)
        limit.record_data(number * 0.1, flow, 600)
    assert len(limit._ended_at) <= 30


def test_large_link_lets_all_uploads_pass_at_once():
    """Guards against waits on machines whose link never binds."""
    limit = transfer_limit.TransferLimit(12_500_000.0)
    for number in range(1024, 1024 + 30):
        assert limit.try_start(0.0, make_opening(number).flow)


def test_transfers_without_packets_make_room():
    """Guards against a link that idles while callers that have gone count."""
    limit = transfer_limit.TransferLimit(LINK_BYTES_PER_SECOND)
    first, second = make_opening(1024), make_opening(1025)
    assert limit.try_start(0.0, first.flow)
    assert not limit.try_start(0.1, second.flow)
    limit.wait(0.1, second, ANSWER_SECONDS)
    assert limit.take_startable(0.2) == []
    started = limit.take_startable(0.3)
    assert [w.segment.flow for w in started] == [second.flow]


def test_transfers_that_moved_here_count():
    """Guards against more transfers than the link carries after routers moved flows."""
    limit = transfer_limit.TransferLimit(LINK_BYTES_PER_SECOND)
    limit.record_data(0.0, make_opening(1024).flow, 1200)
    assert not limit.try_start(0.1, make_opening(1025).flow)


def test_transfers_of_callers_that_have_gone_are_forgotten():
    """Guards against memory that grows with each caller that stops in mid-request.

    A link with room for more transfers never looked for those that had stopped.
    """
    limit = transfer_limit.TransferLimit(125_000_000.0)
    for number in range(1024, 1024 + 1000):
        now = number / 100
        limit.record_data(now, make_opening(number).flow, 1200)
        assert limit.active <= 200


def test_small_uploads_do_not_count_as_transfers_without_duration():
    """Guards against a queue without bound after uploads of one packet.

    The mean duration fell to 0, so any number of openings was let wait.
    """
    limit = transfer_limit.TransferLimit(LINK_BYTES_PER_SECOND)
    for number in range(1024, 1024 + 100):
        assert limit.try_start(float(number), make_opening(number).flow)
        limit.record_data(number + 0.05, make_opening(number).flow, 300)
    assert limit.try_start(2000.0, make_opening(2000).flow)
    waiting = 0
    while waiting < 100 and limit.can_wait(ANSWER_SECONDS):
        waiting += 1
        limit.wait(2000.0, make_opening(2000 + waiting), ANSWER_SECONDS)
    assert waiting <= 10
