"""The command line must reject invalid input with one line and a documented code."""

from __future__ import annotations

import contextlib
import io

from limpetreel.console import application, exit_code
from tests import fixtures

KEY = "a cluster key of 16 bytes"
ENTRY = (
    "--name=e1",
    "--zone=north",
    "--listen=127.0.0.1:7000",
    "--control=127.0.0.1:6000",
    f"--cluster-key={KEY}",
)


def _run(*words):
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = application.main(words)
        except SystemExit as exc:
            code = exc.code
    return code, out.getvalue(), err.getvalue()


def test_wrong_input_gives_one_line():
    """Guards against a traceback or usage text instead of the reason."""
    for words, text in (
        (["config", "check", "entry", *ENTRY, "--zone=Nörd"], "--zone"),
        (["entry", *ENTRY, "--trace-every=x"], "--trace-every"),
        (["zone", "out"], "ZONE"),
        (["no-such-command"], "no-such-command"),
        (["status", "--jso"], "--jso"),
        (["explain", "bookings", "localhost:1"], "localhost:1"),
    ):
        code, out, err = _run(*words)
        assert code == exit_code.ExitCode.USAGE, words
        assert not out and err.count("\n") == 1 and text in err, err


def test_config_check_accepts_good_settings():
    code, out, err = _run("config", "check", "entry", *ENTRY)
    assert (code, err) == (exit_code.ExitCode.OK, "") and "valid" in out


def test_help_covers_every_command():
    """Guards against a command that is missing from the help texts."""
    _, top, _ = _run("--help")
    for name in application._COMMANDS:
        words = name.split()
        assert words[0] in top
        code, out, err = _run(*words, "--help")
        assert code == 0 and not err, name
        assert "exit codes" in out, name


def test_version():
    code, out, _ = _run("version")
    assert code == 0 and out.startswith("limpetreel ")


load_tests = fixtures.load_functions(globals())
