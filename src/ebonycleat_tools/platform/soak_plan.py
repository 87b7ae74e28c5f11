"""What a soak plays: its fleet, its load and the faults, drawn from a seed."""

import dataclasses
import enum
import random
from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta

from ebonycleat.internal.process.settings import PositiveInt


class FaultKind(enum.Enum):
    """What can happen to the processes of a soak."""

    KILL = 'kill'
    KILL_ALL = 'kill-all'
    PAUSE = 'pause'
    TERMINATE = 'terminate'
    RELOAD = 'reload'
    TARGET_RESET = 'target-reset'
    TARGET_LINK_SILENT = 'target-link-silent'
    TARGET_ANSWERS_CUT = 'target-answers-cut'
    STORE_DOWN = 'store-down'
    STORE_RESET = 'store-reset'
    STORE_SILENT = 'store-silent'
    STORE_SLOW = 'store-slow'
    STORE_ANSWERS_CUT = 'store-answers-cut'
    KEY_WITHDRAWN = 'key-withdrawn'
    CONFIGURATION_CHANGED = 'configuration-changed'


FLEET_WIDE_FAULTS = frozenset((
    FaultKind.KILL_ALL,
    FaultKind.STORE_DOWN,
    FaultKind.STORE_RESET,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_ANSWERS_CUT,
))
"""Faults after which no node is calm."""

SHORTEST_FAULT_S = 0.2
LONGEST_FAULT_S = 4.0
"""Spans shorter and longer than leases, links' silence and key bounds."""

REPEATABLE_SHARE = 0.6
LEAVING_SHARE = 0.05
"""Parts of the load that may be repeated, and whose callers give up."""

Duration = Annotated[
    float,
    Meta(ge=0, le=86400, description='seconds, 0 to 86400'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Settings of a soak; the same seed draws the same load and faults.

    Faults begin after ``calm_start_s`` and end before ``calm_end_s`` are
    left, so that the end shows whether everything recovers.
    """

    seed: Annotated[int, Meta(ge=0, description='a seed, 0 or more')] = 1
    duration_s: Duration = 30
    calm_start_s: Duration = 4
    calm_end_s: Duration = 14
    nodes: PositiveInt = 6
    zones: PositiveInt = 3
    slots: PositiveInt = 8
    faults: Annotated[int, Meta(ge=0, description='a count')] = 8
    requests_per_s: PositiveInt = 60
    work_ms: PositiveInt = 20
    folder: str = 'out/soak'
    report_file: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault; times are in seconds from the start of the load."""

    kind: FaultKind
    start_s: float
    duration_s: float
    node: int


def draw_faults(plan: SoakPlan) -> list[Fault]:
    """Faults of a plan in the order of their start; they may overlap."""
    rng = random.Random(f'faults/{plan.seed}')
    last_s = plan.duration_s - plan.calm_end_s - LONGEST_FAULT_S
    kinds = tuple(FaultKind)
    drawn = [
        Fault(
            rng.choice(kinds),
            rng.uniform(plan.calm_start_s, max(plan.calm_start_s, last_s)),
            rng.uniform(SHORTEST_FAULT_S, LONGEST_FAULT_S),
            rng.randrange(plan.nodes),
        )
        for _ in range(plan.faults)
    ]
    return sorted(drawn, key=lambda fault: fault.start_s)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request; ``cancel_after_s`` is set for a caller that gives up."""

    number: int
    at_s: float
    node: int
    is_idempotent: bool
    team: int
    cancel_after_s: float | None


def draw_requests(plan: SoakPlan, teams: int) -> Iterator[PlannedRequest]:
    """An open load with random gaps."""
    rng = random.Random(f'load/{plan.seed}')
    at_s: float = 0
    number = 0
    while True:
        at_s += rng.expovariate(plan.requests_per_s)
        if at_s >= plan.duration_s:
            return
        number += 1
        yield PlannedRequest(
            number,
            at_s,
            rng.randrange(plan.nodes),
            rng.random() < REPEATABLE_SHARE,
            rng.randrange(teams),
            rng.uniform(0, 0.1) if rng.random() < LEAVING_SHARE else None,
        )
