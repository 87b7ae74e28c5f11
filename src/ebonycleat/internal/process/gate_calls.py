"""Calls at the gate of a mesh node, and what it refuses them with."""

import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.platform_interfaces import TargetProtocol
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.run_outcome import RunResult
from ebonycleat.internal.request.call import Call, CallResult
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

SHED_RETRY_AFTER_S = 0.2
"""Time after which a target that was full is asked again."""

ResultHandler: TypeAlias = Callable[[CallResult], None]


class GateCall(msgspec.Struct, frozen=True):
    """A call offered to the gate, with what its target is told.

    ``key_fingerprint`` is empty on routes open to all.
    """

    call: Call
    request_id: str
    host: str
    origin_service: str
    key_fingerprint: bytes


@dataclasses.dataclass(slots=True)
class HeldCall:
    """A call that waits here or runs at the target."""

    gate_call: GateCall
    on_result: ResultHandler
    send: InFlightRequest | None = None
    sent_at: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChannel:
    """A target, its connections, and how it speaks."""

    target: LocalTarget
    pool: ConnectionPool
    dialect: TargetProtocol


def run_result_of(failure: SendFailure) -> RunResult:
    if failure.kind is SendFailureKind.NOT_CONNECTED:
        return RunResult.TARGET_DIED
    return RunResult.FAILED


def refusal_of(failure: SendFailure) -> Refusal:
    reason = Reason.TARGET_FAILED
    if failure.kind is SendFailureKind.TRUNCATED:
        reason = Reason.TRUNCATED_ANSWER
    elif failure.kind is SendFailureKind.CANCELLED:
        reason = Reason.CANCELLED
    outcome = Outcome.UNKNOWN if failure.was_sent else Outcome.NOT_RUN
    if outcome is Outcome.NOT_RUN:
        return refuse_not_run(reason, failure.detail, SHED_RETRY_AFTER_S)
    return refuse_outcome_unknown(reason, failure.detail)


WRONG_SERVICE_REFUSAL = refuse_not_run(
    Reason.NO_TARGET,
    'this node serves another service',
)
TARGET_SHED_REFUSAL = refuse_not_run(
    Reason.TARGET_SHED,
    'the target was full',
    retry_after_s=SHED_RETRY_AFTER_S,
)
