"""Refusals: why a request got no response, and whether it may have run.

A caller needs two facts to decide about a retry: the reason of the refusal
and its outcome. Both are enumerations whose values appear in headers,
response bodies and metrics. One table maps each reason to its HTTP status,
so that all parts of a node report a refusal in the same way.
"""

import dataclasses
import enum
import types
from collections.abc import Mapping
from http import HTTPStatus


class Outcome(enum.Enum):
    """Whether a refused request may have had an effect.

    ``NOT_RUN`` is a guarantee that it had none; ``UNKNOWN`` means that it may
    have run.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(enum.Enum):
    """Why a request was refused; the value is sent to callers."""

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
    UNSENDABLE = 'unsendable'
    ELSEWHERE = 'elsewhere'
    EVACUATED = 'evacuated'
    NODE_FAILED = 'node-failed'


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
    Reason.UNSENDABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.ELSEWHERE: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.EVACUATED: HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.NODE_FAILED: HTTPStatus.BAD_GATEWAY,
})


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The result of a request that got no response from a target.

    ``detail`` is a message for people to read. ``retry_after_s`` tells the
    caller how many seconds to wait before a retry; zero gives no advice.
    ``zone`` is the availability zone that refused, so that a retry can go to
    another one; it is empty when the refusal has nothing to do with a zone.
    """

    reason: Reason
    outcome: Outcome
    detail: str = ''
    retry_after_s: float = 0
    zone: str = ''

    @property
    def http_status(self) -> HTTPStatus:
        """HTTP status of this refusal in the response to the caller."""
        return HTTP_STATUS_BY_REASON[self.reason]


def refuse_not_run(
    reason: Reason,
    detail: str = '',
    retry_after_s: float = 0,
    zone: str = '',
) -> Refusal:
    """Create a refusal that guarantees that the request did not run."""
    return Refusal(reason, Outcome.NOT_RUN, detail, retry_after_s, zone)


def refuse_outcome_unknown(
    reason: Reason,
    detail: str = '',
    zone: str = '',
) -> Refusal:
    """Create a refusal of a request that may have run."""
    return Refusal(reason, Outcome.UNKNOWN, detail, zone=zone)
