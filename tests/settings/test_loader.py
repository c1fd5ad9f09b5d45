"""An invalid setting must prevent the start with a message that names it."""

from __future__ import annotations

import argparse
import dataclasses
import pathlib
import tempfile

from limpetreel import exceptions
from limpetreel.settings import (
    agent_settings,
    control_settings,
    entry_settings,
    loader,
    port_range,
)
from tests import fixtures

KEY = "a cluster key of 16 bytes"
OTHER_KEY = "an operator key of 16 bytes"
NODE = {
    "LIMPETREEL_NAME": "n1",
    "LIMPETREEL_ZONE": "north",
    "LIMPETREEL_LISTEN": "127.0.0.1:7000",
    "LIMPETREEL_CONTROL": "127.0.0.1:6000,127.0.0.2:6000",
    "LIMPETREEL_CLUSTER_KEY": KEY,
}
AGENT = {
    **NODE,
    "LIMPETREEL_CLASS_NAME": "bookings",
    "LIMPETREEL_UPSTREAM": "127.0.0.1:7001",
    "LIMPETREEL_ANNOUNCE": "127.0.0.1:7002",
}
CONTROL = {
    "LIMPETREEL_NAME": "c1",
    "LIMPETREEL_ZONE": "north",
    "LIMPETREEL_LISTEN": "127.0.0.1:6000",
    "LIMPETREEL_OPERATOR_LISTEN": "127.0.0.1:6001",
    "LIMPETREEL_PEER_LISTEN": "127.0.0.1:6002",
    "LIMPETREEL_DATA": "data",
    "LIMPETREEL_CLUSTER_KEY": KEY,
    "LIMPETREEL_OPERATOR_KEY": OTHER_KEY,
}


def _load(settings_class, environment, *words):
    parser = argparse.ArgumentParser()
    loader.add_arguments(parser, settings_class)
    return loader.load(settings_class, parser.parse_args(words), environment)


def _problem(settings_class, environment, *words):
    try:
        _load(settings_class, environment, *words)
    except exceptions.SettingError as exc:
        assert "\n" not in exc.detail
        return exc
    raise AssertionError("the settings were accepted")


def test_flag_takes_precedence_over_variable():
    cfg = _load(entry_settings.EntrySettings, NODE, "--zone=south")
    assert (cfg.name, cfg.zone) == ("n1", "south")


def test_every_setting_has_a_flag_and_a_variable():
    """Guards against a setting that cannot be set by one of the two sources."""
    for settings_class, valid in (
        (entry_settings.EntrySettings, NODE),
        (agent_settings.AgentSettings, AGENT),
        (control_settings.ControlSettings, CONTROL),
    ):
        for field in dataclasses.fields(settings_class):
            flag = "--" + field.name.replace("_", "-")
            if field.name in ("data", "cluster_key", "operator_key"):
                continue
            variable = "LIMPETREEL_" + field.name.upper()
            assert _problem(settings_class, valid, f"{flag}=\n").name == flag
            assert _problem(settings_class, {**valid, variable: "\n"}).name == flag


def test_missing_setting_is_named():
    """Guards against a start with a default identity."""
    for variable in NODE:
        rest = {k: v for k, v in NODE.items() if k != variable}
        exc = _problem(entry_settings.EntrySettings, rest)
        flag = "--" + variable.removeprefix("LIMPETREEL_").lower().replace("_", "-")
        assert exc.name == flag and "required" in exc.detail


def test_secret_is_never_shown():
    """Guards against keys in logs and terminals."""
    exc = _problem(entry_settings.EntrySettings, NODE, "--cluster-key=short-secret")
    assert "short-secret" not in str(exc) and "--cluster-key" in str(exc)


def test_key_comes_from_a_file():
    """Guards against keys that can only be passed where a process list shows them."""
    rest = {k: v for k, v in NODE.items() if k != "LIMPETREEL_CLUSTER_KEY"}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "key"
        path.write_text(KEY + "\n")
        flag = f"--cluster-key-file={path}"
        for words, environment in (
            ((flag,), rest),
            ((flag,), NODE),
            ((), {**rest, "LIMPETREEL_CLUSTER_KEY_FILE": str(path)}),
        ):
            cfg = _load(entry_settings.EntrySettings, environment, *words)
            assert cfg.cluster_key == KEY.encode()
        both = {**NODE, "LIMPETREEL_CLUSTER_KEY_FILE": str(path)}
        exc = _problem(entry_settings.EntrySettings, both)
        assert exc.name == "--cluster-key-file"
        path.write_text("x" * (loader.MAX_KEY_FILE_BYTES + 1))
        exc = _problem(entry_settings.EntrySettings, rest, flag)
        assert exc.name == "--cluster-key-file"
        path.unlink()
        exc = _problem(entry_settings.EntrySettings, rest, flag)
        assert exc.name == "--cluster-key-file"


def test_contradictions_are_refused():
    """Guards against processes that start and then cannot work together."""
    control, agent = control_settings.ControlSettings, agent_settings.AgentSettings
    entry = entry_settings.EntrySettings
    for settings_class, valid, words, flag in (
        (control, CONTROL, ["--peers=c2=127.0.0.1:6002"], "--peers"),
        (control, CONTROL, ["--peers=c1=127.0.0.1:9"], "--peer-listen"),
        (control, CONTROL, [f"--operator-key={KEY}"], "--operator-key"),
        (control, CONTROL, ["--metrics=127.0.0.1:6001"], "--metrics"),
        (control, CONTROL, ["--peer-listen=127.0.0.1:6001"], "--peer-listen"),
        (agent, AGENT, ["--announce=127.0.0.1:7000"], "--announce"),
        (agent, AGENT, ["--upstream=127.0.0.1:7002"], "--upstream"),
        (entry, NODE, ["--listen=127.0.0.1:6000"], "--listen"),
        (entry, NODE, ["--trace-file=spans"], "--trace-file"),
        (entry, NODE, ["--data=d", "--trace-file=a", "--log-file=a"], "--trace-file"),
    ):
        assert _problem(settings_class, valid, *words).name == flag, words


def test_typed_values():
    cfg = _load(
        control_settings.ControlSettings,
        CONTROL,
        "--class-ports=300-400",
        "--peers=c1=127.0.0.1:6002,c2=127.0.0.2:6002",
    )
    assert cfg.class_ports == port_range.PortRange(300, 400)
    assert [p.name for p in cfg.peers] == ["c1", "c2"]


def test_secrets_are_known_and_removed():
    """Guards against keys in the decision log."""
    cfg = _load(control_settings.ControlSettings, CONTROL)
    assert loader.secrets(cfg) == (KEY, OTHER_KEY)
    public = repr(loader.without_secrets(cfg))
    assert KEY not in public and OTHER_KEY not in public


load_tests = fixtures.load_functions(globals())
