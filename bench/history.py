"""What a fleet did, and whether that was allowed.

The checks look only at recorded actions in true time, never at counters of
the code under test.
"""

import dataclasses
import heapq
import operator
from collections.abc import Iterable

from ebonycleat.internal.process.ownership import SlotId

# Grants that were given under an older configuration live for so long.
GRANT_TAIL_S = 1.02
ROUNDING = 1e-6

Part = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """A node could have used a slot at this moment."""

    at: float
    slot: SlotId
    node: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A call of a team was sent to its target."""

    at: float
    team: str
    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetChange:
    """A team's rate and burst over all zones, from the highest part in use."""

    at: float
    team: str
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise, with enough to find it in the history."""

    at: float
    guarantee: str
    detail: str


@dataclasses.dataclass(slots=True)
class History:
    """Actions in the order in which they happened."""

    uses: list[SlotUse] = dataclasses.field(default_factory=list)
    admissions: list[Admission] = dataclasses.field(default_factory=list)
    budget_changes: list[BudgetChange] = dataclasses.field(default_factory=list)


def find_violations(history: History) -> list[Violation]:
    """Check both promises; an empty list means that they were kept."""
    return find_shared_slots(history.uses) + find_excess_admissions(history)


def find_shared_slots(uses: list[SlotUse]) -> list[Violation]:
    """Find uses of a slot by a node after a later owner has used it.

    Epochs grow with each owner, so uses by two nodes at a time show as an
    epoch that goes down, or as one moment with two nodes.
    """
    violations = []
    latest: dict[SlotId, SlotUse] = {}
    for use in uses:
        before = latest.get(use.slot, use)
        same_moment = before.at == use.at and before.node != use.node
        if use.epoch < before.epoch or same_moment:
            detail = f'{use} after {before}'
            violations.append(Violation(use.at, 'one owner', detail))
        else:
            latest[use.slot] = use
    return violations


class FleetBucket:
    """The exact test of rate x t + burst over every window.

    Admissions fit into every window if and only if a bucket that starts full
    and refills at the rate never runs below zero.
    """

    def __init__(self, first: BudgetChange) -> None:
        """Start full."""
        self.rate_per_s = first.rate_per_s
        self.burst = first.burst
        self.level = first.burst
        self.at = first.at

    def advance(self, now: float) -> None:
        """Refill up to a moment."""
        refill = self.rate_per_s * (now - self.at)
        self.level = min(self.burst, self.level + refill)
        self.at = now

    def change(self, change: BudgetChange) -> None:
        """Adopt another rate and burst."""
        self.advance(change.at)
        self.rate_per_s = change.rate_per_s
        self.burst = change.burst
        self.level = min(self.burst, self.level)


def find_excess_admissions(history: History) -> list[Violation]:
    """Run one bucket per team over all admissions of the fleet."""
    buckets: dict[str, FleetBucket] = {}
    violations = []
    events: Iterable[BudgetChange | Admission] = heapq.merge(
        _delay_lowered_bursts(history.budget_changes),
        history.admissions,
        key=operator.attrgetter('at'),
    )
    for event in events:
        bucket = buckets.get(event.team)
        if isinstance(event, BudgetChange):
            if bucket is None:
                buckets[event.team] = FleetBucket(event)
            else:
                bucket.change(event)
        elif bucket is not None:
            bucket.advance(event.at)
            bucket.level -= 1
            if bucket.level < -ROUNDING:
                detail = f'{event}, level {bucket.level:.3f}'
                violations.append(
                    Violation(event.at, 'rate x t + burst', detail),
                )
    return violations


def _delay_lowered_bursts(parts: list[BudgetChange]) -> list[BudgetChange]:
    # For the lifetime of a grant the larger of the bursts counts.
    changes = []
    for part in parts:
        same_team = [other for other in parts if other.team == part.team]
        for moment in (part.at, part.at + GRANT_TAIL_S):
            changes.append(_part_at(same_team, part.team, moment))
    return sorted(changes, key=lambda change: change.at)


def _part_at(
    parts: list[BudgetChange], team: str, moment: float
) -> BudgetChange:
    current = [part for part in parts if part.at <= moment][-1]
    recent = [
        part.burst
        for part, following in zip(parts, parts[1:], strict=False)
        if part.at <= moment < following.at + GRANT_TAIL_S
    ]
    burst = max([current.burst, *recent])
    return BudgetChange(moment, team, current.rate_per_s, burst)
