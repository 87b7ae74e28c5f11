"""Calls at the gate of a mesh node, and the refusals that they can get."""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.platform_interfaces import TargetProtocol
from ebonycleat.internal.process.local_target import (
    Incarnation,
    LocalTarget,
)
from ebonycleat.internal.process.run_outcome import RunResult
from ebonycleat.internal.request.call import Call, CallResult
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

GATE_RETRY_AFTER_S = 0.2
"""Retry-After in seconds of calls that were refused for a passing condition:
by the target as overloaded, before they were sent to it, or for an unconfirmed
key."""

ResultHandler: TypeAlias = Callable[[CallResult], None]


class GateCall(msgspec.Struct, frozen=True):
    """A call that is offered to the gate, with data for its target.

    ``request_id`` and ``host`` are the caller's. ``origin_service`` is the
    service of the node at which the call entered. ``key_fingerprint``
    identifies the caller's key; it is empty on routes that need no key.
    """

    call: Call
    request_id: str
    host: str
    origin_service: str
    key_fingerprint: bytes


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call that waits at the gate or runs at the target.

    ``in_flight``, ``sent_at``, ``incarnation`` of the target, its
    ``pace_when_sent`` and ``running_when_sent``, the number of calls at the
    target including this one, are set when the call is sent. A call that
    ``is_cancelled`` is not sent. ``has_start_token`` tells that it was counted for a target that may be cold.
    """

    gate_call: GateCall
    on_result: ResultHandler
    in_flight: InFlightRequest | None = None
    sent_at: float = 0
    incarnation: Incarnation | None = None
    running_when_sent: int = 0
    pace_when_sent: float = 1
    is_cancelled: bool = False
    has_start_token: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChannel:
    """A target, the connections to it, and its variant of HTTP."""

    target: LocalTarget
    pool: ConnectionPool
    protocol: TargetProtocol


def run_result_of(failure: SendFailure) -> RunResult:
    """Classify a failure to send a request for the concurrency limit."""
    if failure.kind is SendFailureKind.NOT_CONNECTED:
        return RunResult.TARGET_CRASHED
    return RunResult.FAILED


def refusal_of(failure: SendFailure) -> Refusal:
    """Translate a failure to send a request into the refusal of its call.

    The outcome is NOT_RUN only if nothing of the request was sent.
    """
    reason = Reason.TARGET_FAILED
    if failure.kind is SendFailureKind.TRUNCATED:
        reason = Reason.TRUNCATED_ANSWER
    elif failure.kind is SendFailureKind.CANCELLED:
        reason = Reason.CANCELLED
    outcome = Outcome.UNKNOWN if failure.was_sent else Outcome.NOT_RUN
    if outcome is Outcome.NOT_RUN:
        return refuse_not_run(reason, failure.detail, GATE_RETRY_AFTER_S)
    return refuse_outcome_unknown(reason, failure.detail)


WRONG_SERVICE_REFUSAL = refuse_not_run(
    Reason.NO_TARGET,
    'this node serves another service than the call is for; '
    'the sender has an outdated member record',
)
CANCELLED_REFUSAL = refuse_not_run(
    Reason.CANCELLED,
    'the caller disconnected before the request was sent',
)
COLD_TARGET_REFUSAL = refuse_not_run(
    Reason.NO_TARGET,
    'the target may have started anew before the request was sent',
    retry_after_s=GATE_RETRY_AFTER_S,
)
EVACUATED_REFUSAL = refuse_not_run(
    Reason.EVACUATED,
    'the zone was evacuated before the request was sent to the target',
    retry_after_s=GATE_RETRY_AFTER_S,
)
UNSENDABLE_REFUSAL = refuse_not_run(
    Reason.UNSENDABLE,
    'the request cannot be encoded as a request to the target',
)
TARGET_SHED_REFUSAL = refuse_not_run(
    Reason.TARGET_SHED,
    'the target refused the request because it was overloaded',
    retry_after_s=GATE_RETRY_AFTER_S,
)
