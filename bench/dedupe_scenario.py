"""One random schedule of faults against the dedupe decisions of a fleet."""

import dataclasses
import random

from bench.dedupe_callers import USABLE_SLOTS, Callers, History
from bench.dedupe_node import DedupeNode, SimulationContext
from bench.dedupe_ownership import FakeOwnership
from bench.dedupe_simulation import Clock, FakeLog, Fault, Faults

NODE_NAMES = ('a', 'b', 'c')

# Faults, takeovers and new ids are concentrated around this time. Spread evenly
# they hardly ever coincide: a missing safeguard was not detected in 1,000
# schedules.
FAULT_CENTER_S = 4

END_S = 16

MAX_IDS = 6

MAX_FAULTS = 4

MAX_TAKEOVERS = 3


@dataclasses.dataclass(frozen=True)
class ScheduleResult:
    """The violations and the numbers of runs and results of one schedule."""

    violations: tuple[str, ...]
    runs: int
    answers: int
    not_run: int
    unknown: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """The faults and crashes of one schedule.

    ``first_owner`` owns all slots at first; the patterns of faults affect it.
    """

    first_owner: str
    faults: tuple[Fault, ...]
    crashes: tuple[tuple[float, str], ...]


def create_plan(rng: random.Random) -> Plan:
    """Choose independent faults, which a pattern replaces in most schedules.

    The patterns are those that reveal a missing safeguard. Independent faults
    combine in such a way once in several hundred schedules.
    """
    first_owner = rng.choice(NODE_NAMES)
    faults = [_draw_fault(rng) for _ in range(rng.randint(0, MAX_FAULTS))]
    crashes = [
        (FAULT_CENTER_S + rng.uniform(-1, 4), rng.choice(NODE_NAMES))
        for _ in range(rng.choice((0, 0, 1, 2)))
    ]
    pattern = rng.choice(('late append', 'unlogged', 'isolated', 'none'))
    if pattern == 'late append':
        faults = [
            _create_fault('log-slow', '', -2, 0),
            _create_fault('cut', first_owner, -0.3, 8),
        ]
    elif pattern == 'unlogged':
        faults = [_create_fault('log-down', '', -3, -0.5)]
        crashes = [(FAULT_CENTER_S - rng.uniform(0, 0.6), first_owner)]
    elif pattern == 'isolated':
        faults = [_create_fault('isolated', first_owner, -1, 6)]
    return Plan(first_owner, tuple(faults), tuple(crashes))


def _draw_fault(rng: random.Random) -> Fault:
    start_s = rng.uniform(-2, 2)
    kind, subject = rng.choice((
        ('log-down', ''),
        ('log-slow', ''),
        ('log-loses-answers', ''),
        ('paused', rng.choice(NODE_NAMES)),
        ('cut', rng.choice(NODE_NAMES)),
        ('isolated', rng.choice(NODE_NAMES)),
    ))
    duration_s = rng.choice((0.3, 1, 2, 4))
    return _create_fault(kind, subject, start_s, start_s + duration_s)


def _create_fault(
    kind: str, subject: str, start_s: float, end_s: float
) -> Fault:
    return Fault(
        kind, subject, FAULT_CENTER_S + start_s, FAULT_CENTER_S + end_s
    )


def run_schedule(seed: int) -> ScheduleResult:
    """Run one schedule and compare the runs with the results of the callers."""
    rng = random.Random(seed)
    clock = Clock()
    plan = create_plan(rng)
    faults = Faults(clock, plan.faults)
    history = History(clock)
    callers = Callers(clock, history, rng)
    context = SimulationContext(
        clock=clock,
        faults=faults,
        log=FakeLog(clock, faults, rng),
        rng=rng,
        record_run=history.record_run,
        reply=callers.deliver_reply,
    )
    nodes = {name: DedupeNode(name, context) for name in NODE_NAMES}
    callers.nodes = nodes
    _schedule_takeovers(FakeOwnership(clock, faults, rng, nodes), plan)
    for _ in range(rng.randint(2, MAX_IDS)):
        callers.add_id(FAULT_CENTER_S + rng.uniform(-2, 3))
    clock.run_until(END_S)
    return _summarize(history)


def _schedule_takeovers(ownership: FakeOwnership, plan: Plan) -> None:
    rng = ownership.rng
    clock = ownership.clock
    for node in ownership.nodes.values():
        node.ownership = ownership
        node.start()
    for slot in range(USABLE_SLOTS):
        clock.after(0, ownership.claim, slot, plan.first_owner)
        for _ in range(rng.randint(1, MAX_TAKEOVERS)):
            at = FAULT_CENTER_S + rng.choice((0, rng.uniform(-1, 5)))
            clock.after(at, ownership.claim, slot, rng.choice(NODE_NAMES))
    for crash_at, name in plan.crashes:
        down_s = rng.choice((0.2, 3))
        clock.after(crash_at, ownership.nodes[name].crash, down_s)


def _summarize(history: History) -> ScheduleResult:
    outcomes = [
        getattr(getattr(reported.result, 'refusal', None), 'outcome', None)
        for reported in history.reported_results
    ]
    names = [outcome.value if outcome else 'answer' for outcome in outcomes]
    return ScheduleResult(
        violations=tuple(history.violations()),
        runs=sum(len(runs) for runs in history.runs.values()),
        answers=names.count('answer'),
        not_run=names.count('not-run'),
        unknown=names.count('unknown'),
    )
