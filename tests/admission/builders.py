"""Builders and a load generator for the admission tests."""

from __future__ import annotations

from limpetreel.admission import (
    admission_controller,
    admission_settings,
    admitted,
    outcome,
)

SERVICE_SECONDS = 0.1


def make_controller(now=0.0, seed=1, **settings):
    config = admission_settings.AdmissionSettings(peer="upstream", **settings)
    return admission_controller.AdmissionController(config, seed, now)


class Load:
    """Load generator for a controller and an upstream with adjustable latency."""

    def __init__(self, controller, now=0.0):
        self.controller = controller
        self.now = now
        self.latency = SERVICE_SECONDS
        self.next_id = 1
        self.open = {}
        self.decisions = []
        self.highest_open = 0

    def apply_decisions(self, decisions):
        self.decisions.extend(decisions)
        for decision in decisions:
            self._remove(decision)
            if isinstance(decision, admitted.Admitted):
                self._send(decision.request_id)

    def offer(self, caller=None, seconds=1.0, **kwargs):
        request_id = self.next_id
        self.next_id += 1
        result = self.controller.offer(
            self.now, request_id, caller or request_id, self.now + seconds, **kwargs
        )
        if isinstance(result, admitted.Admitted):
            self._send(request_id)
        return result

    def answer(self, request_id):
        del self.open[request_id]
        self.apply_decisions(
            self.controller.finished(self.now, request_id, outcome.Outcome.ANSWERED)
        )

    def run(self, seconds, step=0.01, slots=10**6):
        """Offer requests until two are queued, and answer each after the latency."""
        for _ in range(round(seconds / step)):
            self.now += step
            latency = self.latency * max(1.0, len(self.open) / slots)
            for request_id, sent_at in list(self.open.items()):
                if self.now - sent_at >= latency - 1e-9:
                    self.answer(request_id)
            while self.controller.queued_count < 2:
                if not self.offer():
                    break
            self.apply_decisions(self.controller.tick(self.now))
            self.highest_open = max(self.highest_open, len(self.open))

    def _send(self, request_id):
        self.open[request_id] = self.now

    def _remove(self, decision):
        if not isinstance(decision, admitted.Admitted):
            self.open.pop(decision.request_id, None)


def warm_load(slots=4, seconds=20.0, **settings):
    """Return a load whose controller has converged on a warm upstream."""
    load = Load(make_controller(**settings))
    load.run(seconds, slots=slots)
    load.highest_open = 0
    return load
