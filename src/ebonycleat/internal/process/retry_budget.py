"""Bounds the retries sent to a service by its recent successes.

The ledger bounds the retries of one request; when a service fails for all
requests, only a budget over all of them keeps retries from adding load.
"""

import dataclasses

RETRIES_PER_SUCCESS = 0.1
FLOOR_PER_S = 0.5
"""Lets a service with little traffic be retried at all."""

FLOOR_BALANCE = 3
LARGEST_BALANCE = 100
"""A calm hour must not save up a storm of retries."""

MAX_SERVICES = 4096

SLACK_PARTS = 4
"""A quarter of the slack may be saved up and a quarter earned in a window."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBounds:
    """How retries are earned and saved up at one node, for each service."""

    per_success: float = RETRIES_PER_SUCCESS
    floor_per_s: float = FLOOR_PER_S
    floor_balance: float = FLOOR_BALANCE
    largest_balance: float = LARGEST_BALANCE


def divide_retry_bounds(
    share: float,
    slack: float,
    window_s: float,
    node_count: int,
) -> RetryBounds:
    """Bounds of one node where a whole fleet may make so many repeats.

    In each window the fleet may repeat ``share`` of its requests and
    ``slack`` more. Half of both is used: the saved balances of all nodes
    count besides, and a target's repeated calls do so as well.
    """
    part = slack / max(1, node_count)
    balance = max(1.0, part / SLACK_PARTS)
    return RetryBounds(
        per_success=share / 2,
        floor_per_s=part / SLACK_PARTS / window_s,
        floor_balance=balance,
        largest_balance=balance,
    )


@dataclasses.dataclass(slots=True)
class ServiceBudget:
    """Retries that may be sent to one service now."""

    balance: float
    updated_at: float


class RetryBudget:
    """Budgets of all services that this node calls."""

    def __init__(self, bounds: RetryBounds | None = None) -> None:
        """Start each service with the floor."""
        self.bounds = bounds or RetryBounds()
        self.by_service: dict[str, ServiceBudget] = {}

    def note_success(self, service: str, now: float) -> None:
        """Earn a part of a retry."""
        budget = self.current(service, now)
        budget.balance = min(
            self.bounds.largest_balance,
            budget.balance + self.bounds.per_success,
        )

    def has_retry(self, service: str, now: float) -> bool:
        """Whether a retry could be taken."""
        return self.current(service, now).balance >= 1

    def take(self, service: str, now: float) -> bool:
        """Spend one retry; false when the budget is used up."""
        budget = self.current(service, now)
        if budget.balance < 1:
            return False
        budget.balance -= 1
        return True

    def current(self, service: str, now: float) -> ServiceBudget:
        """Budget of a service, with the floor earned up to now."""
        budget = self.by_service.get(service)
        if budget is None:
            if len(self.by_service) >= MAX_SERVICES:
                self.by_service.pop(next(iter(self.by_service)))
            budget = ServiceBudget(self.bounds.floor_balance, now)
            self.by_service[service] = budget
        if budget.balance < self.bounds.floor_balance:
            earned = (now - budget.updated_at) * self.bounds.floor_per_s
            budget.balance = min(
                self.bounds.floor_balance,
                budget.balance + earned,
            )
        budget.updated_at = now
        return budget
