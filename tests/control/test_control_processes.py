"""Control processes with real files that are killed, frozen and replaced."""

from __future__ import annotations

import contextlib
import pathlib
import random
import signal
import tempfile
import time

from tests import fixtures
from tests.control import control_processes

KILLS = 3
COMMANDS_PER_KILL = 12


@contextlib.contextmanager
def _processes():
    with tempfile.TemporaryDirectory() as name:
        group = control_processes.Processes(pathlib.Path(name))
        try:
            group.table()
            yield group
        finally:
            group.close()


def _create(number):
    return {
        "type": "zone_create",
        "name": f"z{number}",
        "expected": 0,
        "region": "r",
        "command_id": f"create-{number}",
    }


def _zones(answer):
    return {r["name"]: r["modified"] for r in answer["records"] if r["type"] == "zone"}


def test_kill_at_random_points():
    """Guards against commands lost or applied twice by SIGKILL with real files."""
    rng = random.Random(11)
    with _processes() as group:
        first = {}
        for number in range(KILLS * COMMANDS_PER_KILL):
            if number % COMMANDS_PER_KILL == 5:
                victim, _ = group.table()
                victim = rng.choice([victim, rng.choice(group.names)])
                with contextlib.suppress(AssertionError):
                    group.resend_until_answered(_create(number), 0.005)
                time.sleep(rng.uniform(0, 0.02))
                group.kill(victim)
                group.start(victim)
            first[number] = group.resend_until_answered(_create(number))
        assert {a["status"] for a in first.values()} == {"applied"}
        for number in rng.sample(sorted(first), 10):
            assert group.resend_until_answered(_create(number)) == first[number]
        held = {f"z{n}": a["revision"] for n, a in first.items()}
        assert _zones(group.table()[1]) == held
        assert not any("Traceback" in group.log(n) for n in group.names)


def test_lost_folder_rejoins_and_a_second_loss_follows():
    """Guards against accepted commands lost with a second instance after a repair."""
    with _processes() as group:
        first = group.resend_until_answered(_create(1))
        lost = group.names[0]
        group.lose_folder(lost)
        group.init(lost, f"--new-cluster={group.peers}")
        group.start(lost)
        assert group.running[lost].wait(5) == 1
        assert "init --join" in group.log(lost)
        group.lose_folder(lost)
        number = group.init(lost, "--join")
        group.start(lost)
        group.wait_for_voter(lost, number)
        second = group.resend_until_answered(_create(2))
        group.kill(group.names[1])
        held = {"z1": first["revision"], "z2": second["revision"]}
        assert _zones(group.table()[1]) == held
        assert group.resend_until_answered(_create(1)) == first
        assert group.resend_until_answered(_create(3))["status"] == "applied"


def test_frozen_leader_does_not_answer_as_current():
    """Guards against a read of old state after a leader was stopped for 3 s."""
    with _processes() as group:
        group.resend_until_answered(_create(1))
        old, _ = group.table()
        group.freeze(old)
        begun = time.monotonic()
        second = group.resend_until_answered(_create(2))
        time.sleep(max(0.0, begun + 3.0 - time.monotonic()))
        group.resume(old)
        for _ in range(5):
            answer = group.ask(old, {"type": "table"})
            if answer is not None and answer.get("current"):
                assert _zones(answer).get("z2") == second["revision"]
            confirmed = group.ask(old, {"type": "confirmations"})
            assert confirmed is None or confirmed.get("revision", 99) >= 2
        assert group.resend_until_answered(_create(2)) == second


def test_planned_stop_and_commands_for_members():
    """Guards against a planned stop that fails and members that cannot be changed."""
    with _processes() as group:
        leader, _ = group.table()
        group.running[leader].send_signal(signal.SIGTERM)
        assert group.running[leader].wait(5) == 0
        ports = ",".join(f"127.0.0.1:{p[1]}" for p in group.ports.values())
        place = group.names.index(leader)
        operator = f"--operator={ports}"
        removal = ("remove", operator, leader, "--incarnation=1")
        done = group.run_program("control-member", *removal)
        assert done.returncode == 0, done.stdout + done.stderr
        group.lose_folder(leader)
        number = group.init(leader, "--join")
        group.start(leader)
        address = f"--address=127.0.0.1:{group.ports[leader][2]}"
        addition = ("add", operator, leader, f"--incarnation={number}", address)
        done = group.run_program("control-member", *addition)
        assert done.returncode == 0, done.stdout + done.stderr
        group.wait_for_voter(leader, number)
        listed = group.run_program("control-member", "list", operator).stdout
        assert f"{group.names[place]} {number} " in listed


load_tests = fixtures.load_functions(globals())
