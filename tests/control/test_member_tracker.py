"""Members must join, drain, leave and be lost under the stated conditions only."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from limpetreel.catalog.commands import member_joined, share_changed
from limpetreel.control import member_tracker
from tests import fixtures
from tests.catalog import builders
from tests.control import renewals


def test_member_state_transitions():
    """Guards against a state that a member cannot reach or leave."""
    leader = renewals.Leader()
    leader.renew()
    assert leader.state() == "active"
    leader.run(4.5)
    assert leader.state() == "active"
    leader.run(0.5)
    assert leader.state() == "lost"
    leader.renew()
    assert leader.state() == "active"
    leader.renew(draining=True)
    leader.renew(draining=False)
    assert leader.state() == "draining"
    leader.renew(draining=True, leaving=True)
    assert leader.state() is None
    assert leader.renew() == []
    leader.renew(incarnation=2)
    assert leader.state() == "active"


def test_incarnations():
    """Guards against an old process that replaces its successor."""
    leader = renewals.Leader()
    leader.renew(incarnation=5)
    assert leader.renew(incarnation=4, leaving=True) == []
    assert leader.renew(incarnation=4) == []
    leader.renew(incarnation=6, port=8000)
    assert leader.table.member("m").port == 8000
    leader.run(5.5, ("m", {"incarnation": 5}))
    assert leader.state() == "lost"


def test_invalid_renewals_propose_nothing():
    """Guards against members with an unusable address, name or class."""
    leader = renewals.Leader()
    for fields in ({"port": 0}, {"class_name": ""}, {"incarnation": 0}):
        assert leader.renew(**fields) == []
    assert leader.renew("") == []


def test_nothing_is_proposed_twice_while_pending():
    """Guards against a log that fills while no quorum commits."""
    leader = renewals.Leader()
    leader.holds_proposals = True
    assert len(leader.run(1.5, ("m", {}))) == 1
    assert len(leader.run(2, ("m", {}))) == 1


def test_lost_member_is_kept_and_then_removed():
    """Guards against a removal while its requests may still be repeated."""
    leader = renewals.Leader()
    leader.renew()
    leader.run(5)
    leader.run(member_tracker.KEEP_LOST_SECONDS - 0.5)
    assert leader.state() == "lost"
    leader.run(1)
    assert leader.state() is None


def test_new_leader_counts_silence_from_its_start():
    """Guards against all members lost at once after a leader change."""
    leader = renewals.Leader()
    leader.renew()
    leader.run(4.5)
    leader.start()
    leader.run(4.5)
    assert leader.state() == "active"
    leader.run(1)
    assert leader.state() == "lost"


def test_pause_of_the_leader_is_no_silence():
    """Guards against all members lost at once after the leader paused."""
    leader = renewals.Leader()
    for number in range(4):
        leader.renew(f"m{number}", zone="abcd"[number])
    leader.now += 60
    assert leader.tick() == []


def test_zone_is_lost_at_the_usual_time():
    """Guards against a delayed takeover although the leader receives renewals."""
    leader = renewals.Leader()
    names = [(f"{zone}{i}", {"zone": zone}) for zone in "abc" for i in range(3)]
    leader.run(2, *names)
    leader.run(5.5, *(n for n in names if n[1]["zone"] != "a"))
    states = [leader.state(name) for name, _ in names]
    assert states == ["lost"] * 3 + ["active"] * 6


def test_silence_of_most_zones_at_once_waits():
    """Guards against a leader without renewals that marks all members as lost."""
    leader = renewals.Leader()
    names = [(f"{zone}{i}", {"zone": zone}) for zone in "abc" for i in range(3)]
    leader.run(2, *names)
    assert leader.run(member_tracker.MASS_OUTAGE_SECONDS - 0.5, names[0]) == []
    leader.run(1, names[0])
    states = [leader.state(name) for name, _ in names]
    assert states == ["active"] + ["lost"] * 8


def test_crash_loop_cannot_churn_the_table():
    """Guards against an agent that restarts every second."""
    leader = renewals.Leader()
    for incarnation in range(1, 60):
        leader.run(1, ("m", {"incarnation": incarnation}))
    joins = [c for c in leader.commands if isinstance(c, member_joined.MemberJoined)]
    assert len(joins) == member_tracker.JOINS_PER_MINUTE
    assert len(leader.commands) <= 2 * len(joins)


def _agents(*capacities):
    return [(f"m{i}", {"capacity": c}) for i, c in enumerate(capacities)]


def _shares(leader):
    return [m.share for m in leader.table.members()]


def test_share_follows_a_lasting_difference_only():
    """Guards against shares that move with every report."""
    leader = renewals.Leader()
    leader.run(30, *_agents(10, 10, 10))
    assert _shares(leader) == [16, 16, 16]
    leader.run(9.5, *_agents(10, 10, 20))
    leader.run(1, *_agents(10, 10, 10))
    leader.run(9.5, *_agents(10, 10, 20))
    leader.run(30, *_agents(10, 10, 12))
    assert _shares(leader) == [16, 16, 16]
    leader.run(11, *_agents(10, 10, 20))
    assert _shares(leader) == [16, 16, 32]


def test_one_share_per_class_every_5_s():
    """Guards against a class whose buckets all move at once."""
    leader = renewals.Leader()
    leader.run(12, *_agents(10, 10, 10, 10, 10))
    leader.run(11, *_agents(20, 10, 10, 10, 5))
    assert sum(share != 16 for share in _shares(leader)) == 1
    leader.run(5, *_agents(20, 10, 10, 10, 5))
    assert _shares(leader) == [32, 16, 16, 16, 8]


@hypothesis.seed(builders.SEED)
@hypothesis.settings(max_examples=15, deadline=None, database=None)
@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 40), st.integers(1, 10**6)), max_size=12)
)
def test_misreporting_agent_cannot_churn_shares(phases):
    """Guards against reports of one upstream that change the table repeatedly."""
    leader = renewals.Leader()
    leader.run(12, *_agents(10, 10, 10, 10))
    leader.commands.clear()
    for steps, capacity in phases:
        leader.run(steps / 2, *_agents(10, 10, 10, capacity))
    seconds = sum(steps / 2 for steps, _ in phases)
    changes = [c for c in leader.commands if isinstance(c, share_changed.ShareChanged)]
    assert len(changes) <= 1 + seconds / 20
    assert {c.name for c in changes} <= {"m3"}
    assert _shares(leader)[:3] == [16, 16, 16]


load_tests = fixtures.load_functions(globals())
