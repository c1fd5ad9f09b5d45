"""Tests of the difference between a peak and an overload that lasts."""

from __future__ import annotations

from limpetreel.streams.serving import overload_detector
from tests import fixtures

load_tests = fixtures.load_functions(globals())


def detector_with_refusals(until, step=0.1):
    """Return a detector with refusals from 0 s on."""
    detector = overload_detector.OverloadDetector()
    for i in range(int(until / step) + 1):
        detector.record_refusal(i * step)
    return detector


def test_overload_lasts_once_refusals_went_on_for_as_long_as_callers_wait():
    """Guards against waits in an overload that began long ago."""
    assert not detector_with_refusals(1.0).is_lasting(1.0)
    assert detector_with_refusals(1.3).is_lasting(1.3)


def test_pause_of_refusals_ends_an_overload():
    """Guards against refusals in a later peak because of an earlier overload."""
    detector = detector_with_refusals(2.0)
    assert not detector.is_lasting(2.0 + overload_detector.PAUSE_SECONDS)
    detector.record_refusal(3.0)
    assert not detector.is_lasting(3.1)


def test_late_flows_without_a_slot_show_an_overload():
    """Guards against waits while all slots go to flows that can be in time."""
    detector = overload_detector.OverloadDetector()
    detector.record_late(1.0)
    detector.record_late_served(1.2, is_last=False)
    assert not detector.is_lasting(1.4)
    assert detector.is_lasting(1.2 + overload_detector.UNSERVED_SECONDS)
    assert detector.is_lasting(1.6)
    assert not detector.is_lasting(2.5)


def test_no_waiting_flow_is_no_sign_of_an_overload():
    """Guards against refusals after the last late flow was served or given up."""
    detector = overload_detector.OverloadDetector()
    detector.record_late(1.0)
    detector.record_late_served(1.1, is_last=True)
    assert not detector.is_lasting(5.0)
    detector.record_late(5.0)
    detector.record_late_gone()
    assert not detector.is_lasting(6.0)
