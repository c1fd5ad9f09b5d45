"""The pages for operators must name every command, setting and exit code."""

from __future__ import annotations

import dataclasses
import pathlib

from limpetreel.console import application, exit_code
from limpetreel.settings import (
    agent_settings,
    control_settings,
    entry_settings,
    operator_settings,
)
from tests import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def test_every_setting_is_documented():
    """Guards against a setting that is missing from the operations page."""
    text = (ROOT / "docs" / "OPERATIONS.md").read_text()
    for settings_class in (
        entry_settings.EntrySettings,
        agent_settings.AgentSettings,
        control_settings.ControlSettings,
        operator_settings.OperatorSettings,
    ):
        for field in dataclasses.fields(settings_class):
            assert f"| `--{field.name.replace('_', '-')}` |" in text, field.name


def test_every_command_and_exit_code_is_documented():
    """Guards against a command or exit code that is missing from the first page."""
    text = (ROOT / "README.md").read_text()
    for name in application._COMMANDS:
        assert all(word in text for word in name.split()), name
    for code in exit_code.ExitCode:
        assert f"| {code.value} |" in text


load_tests = fixtures.load_functions(globals())
