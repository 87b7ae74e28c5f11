"""A request that crashes targets is stopped after at most two crashes."""

import heapq
import itertools
import random

import pytest

from ebonycleat import Call, Priority, Reason, Refusal
from ebonycleat.internal.process.crash_suspects import (
    MIN_CRASHES_TO_REFUSE,
    REFUSAL_DURATION_S,
    CrashSuspects,
    RunAtNode,
    SuspectAdmission,
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

TIME_TO_CRASH_S = 0.005

LOG_DELAY_S = 0.03


def create_call(call_id, body=b'ok'):
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
    """A simulation of nodes whose targets crash on the body ``crash``."""

    def __init__(self, seed, log_works=True):
        self.rng = random.Random(seed)
        self.log_works = log_works
        self.event_numbers = itertools.count()
        self.queue = []
        self.now = 0
        self.nodes = {name: CrashSuspects(name, 1, 'map') for name in NODES}
        self.generation = dict.fromkeys(NODES, 0)
        self.restarted_at = dict.fromkeys(NODES, 0)
        self.crashes = 0
        self.answered = set()
        self.refused = set()

    def schedule(self, delay_s, action, *arguments):
        event = (
            self.now + delay_s,
            next(self.event_numbers),
            action,
            arguments,
        )
        heapq.heappush(self.queue, event)

    def run(self):
        while self.queue:
            event = heapq.heappop(self.queue)
            self.now = event[0]
            event[2](*event[3])

    def find_live_nodes(self):
        return [name for name in NODES if self.restarted_at[name] <= self.now]

    def dispatch(self, name, call):
        if call.deadline <= self.now:
            return
        if name not in self.find_live_nodes():
            self.schedule(0.01, self.dispatch, self.rng.choice(NODES), call)
            return
        decision = self.nodes[name].admit(
            call, self.find_live_nodes(), self.now
        )
        if isinstance(decision, Refusal):
            self.refused.add(call.body)
        elif isinstance(decision, RunAtNode):
            self.schedule(0.001, self.dispatch, decision.node, call)
        elif decision is SuspectAdmission.WAIT:
            self.schedule(0.005, self.dispatch, name, call)
        elif call.body == b'crash':
            generation = self.generation[name]
            self.schedule(TIME_TO_CRASH_S, self.crash_target, name, generation)
        else:
            service_s = self.rng.choice((0.002, 0.02))
            generation = self.generation[name]
            self.schedule(service_s, self.answer, name, call, generation)

    def answer(self, name, call, generation):
        if generation != self.generation[name]:
            # The target crashed during the run; the caller sends it again.
            self.schedule(0.01, self.dispatch, self.rng.choice(NODES), call)
            return
        self.answered.add(call.call_id)
        node = self.nodes[name]
        effects = node.finish_run(call.call_id, NODES, self.now, answered=True)
        self.perform(effects)

    def crash_target(self, name, generation):
        if generation == self.generation[name]:
            self.crashes += 1
            self.generation[name] += 1
            self.restarted_at[name] = self.now + 0.5
            self.perform(self.nodes[name].handle_target_crash(NODES, self.now))

    def perform(self, effects):
        for effect in effects:
            if isinstance(effect, SendToPeer):
                delay_s = self.rng.choice((0.001, 0.004))
                self.schedule(
                    delay_s, self.deliver_record, effect.node, effect.message
                )
            elif self.log_works:
                for name in NODES:
                    self.schedule(
                        LOG_DELAY_S, self.deliver_record, name, effect.record
                    )

    def deliver_record(self, name, record):
        self.nodes[name].handle_record(record, self.now)


def send_crashing_and_harmless_requests(fleet):
    """Run the simulation, and return the ids of the harmless calls."""
    harmless_calls = [
        create_call(f'i-{number}', bytes(2)) for number in range(20)
    ]
    harmless_calls.extend(
        create_call(f'j-{number}', str(number).encode())
        for number in range(200)
    )
    for call in harmless_calls:
        start = fleet.rng.uniform(0.9, 1.6)
        fleet.schedule(start, fleet.dispatch, fleet.rng.choice(NODES), call)
    fleet.schedule(1, fleet.dispatch, 'a', create_call('crash-0', b'crash'))
    for number in range(1, 20):
        crash = create_call(f'crash-{number}', b'crash')
        # Some requests arrive at all nodes at the same time, others one by one.
        start = fleet.rng.choice((1.02, 1.1, 1.1 + number / 10))
        fleet.schedule(start, fleet.dispatch, NODES[number % 4], crash)
    fleet.run()
    return {call.call_id for call in harmless_calls}


@pytest.mark.parametrize('log_works', [True, False])
@pytest.mark.parametrize('seed', range(20))
def test_a_request_sent_twenty_times_crashes_at_most_two_targets(
    seed,
    log_works,
):
    """Guards against a request that crashes one target after another.

    The caller repeats it through all nodes, partly at the same time. Requests
    that run beside it must be answered and must not be refused.
    """
    fleet = Fleet(seed, log_works)
    harmless_ids = send_crashing_and_harmless_requests(fleet)
    assert fleet.crashes == 2
    assert fleet.refused == {b'crash'}
    assert fleet.answered == harmless_ids


def admit_without_isolating_suspects(node, call, live_nodes, now):
    fingerprint = fingerprint_call(call)
    if (
        len(node.memory.find_uncleared_crashes(fingerprint, now))
        >= MIN_CRASHES_TO_REFUSE
    ):
        return refuse_not_run(Reason.CRASH_SUSPECT)
    node.running[call.call_id] = fingerprint
    return SuspectAdmission.RUN


def test_the_simulation_detects_suspects_that_run_concurrently(monkeypatch):
    """Guards against a simulation that passes even without isolation."""
    monkeypatch.setattr(
        CrashSuspects, 'admit', admit_without_isolating_suspects
    )
    failed_runs = 0
    for seed in range(20):
        fleet = Fleet(seed)
        harmless_ids = send_crashing_and_harmless_requests(fleet)
        failed_runs += fleet.crashes > 2 or fleet.answered != harmless_ids
    assert failed_runs >= 10


def test_records_in_any_order_give_the_same_decision():
    """Guards against nodes that disagree about which requests to refuse."""
    node = CrashSuspects('a', 1, 'map')
    call = create_call('x')
    node.admit(call, ('a',), 0)
    first = node.handle_target_crash((), 0)[0].record
    node.admit(create_call('y'), ('a',), 1)
    cleared = node.finish_run('y', (), 1, answered=True)[0].record
    node.admit(create_call('z'), ('a',), 2)
    second = node.handle_target_crash((), 2)[0].record
    for order in itertools.permutations((first, cleared, second, first)):
        other = CrashSuspects('b', 1, 'map')
        for record in order:
            other.handle_record(record, 3)
        blamed_crashes = other.memory.find_uncleared_crashes(
            fingerprint_call(call), 3
        )
        assert blamed_crashes == {second.operation_id}


def test_a_refusal_ends_after_its_duration():
    """Guards against a request that is refused even after a repair."""
    node = CrashSuspects('a', 1, 'map')
    for death in range(2):
        assert (
            node.admit(create_call('x'), ('a',), death) is SuspectAdmission.RUN
        )
        node.handle_target_crash((), death)
    refusal = node.admit(create_call('x'), ('a',), 2)
    assert refusal.reason is Reason.CRASH_SUSPECT
    node.tick(1 + REFUSAL_DURATION_S)
    assert (
        node.admit(create_call('x'), ('a',), 1 + REFUSAL_DURATION_S)
        is SuspectAdmission.RUN
    )
    assert not node.memory.suspects


def test_a_run_without_an_answer_clears_nothing():
    """Guards against a time-out that clears the request that crashes targets."""
    node = CrashSuspects('a', 1, 'map')
    node.admit(create_call('x'), ('a',), 0)
    node.handle_target_crash((), 0)
    node.admit(create_call('y'), ('a',), 1)
    assert not node.finish_run('y', (), 1, answered=False)
    assert (
        len(
            node.memory.find_uncleared_crashes(
                fingerprint_call(create_call('x')), 1
            )
        )
        == 1
    )


def test_records_whose_append_failed_are_appended_again():
    """Guards against crashes that nodes started later never learn of."""
    node = CrashSuspects('a', 1, 'map')
    node.admit(create_call('x'), ('a',), 0)
    append = node.handle_target_crash((), 0)[0]
    assert isinstance(append, AppendToLog)
    node.handle_append_result(AppendFailed(append.operation_id, False), 0)
    assert node.tick(2) == [append]
    node.handle_append_result(AppendConfirmed(append.operation_id, 1), 2)
    assert not node.tick(9)


def test_the_number_of_suspects_is_bounded():
    """Guards against unlimited memory use when many requests are suspects."""
    memory = SuspectMemory(REFUSAL_DURATION_S)
    for start in range(0, 2 * MAX_SUSPECTS, MAX_SUSPECTS // 2):
        marks = tuple(range(start, start + MAX_SUSPECTS // 2))
        memory.apply_record(TargetDied(f'death-{start}', 'map', marks), 0)
    assert len(memory.suspects) == MAX_SUSPECTS
