"""A claim is granted only by the holder and the backup of one epoch."""

from __future__ import annotations

from unittest import mock

from limpetreel.flows import flow_key
from limpetreel.messages import claim_ack
from limpetreel.requests import (
    claim,
    claim_core,
    claim_ended,
    claim_store,
    lifetime,
    outcome,
    request_key,
)
from limpetreel.wire import address
from tests import fixtures

FLOW = flow_key.FlowKey(1, address.Address(1, 5683))
KEY = request_key.RequestKey(FLOW, 1)
HOLDER, BACKUP, OTHER = (1, 10), (2, 20), (3, 30)


def _core(has_lease=True):
    core = claim_core.ClaimCore(1, lambda bucket: (HOLDER, BACKUP))
    return core, core.start(0.0, KEY, 0, has_lease)


def _ack(epoch, is_holder, claim_id=1, backup=BACKUP):
    return claim_ack.ClaimAck(
        1, FLOW.bucket(), claim_id, epoch, is_holder, True, *backup
    )


def _granted(actions):
    return [a for a in actions if isinstance(a, claim_ended.ClaimEnded) and a.granted]


def test_claim_needs_both_acknowledgements():
    """Guards against a run that only one agent has recorded."""
    core, sent = _core()
    assert [(s.target, s.incarnation) for s in sent] == [HOLDER, BACKUP]
    assert not _granted(core.acknowledge(0.01, HOLDER, _ack(5, True)))
    assert not _granted(core.acknowledge(0.01, HOLDER, _ack(5, True)))
    assert _granted(core.acknowledge(0.01, BACKUP, _ack(5, False)))


def test_acknowledgements_of_two_epochs_do_not_count_together():
    """Guards against a delayed acknowledgement of an earlier epoch."""
    core, _ = _core()
    assert not core.acknowledge(0.01, HOLDER, _ack(5, True))
    assert not core.acknowledge(0.02, BACKUP, _ack(6, False))
    assert _granted(core.acknowledge(0.03, HOLDER, _ack(6, True)))


def test_claim_is_requested_from_a_backup_that_changed():
    """Guards against counting a backup that is no longer the holder's."""
    core, _ = _core()
    core.acknowledge(0.01, BACKUP, _ack(5, False))
    sent = core.acknowledge(0.02, HOLDER, _ack(5, True, backup=OTHER))
    assert [(s.target, s.incarnation) for s in sent] == [OTHER]
    assert _granted(core.acknowledge(0.03, OTHER, _ack(5, False, backup=OTHER)))


def test_backup_that_restarted_does_not_count():
    """Guards against an acknowledgement of a process that lost its claims."""
    core, _ = _core()
    core.acknowledge(0.01, HOLDER, _ack(5, True))
    assert not _granted(core.acknowledge(0.02, (2, 21), _ack(5, False)))


def test_late_acknowledgement_has_no_effect():
    """Guards against running a request that was refused as not run."""
    core, _ = _core()
    core.acknowledge(0.01, HOLDER, _ack(5, True))
    assert core.acknowledge(0.201, BACKUP, _ack(5, False)) == []
    ended = core.tick(0.21)
    assert [(e.timed_out, e.is_sole) for e in ended] == [(True, True)]
    assert core.acknowledge(0.22, BACKUP, _ack(5, False)) == []


def test_time_out_without_holder_is_not_sole():
    """Guards against "not run" where an earlier owner may have run the request."""
    core, _ = _core()
    core.acknowledge(0.01, BACKUP, _ack(5, False))
    assert [e.is_sole for e in core.tick(0.2)] == [False]


def test_time_out_without_lease_at_the_start_is_not_sole():
    """Guards against "not run" based on a holder that was replaced."""
    core, _ = _core(has_lease=False)
    core.acknowledge(0.01, HOLDER, _ack(5, True))
    assert [e.is_sole for e in core.tick(0.2)] == [False]


def test_requests_are_retried_three_times():
    """Guards against a refusal caused by one lost datagram."""
    core, _ = _core()
    times = [t / 1000 for t in range(0, 199, 5)]
    sent = [round(t, 3) for t in times if core.tick(t)]
    assert sent == [0.02, 0.04, 0.08]


def test_full_store_accepts_no_claim_and_evicts_none():
    """Guards against an evicted claim whose request then runs again."""
    store = claim_store.ClaimStore(max_claims=1)
    one = claim.Claim(KEY, *OTHER, 1)
    two = claim.Claim(request_key.RequestKey(FLOW, 2), *OTHER, 2)
    assert store.record(0, FLOW.bucket(), one) == one
    assert store.record(1, FLOW.bucket(), two) is None
    assert store.find(FLOW.bucket(), KEY) == one
    store.expire(lifetime.EXCHANGE_SECONDS - 1)
    assert store.find(FLOW.bucket(), KEY) == one
    store.expire(lifetime.EXCHANGE_SECONDS)
    assert len(store) == 0
    assert store.record(300, FLOW.bucket(), two) == two


def test_claims_expire_at_any_time_and_in_any_order():
    """Guards against an endless loop when the expiry time of a claim is rounded."""
    store = claim_store.ClaimStore()
    starts = [i / 7 for i in range(100)]
    for i, start in enumerate(reversed(starts)):
        key = request_key.RequestKey(FLOW, i)
        store.merge(start, 1, [claim.Claim(key, *OTHER, i)])
    for expired, start in enumerate(starts):
        store.expire(start + lifetime.EXCHANGE_SECONDS)
        assert len(store) == len(starts) - expired - 1


def test_expired_claim_releases_its_answer_once():
    """Guards against more bytes of answers than the limit after some have expired."""
    store = claim_store.ClaimStore()
    keys = [request_key.RequestKey(FLOW, i, b"resend-%d" % i) for i in range(4)]
    answered = [
        claim.Claim(k, *OTHER, i, outcome.Outcome.ANSWERED, b"answer")
        for i, k in enumerate(keys)
    ]
    with mock.patch.object(claim_store, "MAX_ANSWER_BYTES", 2 * len(b"answer")):
        store.merge(0, 1, answered[:1])
        store.expire(lifetime.EXCHANGE_SECONDS)
        store.merge(lifetime.EXCHANGE_SECONDS, 1, answered[1:])
    assert [store.find(1, k).answer for k in keys[1:]] == [b"answer", b"answer", b""]


def test_claims_of_two_owners_become_unknown():
    """Guards against an answer of which only one of two claims is the source."""
    store = claim_store.ClaimStore()
    store.record(0, 1, claim.Claim(KEY, *OTHER, 1))
    answered = outcome.Outcome.ANSWERED
    store.merge(0, 1, [claim.Claim(KEY, *HOLDER, 1, answered, b"a")])
    assert store.find(1, KEY).outcome is outcome.Outcome.UNKNOWN


def test_known_answer_survives_a_copy():
    """Guards against an answer that is lost with the first holder."""
    store, copy = claim_store.ClaimStore(), claim_store.ClaimStore()
    answered = claim.Claim(KEY, *OTHER, 1, outcome.Outcome.ANSWERED, b"a")
    store.record(0, 1, claim.Claim(KEY, *OTHER, 1))
    store.record_outcome(1, answered)
    copy.merge(100, 1, store.export(50, 1))
    assert copy.find(1, KEY).answer == b"a"
    copy.expire(100 + lifetime.EXCHANGE_SECONDS - 50)
    assert len(copy) == 0


load_tests = fixtures.load_functions(globals())
