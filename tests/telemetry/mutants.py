"""Deliberate faults and the test that must find each of them.

Each entry is (name, file, old text, new text, test id). The old text occurs exactly
once in the file.
"""

from __future__ import annotations

_STREAM = "src/limpetreel/telemetry/background_stream.py"
_TESTS = "tests.telemetry.test_background_stream."

MUTANTS = [
    (
        "processes write their log themselves",
        "src/limpetreel/platform_factory.py",
        "    return background_stream.BackgroundStream(sys.stdout.fileno())\n",
        "    return sys.stdout.buffer\n",
        _TESTS + "test_process_goes_on_while_nobody_reads_its_log",
    ),
    (
        "lines that wait are not bounded",
        _STREAM,
        "            if len(self._waiting) + len(data) > self._max_bytes:\n",
        "            if False:\n",
        _TESTS + "test_memory_is_bounded_and_lines_that_were_left_out_are_counted",
    ),
    (
        "count of lines that were left out is lost with its own line",
        "src/limpetreel/telemetry/log_writer.py",
        "            if self.left_out == total:\n",
        "            if True:\n",
        _TESTS + "test_memory_is_bounded_and_lines_that_were_left_out_are_counted",
    ),
    (
        "reader that ends stops the output for good",
        _STREAM,
        "            except OSError:\n",
        "            except ValueError:\n",
        _TESTS + "test_reader_that_ends_and_descriptor_that_is_not_blocking",
    ),
    (
        "descriptor that is not blocking loses what waits until the next flush",
        _STREAM,
        "                self._has_data.set()\n            except OSError:\n",
        "                pass\n            except OSError:\n",
        _TESTS + "test_reader_that_ends_and_descriptor_that_is_not_blocking",
    ),
]
