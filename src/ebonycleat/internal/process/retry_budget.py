"""Limits the retries that a node sends to a service by its successes.

The retry ledger limits the retries of one request. When a service fails for
all requests, only a budget over all of them keeps retries from adding load.
"""

import dataclasses

RETRIES_PER_SUCCESS = 0.1
MIN_RETRIES_PER_S = 0.5
"""Allows retries to a service with little traffic, too."""

MIN_BALANCE = 3
MAX_BALANCE = 100
"""Limits the retries that are saved up while a service does not fail, and so
the burst of retries that can follow."""

MAX_SERVICES = 4096

SLACK_DIVISOR = 4
"""A node's slack divided by this is the most that it may save up (at least 1
retry), and also what it earns per window without any success."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetLimits:
    """How retries to each service are earned and saved up at one node.

    Each success earns ``retries_per_success``. A balance below
    ``min_balance`` grows by ``min_retries_per_s``; it never exceeds
    ``max_balance``.
    """

    retries_per_success: float = RETRIES_PER_SUCCESS
    min_retries_per_s: float = MIN_RETRIES_PER_S
    min_balance: float = MIN_BALANCE
    max_balance: float = MAX_BALANCE


def divide_retry_limits(
    retry_ratio: float,
    slack: float,
    window_s: float,
    node_count: int,
) -> RetryBudgetLimits:
    """Return one node's limits so that its fleet keeps to a total.

    In each window of ``window_s`` seconds, the fleet may retry the fraction
    ``retry_ratio`` of its requests and ``slack`` more. Only half of both is
    given out, because the saved balances of all nodes and the retries of
    targets' calls count as well.
    """
    node_slack = slack / max(1, node_count)
    balance = max(1.0, node_slack / SLACK_DIVISOR)
    return RetryBudgetLimits(
        retries_per_success=retry_ratio / 2,
        min_retries_per_s=node_slack / SLACK_DIVISOR / window_s,
        min_balance=balance,
        max_balance=balance,
    )


@dataclasses.dataclass(slots=True)
class ServiceBudget:
    """Balance of the retries that may be sent to one service."""

    balance: float
    updated_at: float


class RetryBudget:
    """Retry budgets of all services that this node calls."""

    def __init__(self, limits: RetryBudgetLimits | None = None) -> None:
        """Start each service with the balance ``limits.min_balance``."""
        self.limits = limits or RetryBudgetLimits()
        self.by_service: dict[str, ServiceBudget] = {}

    def record_success(self, service: str, now: float) -> None:
        """Add what one success earns to the service's balance."""
        budget = self.current_budget(service, now)
        budget.balance = min(
            self.limits.max_balance,
            budget.balance + self.limits.retries_per_success,
        )

    def can_retry(self, service: str, now: float) -> bool:
        """Tell whether the service's balance suffices for one retry."""
        return self.current_budget(service, now).balance >= 1

    def take_retry(self, service: str, now: float) -> bool:
        """Take one retry; return false if the balance does not suffice."""
        budget = self.current_budget(service, now)
        if budget.balance < 1:
            return False
        budget.balance -= 1
        return True

    def current_budget(self, service: str, now: float) -> ServiceBudget:
        """Return a service's budget, including what time has earned it."""
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
