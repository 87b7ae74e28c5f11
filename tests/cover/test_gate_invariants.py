"""Properties of the gate and its queue that hold for any order of events."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.process.fair_queue import (
    DispatchRate,
    FairQueue,
    QueuedCall,
)
from ebonycleat.internal.process.gate import Gate, create_gate
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Priority
from tests.cover.call_builders import make_call

SLOTS = 5
STEPS = st.lists(
    st.tuples(
        st.sampled_from((
            *('offer',) * 8,
            *('finish',) * 4,
            'cancel',
            'withdraw',
            'health',
            'tick',
            'drain',
        )),
        st.integers(0, 10**6),
    ),
    max_size=120,
)


class GateDriver:
    """Applies random events to a gate and counts the decisions per call."""

    def __init__(self) -> None:
        self.now: float = 0
        self.gate: Gate = create_gate(SLOTS, 6, 'z', random.Random(1))
        self.offered = 0
        self.decision_counts: Counter[str] = Counter()
        self.running: list[str] = []

    def record_decisions(self, decisions: list[GateDecision]) -> None:
        for decision in decisions:
            self.decision_counts[decision.call.call_id] += 1
            if isinstance(decision, DispatchCall):
                assert decision.call.deadline > self.now
                self.running.append(decision.call.call_id)
        assert len(self.running) <= SLOTS
        assert len(self.gate.queue) <= 6

    def offer(self, number: int) -> None:
        self.offered += 1
        call = make_call(
            str(self.offered),
            Priority(number % 5),
            team='abc'[number % 3],
            deadline=self.now + number % 7 / 10,
            depth=number % 2,
            key_digest=f'k{number % 2}',
        )
        self.record_decisions(self.gate.offer(call, self.now))

    def finish(self, number: int) -> None:
        if self.running:
            call_id = self.running.pop(number % len(self.running))
            results = (*(RunResult.SUCCEEDED,) * 4, *RunResult)
            outcome = RunOutcome(
                results[number % len(results)],
                number % 300 / 1000,
            )
            self.record_decisions(
                self.gate.finish_run(call_id, outcome, self.now)
            )

    def cancel(self, number: int) -> None:
        call_id = str(number % (self.offered + 1))
        self.record_decisions(self.gate.cancel(call_id, self.now))

    def withdraw(self, number: int) -> None:
        self.record_decisions(
            self.gate.refuse_withdrawn_key(f'k{number % 2}', self.now)
        )

    def health(self, number: int) -> None:
        self.gate.limit.record_health(number % 9, self.now)

    def tick(self, number: int) -> None:
        self.record_decisions(self.gate.tick(self.now))

    def drain(self, number: int) -> None:
        if not number % 4:
            self.gate.drain()

    def step(self, kind: str, number: int) -> None:
        self.now += number % 50 / 1000
        getattr(self, kind)(number)


@given(steps=STEPS)
def test_each_call_gets_exactly_one_decision_within_the_slots(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against decisions that are wrong only for some orders of events.

    Wrong are no decision or two decisions on a call, a start after the deadline
    of the call, and more running or queued calls than allowed.
    """
    driver = GateDriver()
    for kind, number in steps:
        driver.step(kind, number)
    driver.now += 1
    driver.record_decisions(driver.gate.tick(driver.now))
    while driver.running:
        driver.finish(0)
    assert len(driver.decision_counts) == driver.offered
    assert set(driver.decision_counts.values()) <= {1}
    assert not driver.gate.current_load(driver.now).running


@given(
    calls=st.lists(
        st.tuples(st.sampled_from(Priority), st.sampled_from('abc')),
        max_size=60,
    ),
    has_standing_queue=st.booleans(),
)
def test_no_call_starts_before_a_more_important_one(
    calls: list[tuple[Priority, str]],
    has_standing_queue: bool,
) -> None:
    """Guards against starting a call while a more important one waits."""
    queue = FairQueue()
    for number, (priority, team) in enumerate(calls):
        call = make_call(str(number), priority, team)
        queue.push(QueuedCall(call, 0, 10))
    dispatch_rate = DispatchRate(0, 1, has_standing_queue)
    served = [queue.pop(dispatch_rate).call.priority for _ in calls]
    assert served == sorted(served)


@given(
    weights=st.lists(st.integers(1, 20), min_size=2, max_size=6),
    order=st.randoms(use_true_random=False),
)
def test_waiting_teams_are_served_in_proportion_to_their_weights(
    weights: list[int],
    order: random.Random,
) -> None:
    """Guards against a team that waits longer than the round robin allows."""
    teams = [f't{number}' for number in range(len(weights))]
    queue = FairQueue()
    queue.set_weights(dict(zip(teams, weights, strict=True)))
    entries = [(team, number) for team in teams for number in range(90)]
    order.shuffle(entries)
    for team, number in entries:
        call = make_call(f'{team}-{number}', team=team)
        queue.push(QueuedCall(call, 0, 10))
    served: Counter[str] = Counter()
    dispatch_rate = DispatchRate(0, 1, has_standing_queue=False)
    for _ in range(80):
        served[queue.pop(dispatch_rate).call.team] += 1
    for one in teams:
        for other in teams:
            one_turns = served[one] / queue.quanta[one]
            other_turns = served[other] / queue.quanta[other]
            assert abs(one_turns - other_turns) <= 2
