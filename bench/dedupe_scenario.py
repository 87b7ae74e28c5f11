"""One seeded adversarial schedule over the dedupe decisions of a fleet."""

import dataclasses
import random

from bench.dedupe_callers import USABLE_SLOTS, Callers, History
from bench.dedupe_node import FleetNode, Surroundings
from bench.dedupe_ownership import FakeOwnership
from bench.dedupe_world import Clock, FakeLog, Fault, Faults

NODE_NAMES = ('a', 'b', 'c')

# Faults, takeovers and new ids crowd around this time; spread evenly they
# hardly ever meet, and a missing safeguard went unseen for 1,000 schedules.
FOCUS_S = 4

END_S = 16

MAX_IDS = 6

MAX_FAULTS = 4

MAX_TAKEOVERS = 3


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What one schedule showed."""

    violations: tuple[str, ...]
    runs: int
    answers: int
    not_run: int
    unknown: int


def plan_faults(rng: random.Random) -> tuple[Fault, ...]:
    """Choose faults of the log and of single nodes."""
    faults = []
    for _ in range(rng.randint(0, MAX_FAULTS)):
        start = FOCUS_S + rng.uniform(-2, 2)
        kind, subject = rng.choice((
            ('log-down', ''),
            ('log-slow', ''),
            ('log-loses-answers', ''),
            ('paused', rng.choice(NODE_NAMES)),
            ('cut', rng.choice(NODE_NAMES)),
            ('isolated', rng.choice(NODE_NAMES)),
        ))
        lasts_s = rng.choice((0.3, 1, 2, 4))
        faults.append(Fault(kind, subject, start, start + lasts_s))
    return tuple(faults)


def run_schedule(seed: int) -> Verdict:
    """Run one schedule and compare what ran with what was said."""
    rng = random.Random(seed)
    clock = Clock()
    faults = Faults(clock, plan_faults(rng))
    history = History(clock)
    callers = Callers(clock, history, rng)
    world = Surroundings(
        clock=clock,
        faults=faults,
        log=FakeLog(clock, faults, rng),
        rng=rng,
        record_run=history.record_run,
        reply=callers.reply,
    )
    nodes = {name: FleetNode(name, world) for name in NODE_NAMES}
    callers.nodes = nodes
    _schedule_owners(FakeOwnership(clock, faults, rng, nodes))
    for _ in range(rng.randint(2, MAX_IDS)):
        callers.add_id(FOCUS_S + rng.uniform(-2, 3))
    clock.run_until(END_S)
    return _verdict(history)


def _schedule_owners(ownership: FakeOwnership) -> None:
    rng = ownership.rng
    clock = ownership.clock
    for node in ownership.nodes.values():
        node.ownership = ownership
        node.start()
    for slot in range(USABLE_SLOTS):
        clock.after(0, ownership.claim, slot, rng.choice(NODE_NAMES))
        for _ in range(rng.randint(0, MAX_TAKEOVERS)):
            at = FOCUS_S + rng.uniform(-1, 5)
            clock.after(at, ownership.claim, slot, rng.choice(NODE_NAMES))
    for _ in range(rng.choice((0, 0, 1, 2))):
        at = FOCUS_S + rng.uniform(-1, 4)
        victim = ownership.nodes[rng.choice(NODE_NAMES)]
        clock.after(at, victim.crash, rng.choice((0.2, 3)))


def _verdict(history: History) -> Verdict:
    outcomes = [
        getattr(getattr(told.result, 'refusal', None), 'outcome', None)
        for told in history.told
    ]
    names = [outcome.value if outcome else 'answer' for outcome in outcomes]
    return Verdict(
        violations=tuple(history.violations()),
        runs=sum(len(runs) for runs in history.runs.values()),
        answers=names.count('answer'),
        not_run=names.count('not-run'),
        unknown=names.count('unknown'),
    )
