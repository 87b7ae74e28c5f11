"""One seeded adversarial schedule over the dedupe decisions of a fleet."""

import dataclasses
import random

from bench.dedupe_callers import USABLE_SLOTS, Callers, History
from bench.dedupe_node import DedupeNode, SimulationContext
from bench.dedupe_ownership import FakeOwnership
from bench.dedupe_simulation import Clock, FakeLog, Fault, Faults

NODE_NAMES = ('a', 'b', 'c')

# Faults, takeovers and new ids crowd around this time; spread evenly they
# hardly ever meet, and a missing safeguard went unseen for 1,000 schedules.
FOCUS_S = 4

END_S = 16

MAX_IDS = 6

MAX_FAULTS = 4

MAX_TAKEOVERS = 3


@dataclasses.dataclass(frozen=True)
class ScheduleResult:
    """What one schedule showed."""

    violations: tuple[str, ...]
    runs: int
    answers: int
    not_run: int
    unknown: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """What goes wrong in one schedule, and which node it strikes."""

    victim: str
    faults: tuple[Fault, ...]
    crashes: tuple[tuple[float, str], ...]


def make_plan(rng: random.Random) -> Plan:
    """Choose faults at random, and a pattern in most schedules.

    The patterns are those in which a removed safeguard shows; faults at
    random alone meet in such a way once in several hundred schedules.
    """
    victim = rng.choice(NODE_NAMES)
    faults = [_any_fault(rng) for _ in range(rng.randint(0, MAX_FAULTS))]
    crashes = [
        (FOCUS_S + rng.uniform(-1, 4), rng.choice(NODE_NAMES))
        for _ in range(rng.choice((0, 0, 1, 2)))
    ]
    pattern = rng.choice(('late append', 'unlogged', 'isolated', 'none'))
    if pattern == 'late append':
        faults = [
            _fault('log-slow', '', -2, 0),
            _fault('cut', victim, -0.3, 8),
        ]
    elif pattern == 'unlogged':
        faults = [_fault('log-down', '', -3, -0.5)]
        crashes = [(FOCUS_S - rng.uniform(0, 0.6), victim)]
    elif pattern == 'isolated':
        faults = [_fault('isolated', victim, -1, 6)]
    return Plan(victim, tuple(faults), tuple(crashes))


def _any_fault(rng: random.Random) -> Fault:
    start_s = rng.uniform(-2, 2)
    kind, subject = rng.choice((
        ('log-down', ''),
        ('log-slow', ''),
        ('log-loses-answers', ''),
        ('paused', rng.choice(NODE_NAMES)),
        ('cut', rng.choice(NODE_NAMES)),
        ('isolated', rng.choice(NODE_NAMES)),
    ))
    lasts_s = rng.choice((0.3, 1, 2, 4))
    return _fault(kind, subject, start_s, start_s + lasts_s)


def _fault(kind: str, subject: str, start_s: float, end_s: float) -> Fault:
    return Fault(kind, subject, FOCUS_S + start_s, FOCUS_S + end_s)


def run_schedule(seed: int) -> ScheduleResult:
    """Run one schedule and compare what ran with what was said."""
    rng = random.Random(seed)
    clock = Clock()
    plan = make_plan(rng)
    faults = Faults(clock, plan.faults)
    history = History(clock)
    callers = Callers(clock, history, rng)
    world = SimulationContext(
        clock=clock,
        faults=faults,
        log=FakeLog(clock, faults, rng),
        rng=rng,
        record_run=history.record_run,
        reply=callers.deliver_reply,
    )
    nodes = {name: DedupeNode(name, world) for name in NODE_NAMES}
    callers.nodes = nodes
    _schedule_owners(FakeOwnership(clock, faults, rng, nodes), plan)
    for _ in range(rng.randint(2, MAX_IDS)):
        callers.add_id(FOCUS_S + rng.uniform(-2, 3))
    clock.run_until(END_S)
    return _verdict(history)


def _schedule_owners(ownership: FakeOwnership, plan: Plan) -> None:
    rng = ownership.rng
    clock = ownership.clock
    for node in ownership.nodes.values():
        node.ownership = ownership
        node.start()
    for slot in range(USABLE_SLOTS):
        clock.after(0, ownership.claim, slot, plan.victim)
        for _ in range(rng.randint(1, MAX_TAKEOVERS)):
            at = FOCUS_S + rng.choice((0, rng.uniform(-1, 5)))
            clock.after(at, ownership.claim, slot, rng.choice(NODE_NAMES))
    for crash_at, name in plan.crashes:
        down_s = rng.choice((0.2, 3))
        clock.after(crash_at, ownership.nodes[name].crash, down_s)


def _verdict(history: History) -> ScheduleResult:
    outcomes = [
        getattr(getattr(told.result, 'refusal', None), 'outcome', None)
        for told in history.reported_results
    ]
    names = [outcome.value if outcome else 'answer' for outcome in outcomes]
    return ScheduleResult(
        violations=tuple(history.violations()),
        runs=sum(len(runs) for runs in history.runs.values()),
        answers=names.count('answer'),
        not_run=names.count('not-run'),
        unknown=names.count('unknown'),
    )
