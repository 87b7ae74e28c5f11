"""Which calls a gate dispatches, queues or refuses, and in which order."""

import random

from ebonycleat.internal.process.concurrency_limit import FixedLimit
from ebonycleat.internal.process.gate import Gate, create_gate
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
    RefuseCall,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.refusal import Outcome, Reason
from tests.cover.call_builders import make_call

SUCCESS = RunOutcome(RunResult.SUCCEEDED, 0.1)


def make_gate(slots: int = 1, queue_limit: int = 4) -> Gate:
    limit = FixedLimit(slots)
    return create_gate(slots, queue_limit, 'z1', random.Random(1), limit)


def only_decision(decisions: list[GateDecision]) -> GateDecision:
    assert len(decisions) == 1
    return decisions[0]


def test_queued_call_starts_when_a_slot_is_freed() -> None:
    """Guards against a slot that stays free although calls wait."""
    gate = make_gate()
    first, second = make_call('1'), make_call('2')
    assert gate.offer(first, 0) == [DispatchCall(first)]
    assert not gate.offer(second, 0)
    assert gate.finish_run('1', SUCCESS, 0.1) == [DispatchCall(second)]
    assert not gate.finish_run('1', SUCCESS, 0.2)


def test_important_and_deep_calls_start_before_others() -> None:
    """Guards against important or deep calls that wait behind other calls.

    Earlier hops have already done work for the request of a deep call.
    """
    gate = make_gate(queue_limit=18)
    gate.offer(make_call('run'), 0)
    gate.offer(make_call('low', Priority.LOW), 0)
    gate.offer(make_call('fresh'), 0)
    gate.offer(make_call('deep', depth=3), 0)
    gate.offer(make_call('top', Priority.CRITICAL), 0)
    order = []
    call_id = 'run'
    for _ in range(4):
        decision = only_decision(gate.finish_run(call_id, SUCCESS, 0.01))
        assert isinstance(decision, DispatchCall)
        call_id = decision.call.call_id
        order.append(call_id)
    assert order == ['top', 'deep', 'fresh', 'low']


def test_full_queue_evicts_the_least_important_call() -> None:
    """Guards against low-priority calls that keep important ones out."""
    gate = make_gate(queue_limit=4)
    gate.offer(make_call('run'), 0)
    gate.offer(make_call('low', Priority.LOW), 0)
    gate.offer(make_call('normal'), 0)
    decision = only_decision(gate.offer(make_call('high', Priority.HIGH), 0))
    assert isinstance(decision, RefuseCall)
    assert decision.call.call_id == 'low'
    assert decision.refusal.reason is Reason.QUEUE_FULL
    assert decision.refusal.outcome is Outcome.NOT_RUN


def test_half_of_the_queue_is_left_to_critical_calls() -> None:
    """Guards against other calls that fill the queue before critical ones."""
    gate = make_gate(queue_limit=4)
    gate.offer(make_call('run'), 0)
    for number in range(4):
        gate.offer(make_call(f'normal-{number}'), 0)
    assert not gate.offer(make_call('top-1', Priority.CRITICAL), 0)
    assert not gate.offer(make_call('top-2', Priority.CRITICAL), 0)
    decision = only_decision(
        gate.offer(make_call('top-3', Priority.CRITICAL), 0)
    )
    assert decision.call.priority is Priority.NORMAL


def test_call_that_cannot_meet_its_deadline_never_starts() -> None:
    """Guards against running calls whose caller has already given up."""
    gate = make_gate()
    gate.offer(make_call('1'), 0)
    gate.offer(make_call('2', deadline=0.5), 0)
    decision = only_decision(
        gate.finish_run('1', RunOutcome(RunResult.SUCCEEDED, 0.6), 0.6)
    )
    assert isinstance(decision, RefuseCall)
    assert decision.refusal.reason is Reason.DEADLINE


def test_a_withdrawn_key_refuses_only_queued_calls_of_that_key() -> None:
    """Guards against running a queued call after its key was withdrawn."""
    gate = make_gate()
    gate.offer(make_call('1', key_digest='k1'), 0)
    gate.offer(make_call('2', key_digest='k1'), 0)
    gate.offer(make_call('3', key_digest='k2'), 0)
    decision = only_decision(gate.refuse_withdrawn_key('k1', 0.1))
    assert isinstance(decision, RefuseCall)
    assert decision.call.call_id == '2'
    assert decision.refusal.reason is Reason.WITHDRAWN_KEY
    assert not gate.refuse_withdrawn_key('', 0.1)


def test_draining_gate_finishes_its_queue_and_refuses_new_calls() -> None:
    """Guards against losing queued requests at a planned stop."""
    gate = make_gate()
    gate.offer(make_call('1'), 0)
    gate.offer(make_call('2'), 0)
    gate.drain()
    refused = only_decision(gate.offer(make_call('3'), 0.1))
    assert isinstance(refused, RefuseCall)
    assert refused.refusal.reason is Reason.DRAINING
    assert refused.refusal.outcome is Outcome.NOT_RUN
    succeeded = RunOutcome(RunResult.SUCCEEDED, 0.1)
    started = only_decision(gate.finish_run('1', succeeded, 0.2))
    assert isinstance(started, DispatchCall)
    assert started.call.call_id == '2'


def test_a_dead_target_gets_one_trial_call_after_a_pause() -> None:
    """Guards against sending all queued calls to a dead process."""
    gate = create_gate(16, 8, 'z1', random.Random(1))
    gate.offer(make_call('1'), 0)
    gate.finish_run('1', RunOutcome(RunResult.TARGET_CRASHED), 0)
    refused = only_decision(gate.offer(make_call('2'), 0.1))
    assert isinstance(refused, RefuseCall)
    assert refused.refusal.reason is Reason.NO_TARGET
    trial_call = only_decision(gate.offer(make_call('3'), 0.3))
    assert isinstance(trial_call, DispatchCall)
    assert not gate.offer(make_call('4'), 0.3)


def test_calls_over_the_share_of_a_team_start_last_unless_critical() -> None:
    """Guards against one team that delays the LOW calls of other teams."""
    gate = make_gate(queue_limit=60)
    gate.set_team_rates({'a': 1, 'b': 1})
    gate.offer(make_call('first', team='b'), 0)
    call_id = 'first'
    for number in range(20):
        gate.offer(make_call(f'a-{number}'), 0)
        decision = only_decision(gate.finish_run(call_id, SUCCESS, 0))
        call_id = decision.call.call_id
    gate.offer(make_call('a-normal'), 0)
    gate.offer(make_call('b-low', Priority.LOW, team='b'), 0)
    gate.offer(make_call('a-top', Priority.CRITICAL), 0)
    order = []
    for _ in range(3):
        decision = only_decision(gate.finish_run(call_id, SUCCESS, 0))
        call_id = decision.call.call_id
        order.append(call_id)
    assert order == ['a-top', 'b-low', 'a-normal']
