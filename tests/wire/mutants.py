"""Deliberate faults in the frame codec and the tests that detect them."""

from __future__ import annotations

MUTANTS = [
    (
        "accept a frame for another incarnation",
        "src/limpetreel/wire/frame_codec.py",
        "if target != self._incarnation and (target or kind in _PACKET_KINDS):",
        "if False:",
        "tests.wire.test_frame_codec.test_frame_for_other_incarnation_is_refused",
    ),
]
