"""A history of the actions of a fleet, and checks of its guarantees.

The checks use only recorded actions in simulated time, never the counters of
the code under test.
"""

import dataclasses
import heapq
import operator
from collections.abc import Iterable

from ebonycleat.internal.process.ownership import SlotId

# Grants that were given under an older configuration stay valid for this time.
GRANT_LIFETIME_S = 1.02
ROUNDING = 1e-6

Budget = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """A node was able to use a slot at this time."""

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
    """A team's rate and burst over all zones, from the highest shares in use."""

    at: float
    team: str
    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, with the details to find it in the history."""

    at: float
    guarantee: str
    detail: str


@dataclasses.dataclass(slots=True)
class History:
    """The recorded actions, in the order in which they happened."""

    uses: list[SlotUse] = dataclasses.field(default_factory=list)
    admissions: list[Admission] = dataclasses.field(default_factory=list)
    budget_changes: list[BudgetChange] = dataclasses.field(default_factory=list)


def find_violations(history: History) -> list[Violation]:
    """Return the violations of both guarantees."""
    return find_shared_slots(history.uses) + find_excess_admissions(history)


def find_shared_slots(uses: list[SlotUse]) -> list[Violation]:
    """Find uses of a slot by a node after a later owner has used it.

    Epochs increase with each owner. Concurrent use by two nodes therefore
    shows as a decreasing epoch, or as two nodes at the same time.
    """
    violations = []
    latest: dict[SlotId, SlotUse] = {}
    for use in uses:
        before = latest.get(use.slot, use)
        is_same_time = before.at == use.at and before.node != use.node
        if use.epoch < before.epoch or is_same_time:
            detail = f'{use} after {before}'
            violations.append(Violation(use.at, 'one owner', detail))
        else:
            latest[use.slot] = use
    return violations


class FleetBucket:
    """A token bucket that checks rate x t + burst exactly, for every window.

    Admissions stay within the bound in every window if and only if a bucket
    that starts full and refills at the rate never falls below zero. It is full
    with the burst in force until the first admission, as the bucket of a
    team's first owner is.
    """

    def __init__(self, first: BudgetChange) -> None:
        """Start full."""
        self.rate_per_s = first.rate_per_s
        self.burst = first.burst
        self.level = first.burst
        self.at = first.at
        self.is_unused = True

    def advance(self, now: float) -> None:
        """Refill the bucket up to a time."""
        refill = self.rate_per_s * (now - self.at)
        self.level = min(self.burst, self.level + refill)
        self.at = now

    def change(self, change: BudgetChange) -> None:
        """Adopt another rate and burst."""
        self.advance(change.at)
        self.rate_per_s = change.rate_per_s
        self.burst = change.burst
        if self.is_unused:
            self.level = self.burst
        self.level = min(self.burst, self.level)

    def admit(self, now: float) -> None:
        """Take a token; the level is negative if there was none."""
        self.advance(now)
        self.is_unused = False
        self.level -= 1


def find_excess_admissions(history: History) -> list[Violation]:
    """Find admissions of the fleet that exceed their team's rate and burst."""
    buckets: dict[str, FleetBucket] = {}
    violations = []
    events: Iterable[BudgetChange | Admission] = heapq.merge(
        _delay_burst_reductions(history.budget_changes),
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
            bucket.admit(event.at)
            if bucket.level < -ROUNDING:
                detail = f'{event}, level {bucket.level:.3f}'
                violations.append(
                    Violation(event.at, 'rate x t + burst', detail),
                )
    return violations


def _delay_burst_reductions(
    budget_changes: list[BudgetChange],
) -> list[BudgetChange]:
    # The larger burst applies for the lifetime of a grant after a change.
    changes = []
    for budget in budget_changes:
        same_team = [
            other for other in budget_changes if other.team == budget.team
        ]
        for at in (budget.at, budget.at + GRANT_LIFETIME_S):
            changes.append(_budget_at(same_team, budget.team, at))
    return sorted(changes, key=lambda change: change.at)


def _budget_at(
    budget_changes: list[BudgetChange], team: str, at: float
) -> BudgetChange:
    current = [budget for budget in budget_changes if budget.at <= at][-1]
    recent = [
        budget.burst
        for budget, next_budget in zip(
            budget_changes, budget_changes[1:], strict=False
        )
        if budget.at <= at < next_budget.at + GRANT_LIFETIME_S
    ]
    burst = max([current.burst, *recent])
    return BudgetChange(at, team, current.rate_per_s, burst)
