"""One crashing request must not take down target after target (F7)."""

import heapq
import itertools
import random

import pytest

from ebonycleat import Call, Priority, Reason, Refusal
from ebonycleat.internal.process.crash_suspects import (
    MIN_CRASHES_TO_REFUSE,
    REFUSAL_DURATION_S,
    SuspectAdmission,
    CrashSuspects,
    RunAtNode,
    fingerprint_call,
)
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
    SendToPeer,
)
from ebonycleat.internal.process.suspect_memory import (
    MAX_SUSPECTS,
    SuspectMemory,
    TargetDied,
)
from ebonycleat.internal.request.refusal import refuse_not_run

NODES = ('a', 'b', 'c', 'd')

CRASHES_AFTER_S = 0.005

LOG_DELAY_S = 0.03


def make_call(call_id, body=b'ok'):
    return Call(
        call_id=call_id,
        root_id=call_id,
        team='survey',
        route='map',
        service='map',
        priority=Priority.HIGH,
        idempotent=True,
        deadline=1000,
        method='POST',
        path='/map',
        body=body,
    )


class Fleet:
    """Nodes with targets that die of the body ``crash``."""

    def __init__(self, seed, log_works=True):
        self.rng = random.Random(seed)
        self.log_works = log_works
        self.order = itertools.count()
        self.queue = []
        self.now = 0
        self.nodes = {name: CrashSuspects(name, 1, 'map') for name in NODES}
        self.generation = dict.fromkeys(NODES, 0)
        self.up_at = dict.fromkeys(NODES, 0)
        self.deaths = 0
        self.answered = set()
        self.refused = set()

    def after(self, delay_s, action, *arguments):
        due = (self.now + delay_s, next(self.order), action, arguments)
        heapq.heappush(self.queue, due)

    def run(self):
        while self.queue:
            due = heapq.heappop(self.queue)
            self.now = due[0]
            due[2](*due[3])

    def live(self):
        return [name for name in NODES if self.up_at[name] <= self.now]

    def offer(self, name, call):
        if call.deadline <= self.now:
            return
        if name not in self.live():
            self.after(0.01, self.offer, self.rng.choice(NODES), call)
            return
        decision = self.nodes[name].admit(call, self.live(), self.now)
        if isinstance(decision, Refusal):
            self.refused.add(call.body)
        elif isinstance(decision, RunAtNode):
            self.after(0.001, self.offer, decision.node, call)
        elif decision is SuspectAdmission.WAIT:
            self.after(0.005, self.offer, name, call)
        elif call.body == b'crash':
            generation = self.generation[name]
            self.after(CRASHES_AFTER_S, self.die, name, generation)
        else:
            service_s = self.rng.choice((0.002, 0.02))
            generation = self.generation[name]
            self.after(service_s, self.answer, name, call, generation)

    def answer(self, name, call, generation):
        if generation != self.generation[name]:
            # The target died beneath it; the caller sends again.
            self.after(0.01, self.offer, self.rng.choice(NODES), call)
            return
        self.answered.add(call.call_id)
        node = self.nodes[name]
        effects = node.finish_run(call.call_id, NODES, self.now, answered=True)
        self.carry_out(effects)

    def die(self, name, generation):
        if generation == self.generation[name]:
            self.deaths += 1
            self.generation[name] += 1
            self.up_at[name] = self.now + 0.5
            self.carry_out(
                self.nodes[name].handle_target_crash(NODES, self.now)
            )

    def carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, SendToPeer):
                delay_s = self.rng.choice((0.001, 0.004))
                self.after(delay_s, self.tell, effect.node, effect.message)
            elif self.log_works:
                for name in NODES:
                    self.after(LOG_DELAY_S, self.tell, name, effect.record)

    def tell(self, name, record):
        self.nodes[name].handle_record(record, self.now)


def send_among_innocents(fleet):
    innocents = [make_call(f'i-{number}', bytes(2)) for number in range(20)]
    innocents.extend(
        make_call(f'j-{number}', str(number).encode()) for number in range(200)
    )
    for call in innocents:
        start = fleet.rng.uniform(0.9, 1.6)
        fleet.after(start, fleet.offer, fleet.rng.choice(NODES), call)
    fleet.after(1, fleet.offer, 'a', make_call('crash-0', b'crash'))
    for number in range(1, 20):
        crash = make_call(f'crash-{number}', b'crash')
        # Some at the same moment at all nodes, some spread out.
        start = fleet.rng.choice((1.02, 1.1, 1.1 + number / 10))
        fleet.after(start, fleet.offer, NODES[number % 4], crash)
    fleet.run()
    return {call.call_id for call in innocents}


