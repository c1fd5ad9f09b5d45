"""Upstreams that accept openings and then fail."""

from __future__ import annotations

from tests.streams import stream_site


def hang(upstream):
    """Leave all requests unanswered and their slots occupied."""

    def work(now, flow):
        upstream.in_progress += 1

    upstream.work = work


def reset(upstream):
    """Reset each flow at its first request."""
    receive = type(upstream).receive

    def refuse(now, data):
        segment = stream_site.CODEC.from_caller(data)
        if segment.size and segment.flow in upstream.flows:
            del upstream.flows[segment.flow]
            upstream.send(segment.flow, stream_site.RST, 1)
        else:
            receive(upstream, now, data)

    upstream.receive = refuse


def delay(upstream):
    """Take ten times as long for each request."""
    upstream.work_s *= 10


def repair(upstream, work_s):
    """Restart an upstream that fails no more."""
    upstream.__dict__.pop("work", None)
    upstream.__dict__.pop("receive", None)
    upstream.work_s = work_s
    upstream.restart()
