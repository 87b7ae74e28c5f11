"""Refusals tell the caller why, and whether the request can have run.

Callers decide on a retry from two facts alone: the reason and the outcome.
Both are enumerations with one table, so that code, documents and metrics
cannot disagree about them.
"""

import dataclasses
import enum
import types
from collections.abc import Mapping
from http import HTTPStatus


class Outcome(enum.Enum):
    """Whether a refused request can have had an effect."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request was refused; the value is the machine-readable name."""

    BAD_REQUEST = 'bad-request'
    NO_ROUTE = 'no-route'
    MISSING_KEY = 'missing-key'
    UNKNOWN_KEY = 'unknown-key'
    WITHDRAWN_KEY = 'withdrawn-key'
    MISSING_IDEMPOTENCY_KEY = 'missing-idempotency-key'
    OVER_RATE = 'over-rate'
    BUDGET_UNAVAILABLE = 'budget-unavailable'
    SHED = 'shed'
    QUEUE_FULL = 'queue-full'
    NODE_SATURATED = 'node-saturated'
    DEADLINE = 'deadline'
    CANCELLED = 'cancelled'
    DRAINING = 'draining'
    NO_TARGET = 'no-target'
    NO_CONFIGURATION = 'no-configuration'
    STALE_CONFIGURATION = 'stale-configuration'
    DEDUPE_UNAVAILABLE = 'dedupe-unavailable'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    TARGET_FAILED = 'target-failed'
    TARGET_SHED = 'target-shed'
    DEPENDENCY_FAILED = 'dependency-failed'
    TRUNCATED_ANSWER = 'truncated-answer'
    CONNECTION_LOST = 'connection-lost'
    CRASH_SUSPECT = 'crash-suspect'


HTTP_STATUS_BY_REASON: Mapping[Reason, HTTPStatus] = types.MappingProxyType({
    Reason.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    Reason.NO_ROUTE: HTTPStatus.NOT_FOUND,
    Reason.MISSING_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.WITHDRAWN_KEY: HTTPStatus.UNAUTHORIZED,
    Reason.MISSING_IDEMPOTENCY_KEY: HTTPStatus.BAD_REQUEST,
    Reason.OVER_RATE: HTTPStatus.TOO_MANY_REQUESTS,
    Reason.BUDGET_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.SHED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.QUEUE_FULL: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NODE_SATURATED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    Reason.CANCELLED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DRAINING: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_TARGET: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NO_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.STALE_CONFIGURATION: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEDUPE_UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    Reason.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.TARGET_SHED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.DEPENDENCY_FAILED: HTTPStatus.BAD_GATEWAY,
    Reason.TRUNCATED_ANSWER: HTTPStatus.BAD_GATEWAY,
    Reason.CONNECTION_LOST: HTTPStatus.BAD_GATEWAY,
    Reason.CRASH_SUSPECT: HTTPStatus.SERVICE_UNAVAILABLE,
})


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that got no answer from a target.

    ``retry_after_s`` is in seconds; zero means that no advice is given.
    ``zone`` names the zone that refused, so that a retry can avoid it.
    """

    reason: Reason
    outcome: Outcome
    detail: str = ''
    retry_after_s: float = 0
    zone: str = ''

    @property
    def http_status(self) -> HTTPStatus:
        """Status code that callers see for this refusal."""
        return HTTP_STATUS_BY_REASON[self.reason]


def refuse_not_run(
    reason: Reason,
    detail: str = '',
    retry_after_s: float = 0,
    zone: str = '',
) -> Refusal:
    """Refuse a request that certainly had no effect."""
    return Refusal(reason, Outcome.NOT_RUN, detail, retry_after_s, zone)


def refuse_outcome_unknown(
    reason: Reason,
    detail: str = '',
    zone: str = '',
) -> Refusal:
    """Refuse a request that may have had an effect."""
    return Refusal(reason, Outcome.UNKNOWN, detail, zone=zone)