@pytest.mark.parametrize('log_works', [True, False])
@pytest.mark.parametrize('seed', range(20))
def test_at_most_two_targets_die_of_a_request_sent_twenty_times(
    seed,
    log_works,
):
    """Guards against F7: the request reaches all nodes, also at once."""
    fleet = Fleet(seed, log_works)
    innocents = send_among_innocents(fleet)
    assert fleet.deaths == 2
    assert fleet.refused == {b'crash'}
    assert fleet.answered == innocents


def admit_suspects_like_others(node, call, live_nodes, now):
    mark = fingerprint_call(call)
    if (
        len(node.memory.find_uncleared_crashes(mark, now))
        >= MIN_CRASHES_TO_REFUSE
    ):
        return refuse_not_run(Reason.CRASH_SUSPECT)
    node.running[call.call_id] = mark
    return SuspectAdmission.RUN


def test_the_fleet_sees_it_when_suspects_run_side_by_side(monkeypatch):
    """Guards against a simulation too mild to need the suspects' order."""
    monkeypatch.setattr(CrashSuspects, 'admit', admit_suspects_like_others)
    harmed = 0
    for seed in range(20):
        fleet = Fleet(seed)
        innocents = send_among_innocents(fleet)
        harmed += fleet.deaths > 2 or fleet.answered != innocents
    assert harmed >= 10


def test_records_in_any_order_give_the_same_decision():
    """Guards against nodes that disagree about who is refused."""
    node = CrashSuspects('a', 1, 'map')
    call = make_call('x')
    node.admit(call, ('a',), 0)
    first = node.handle_target_crash((), 0)[0].record
    node.admit(make_call('y'), ('a',), 1)
    cleared = node.finish_run('y', (), 1, answered=True)[0].record
    node.admit(make_call('z'), ('a',), 2)
    second = node.handle_target_crash((), 2)[0].record
    for order in itertools.permutations((first, cleared, second, first)):
        other = CrashSuspects('b', 1, 'map')
        for record in order:
            other.handle_record(record, 3)
        blamed = other.memory.find_uncleared_crashes(fingerprint_call(call), 3)
        assert blamed == {second.operation_id}


def test_a_refusal_ends_after_its_time():
    """Guards against a request that stays refused after a repair."""
    node = CrashSuspects('a', 1, 'map')
    for death in range(2):
        assert node.admit(make_call('x'), ('a',), death) is SuspectAdmission.RUN
        node.handle_target_crash((), death)
    refusal = node.admit(make_call('x'), ('a',), 2)
    assert refusal.reason is Reason.CRASH_SUSPECT
    node.tick(1 + REFUSAL_DURATION_S)
    assert (
        node.admit(make_call('x'), ('a',), 1 + REFUSAL_DURATION_S)
        is SuspectAdmission.RUN
    )
    assert not node.memory.suspects


def test_a_run_without_an_answer_clears_nothing():
    """Guards against a time-out that clears the guilty request."""
    node = CrashSuspects('a', 1, 'map')
    node.admit(make_call('x'), ('a',), 0)
    node.handle_target_crash((), 0)
    node.admit(make_call('y'), ('a',), 1)
    assert not node.finish_run('y', (), 1, answered=False)
    assert (
        len(
            node.memory.find_uncleared_crashes(
                fingerprint_call(make_call('x')), 1
            )
        )
        == 1
    )


def test_records_that_the_log_refused_are_appended_again():
    """Guards against deaths that a node started later never learns of."""
    node = CrashSuspects('a', 1, 'map')
    node.admit(make_call('x'), ('a',), 0)
    append = node.handle_target_crash((), 0)[0]
    assert isinstance(append, AppendToLog)
    node.handle_append_result(AppendFailed(append.operation_id, False), 0)
    assert node.tick(2) == [append]
    node.handle_append_result(AppendConfirmed(append.operation_id, 1), 2)
    assert not node.tick(9)


def test_memory_is_bounded():
    """Guards against a flood of suspects that fills the node's memory."""
    memory = SuspectMemory(REFUSAL_DURATION_S)
    for start in range(0, 2 * MAX_SUSPECTS, MAX_SUSPECTS // 2):
        marks = tuple(range(start, start + MAX_SUSPECTS // 2))
        memory.apply_record(TargetDied(f'death-{start}', 'map', marks), 0)
    assert len(memory.suspects) == MAX_SUSPECTS
