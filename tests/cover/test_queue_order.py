"""Order of starts by attainable objective, and early refusal, at a gate."""

import heapq
import random

import pytest

from ebonycleat.internal.process.admission.backlog import Backlog
from ebonycleat.internal.process.concurrency_limit import FixedLimit
from ebonycleat.internal.process.fair_queue import (
    DispatchRate,
    FairQueue,
    QueuedCall,
)
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_decisions import DispatchCall
from ebonycleat.internal.process.mesh_admission import objective_of
from ebonycleat.internal.process.mesh_gate import QUEUE_PER_SLOT
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.refusal import Outcome, Reason
from tests.cover.call_builders import make_call
from tests.mesh_fakes import create_route

SERVICE_S = 0.1
SLOTS = 8


def push(queue, call_id, on_time_start, **fields):
    call = make_call(call_id, **fields)
    queue.push(QueuedCall(call, 0, 10, on_time_start=on_time_start))


def pop_all(queue, count, standing=False):
    rate = DispatchRate(2, 0.01, standing)
    return [queue.pop(rate).call.call_id for _ in range(count)]


def test_calls_that_became_late_start_after_those_on_time():
    """Guards against slots for calls that miss their objective anyway.

    Priority comes first; in both groups calls of targets do, and teams take
    turns.
    """
    queue = FairQueue()
    for number in range(2):
        push(queue, f'late-a{number}', 1)
        push(queue, f'late-b{number}', 1, team='b')
    push(queue, 'late-deep', 1, depth=1)
    push(queue, 'on-time', 3)
    push(queue, 'deep', 3, depth=1)
    push(queue, 'late-top', 1, priority=Priority.CRITICAL)
    order = pop_all(queue, 4)
    assert order == ['late-top', 'deep', 'on-time', 'late-deep']
    assert pop_all(queue, 4) == ['late-a0', 'late-b0', 'late-a1', 'late-b1']


@pytest.mark.parametrize('standing', [False, True])
def test_one_start_in_eight_is_a_late_call(standing):
    """Guards against late calls that starve, and against evicting others."""
    queue = FairQueue()
    for number in range(60):
        push(queue, f'late-{number}', 1)
        push(queue, f'on-time-{number}', 9)
    started = pop_all(queue, 40, standing)
    assert sum(call_id.startswith('late') for call_id in started) == 5
    arriving = QueuedCall(make_call('new'), 2, 10, on_time_start=9)
    assert 'late' in queue.choose_eviction(arriving).call.call_id


def count_met(load, seen_objective_s):
    """Return how many calls meet their objective of 0.3 s at a loaded gate."""
    rng, gate, now = random.Random(3), make_gate(), 0
    objectives, ends, met = {}, [], 0
    while now < 8:
        now += rng.expovariate(load * SLOTS / SERVICE_S)
        while ends and ends[0][0] <= now:
            ended_at, call_id = heapq.heappop(ends)
            outcome = RunOutcome(RunResult.SUCCEEDED, SERVICE_S)
            met += ended_at <= objectives[call_id]
            for decision in gate.finish_run(call_id, outcome, ended_at):
                if isinstance(decision, DispatchCall):
                    end = ended_at + SERVICE_S * rng.uniform(0.5, 1.5)
                    heapq.heappush(ends, (end, decision.call.call_id))
        times = {'deadline': now + 1.5, 'objective': now + seen_objective_s}
        call = make_call(str(len(objectives)), team=rng.choice('abcd'), **times)
        objectives[call.call_id] = now + 0.3
        if any(isinstance(it, DispatchCall) for it in gate.offer(call, now)):
            heapq.heappush(ends, (now + SERVICE_S, call.call_id))
    assert len(gate.queue.objective_ends) < 200
    return met


@pytest.mark.parametrize('load', [1.3, 2])
def test_more_calls_meet_their_objective_above_capacity(load):
    """Guards against an order in which most answers come too late.

    A gate that sees the deadline as objective uses the order of before.
    """
    assert count_met(load, 0.3) > count_met(load, 1.5) * 1.1


@pytest.mark.parametrize(
    ('ahead', 'interval_s', 'is_too_long'),
    [(3, 10, False), (7, 10, False), (20, 0.1, False), (20, 0.11, True)],
)
def test_a_call_is_refused_only_behind_a_long_queue(
    ahead, interval_s, is_too_long
):
    """Guards against refusals by an estimate that is far too long."""
    assert Backlog(ahead, interval_s, 1.4).is_too_long(SLOTS) is is_too_long


def make_gate(waiting=0, sheds_by_level=False):
    queue_limit = max(SLOTS * QUEUE_PER_SLOT, waiting * 2)
    fixed = (SLOTS, queue_limit, 'z', random.Random(1), FixedLimit(SLOTS))
    gate = create_gate(*fixed, sheds_by_level=sheds_by_level)
    gate.signals.service_times.record('map', SERVICE_S, 0)
    for number in range(waiting):
        gate.offer(make_call(str(number)), 0)
    return gate


def test_a_call_that_cannot_start_in_time_is_refused_on_arrival():
    """Guards against waiting in vain, and against returning too early.

    60 calls need 0.75 s; the refused call has 0.4 s until its latest start.
    Gates with admission levels, of the product's own nodes, stay as is.
    """
    gate = make_gate(SLOTS + 60)
    waits = set()
    for number in range(50):
        late = make_call(f'x{number}', deadline=0.5)
        refusal = gate.offer(late, 0)[0].refusal
        kind = (refusal.reason, refusal.outcome)
        assert kind == (Reason.QUEUE_FULL, Outcome.NOT_RUN)
        waits.add(refusal.retry_after_s)
    assert gate.early_refusals == 50
    assert 0.37 <= min(waits) < 0.42
    assert 0.48 < max(waits) < 0.6
    assert not gate.offer(make_call('y', deadline=0.5, team='b'), 0)
    assert not gate.offer(make_call('z', Priority.HIGH, deadline=0.5), 0)
    gate = make_gate(SLOTS + 60, sheds_by_level=True)
    gate.offer(make_call('x', deadline=0.5), 0)
    assert not gate.early_refusals


def test_a_call_of_a_target_has_the_objective_of_its_request():
    """Guards against calls that fall behind although their request is on time.

    The call's own route has a shorter objective, but only the answer to the
    request counts, and its work so far would be lost.
    """
    route = create_route('lookup', latency_objective_s=0.3)
    parent = make_call('parent', objective=3, deadline=5)
    assert objective_of(route, parent, now=2, timeout_s=0.7) == 3
    assert objective_of(route, None, now=2, timeout_s=0.7) == 2.3
