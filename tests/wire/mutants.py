"""Deliberate faults in the frames and the tests that find them."""

from __future__ import annotations

MUTANTS = [
    (
        "take a frame for another incarnation",
        "src/limpetreel/wire/frame_codec.py",
        "        if target != self._incarnation and (target or kind in _PACKETS):\n",
        "        if False:\n",
        "tests.wire.test_frame_codec.test_frame_for_other_incarnation_is_refused",
    ),
]
