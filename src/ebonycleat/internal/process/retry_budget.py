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


@dataclasses.dataclass(slots=True)
class ServiceBudget:
    """Retries that may be sent to one service now."""

    balance: float
    updated_at: float


class RetryBudget:
    """Budgets of all services that this node calls."""

    def __init__(self) -> None:
        """Start each service with the floor."""
        self.by_service: dict[str, ServiceBudget] = {}

    def note_success(self, service: str, now: float) -> None:
        """Earn a tenth of a retry."""
        budget = self.current(service, now)
        budget.balance = min(
            LARGEST_BALANCE,
            budget.balance + RETRIES_PER_SUCCESS,
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
            budget = ServiceBudget(FLOOR_BALANCE, now)
            self.by_service[service] = budget
        if budget.balance < FLOOR_BALANCE:
            earned = (now - budget.updated_at) * FLOOR_PER_S
            budget.balance = min(FLOOR_BALANCE, budget.balance + earned)
        budget.updated_at = now
        return budget
