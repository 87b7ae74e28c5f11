"""Plan of a soak test: its nodes, and load and faults drawn from a seed."""

import dataclasses
import enum
import random
from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta

from ebonycleat.internal.process.settings import PositiveInt


class FaultKind(enum.Enum):
    """Kinds of faults, and of other events, that a soak test injects."""

    KILL = 'kill'
    KILL_ALL = 'kill-all'
    PAUSE = 'pause'
    TERMINATE = 'terminate'
    RELOAD = 'reload'
    OVERLAPPING_SIGNALS = 'overlapping-signals'
    TARGET_RESET = 'target-reset'
    TARGET_LINK_SILENT = 'target-link-silent'
    TARGET_ANSWERS_CUT = 'target-answers-cut'
    TARGET_HEADS_ENDLESS = 'target-heads-endless'
    TARGET_BODIES_ENDLESS = 'target-bodies-endless'
    TARGET_UNANSWERED = 'target-unanswered'
    TARGET_REFUSALS_REPEATED = 'target-refusals-repeated'
    STORE_DOWN = 'store-down'
    STORE_RESET = 'store-reset'
    STORE_SILENT = 'store-silent'
    STORE_SLOW = 'store-slow'
    STORE_ANSWERS_CUT = 'store-answers-cut'
    STORE_RESTORED = 'store-restored'
    KEY_WITHDRAWN = 'key-withdrawn'
    CONFIGURATION_CHANGED = 'configuration-changed'
    ODD_ENTRIES = 'odd-entries'
    IDLE_CONNECTIONS = 'idle-connections'


FLEET_WIDE_FAULTS = frozenset((
    FaultKind.KILL_ALL,
    FaultKind.STORE_DOWN,
    FaultKind.STORE_RESET,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_ANSWERS_CUT,
    FaultKind.STORE_RESTORED,
))
"""Faults that affect all nodes."""

MIN_FAULT_S = 0.2
MAX_FAULT_S = 4.0
"""The range includes faults that are shorter and faults that are longer than
the leases, the time without messages after which a connection counts as lost,
and the time limits of withdrawn keys."""

IDEMPOTENT_SHARE = 0.6
CANCELLED_SHARE = 0.05
"""Shares of the requests that are idempotent, and that the caller cancels."""

UPLOAD_SHARE = 0.3
MAX_UPLOAD_BYTES = 60_000
"""Share of the requests that are not idempotent that are uploads, and their
largest size."""

Duration = Annotated[
    float,
    Meta(ge=0, le=86400, description='seconds, 0 to 86400'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SoakPlan:
    """Settings of a soak test; the same seed gives the same load and faults.

    No fault begins in the first ``calm_start_s`` or lasts into the last
    ``calm_end_s`` seconds, so that the end shows whether the nodes recover.
    """

    seed: Annotated[int, Meta(ge=0, description='a seed, 0 or more')] = 1
    duration_s: Duration = 30
    calm_start_s: Duration = 4
    calm_end_s: Duration = 14
    nodes: PositiveInt = 6
    zones: PositiveInt = 3
    slots: PositiveInt = 8
    faults: Annotated[
        int, Meta(ge=0, description='a whole number, 0 or more')
    ] = 8
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
    """Return the faults of a plan in order of their start; they may overlap."""
    rng = random.Random(f'faults/{plan.seed}')
    latest_start_s = plan.duration_s - plan.calm_end_s - MAX_FAULT_S
    kinds = tuple(FaultKind)
    faults = [
        Fault(
            rng.choice(kinds),
            rng.uniform(
                plan.calm_start_s, max(plan.calm_start_s, latest_start_s)
            ),
            rng.uniform(MIN_FAULT_S, MAX_FAULT_S),
            rng.randrange(plan.nodes),
        )
        for _ in range(plan.faults)
    ]
    return sorted(faults, key=lambda fault: fault.start_s)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request; ``cancel_after_s`` is set if its caller cancels it.

    ``upload_bytes`` is the size of an upload, 0 for any other request.
    """

    number: int
    at_s: float
    node: int
    is_idempotent: bool
    team: int
    cancel_after_s: float | None
    upload_bytes: int = 0

    @property
    def kind(self) -> str:
        """The first part of the request's path, which names its route."""
        if self.is_idempotent:
            return 'fetch'
        return 'import' if self.upload_bytes else 'renew'


def draw_requests(plan: SoakPlan, team_count: int) -> Iterator[PlannedRequest]:
    """Yield the requests of an open-loop load with random gaps between them."""
    rng = random.Random(f'load/{plan.seed}')
    at_s: float = 0
    number = 0
    while True:
        at_s += rng.expovariate(plan.requests_per_s)
        if at_s >= plan.duration_s:
            return
        number += 1
        is_idempotent = rng.random() < IDEMPOTENT_SHARE
        is_upload = not is_idempotent and rng.random() < UPLOAD_SHARE
        yield PlannedRequest(
            number,
            at_s,
            rng.randrange(plan.nodes),
            is_idempotent,
            rng.randrange(team_count),
            rng.uniform(0, 0.1) if rng.random() < CANCELLED_SHARE else None,
            rng.randint(1, MAX_UPLOAD_BYTES) if is_upload else 0,
        )
