"""Bounds the retries sent to a service by its recent successes.

The ledger bounds the retries of one request; when a service fails for all
requests, only a budget over all of them keeps retries from adding load.
"""

import dataclasses

RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_S = 0.5
"""Lets a service with little traffic be retried at all."""

MIN_BALANCE = 3
MAX_BALANCE = 100
"""A calm hour must not save up a storm of retries."""

MAX_SERVICES = 4096

SLACK_DIVISOR = 4
"""A quarter of the slack may be saved up and a quarter earned in a window."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """How retries are earned and saved up at one node, for each service."""

    retries_per_success: float = RETRIES_PER_SUCCESS
    min_retries_per_s: float = MIN_RETRIES_PER_S
    min_balance: float = MIN_BALANCE
    max_balance: float = MAX_BALANCE


def divide_retry_limits(
    share: float,
    slack: float,
    window_s: float,
    node_count: int,
) -> RetryBudgetLimits:
    """Bounds of one node where a whole fleet may make so many repeats.

    In each window the fleet may repeat ``share`` of its requests and
    ``slack`` more. Half of both is used: the saved balances of all nodes
    count besides, and a target's repeated calls do so as well.
    """
    part = slack / max(1, node_count)
    balance = max(1.0, part / SLACK_DIVISOR)
    return RetryBudgetLimits(
        retries_per_success=share / 2,
        min_retries_per_s=part / SLACK_DIVISOR / window_s,
        min_balance=balance,
        max_balance=balance,
    )


@dataclasses.dataclass(slots=True)
class ServiceBudget:
    """Retries that may be sent to one service now."""

    balance: float
    updated_at: float


class RetryBudget:
    """Budgets of all services that this node calls."""

    def __init__(self, limits: RetryBudgetLimits | None = None) -> None:
        """Start each service with the floor."""
        self.limits = limits or RetryBudgetLimits()
        self.by_service: dict[str, ServiceBudget] = {}

    def record_success(self, service: str, now: float) -> None:
        """Earn a part of a retry."""
        budget = self.current_budget(service, now)
        budget.balance = min(
            self.limits.max_balance,
            budget.balance + self.limits.retries_per_success,
        )

    def can_retry(self, service: str, now: float) -> bool:
        """Whether a retry could be taken."""
        return self.current_budget(service, now).balance >= 1

    def take_retry(self, service: str, now: float) -> bool:
        """Spend one retry; false when the budget is used up."""
        budget = self.current_budget(service, now)
        if budget.balance < 1:
            return False
        budget.balance -= 1
        return True

    def current_budget(self, service: str, now: float) -> ServiceBudget:
        """Budget of a service, with the floor earned up to now."""
        budget = self.by_service.get(service)
        if budget is None:
            if len(self.by_service) >= MAX_SERVICES:
                self.by_service.pop(next(iter(self.by_service)))
            budget = ServiceBudget(self.limits.min_balance, now)
            self.by_service[service] = budget
        if budget.balance < self.limits.min_balance:
            earned = (now - budget.updated_at) * self.limits.min_retries_per_s
            budget.balance = min(
                self.limits.min_balance,
                budget.balance + earned,
            )
        budget.updated_at = now
        return budget
