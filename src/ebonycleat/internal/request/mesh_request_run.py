"""One admitted request on its way through gates until its final answer.

A refusal by a gate has reached no target, so another gate may be tried at no
cost. A failure after a send may have begun is repeated only on idempotent
routes, within the route's attempts and the fleet's retry budget.
"""

import abc
import asyncio
import dataclasses
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.router import Router, PlacementRequest
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Answer, CallResult, RefusedCall
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

MAX_GATE_ATTEMPTS = 4
"""Gates that one request may be offered to; each costs a hop, and after so
many refusals the service is full or away."""

MAX_OVERLOAD_REFUSALS = 2
"""Gates that may refuse one request for load: more would make each refused
request cost as much as a served one."""

ANSWER_GRACE_S = 0.08
"""Time past the deadline in which a target's own late answer still counts:
targets answer at the deadline that they are given."""

MIN_RETRY_TIME_S = 0.02
"""Time that must be left for a repeat to make sense."""

OVERLOAD_REASONS = frozenset((
    Reason.SHED,
    Reason.QUEUE_FULL,
    Reason.TARGET_SHED,
    Reason.DEADLINE,
))

FINAL_REASONS = frozenset((
    Reason.WITHDRAWN_KEY,
    Reason.DEADLINE,
    Reason.CRASH_SUSPECT,
))


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt at a gate ended; no load: its node was not reached."""

    result: CallResult
    load: GateLoad | None


AttemptHandler: TypeAlias = Callable[[AttemptResult], None]


class GateClient(abc.ABC):
    """Reaches the gates of all nodes, and knows which there are.

    ``clock`` is in seconds; deadlines are on it.
    """

    clock: Callable[[], float]

    @abc.abstractmethod
    def members_of(self, service: str) -> tuple[Member, ...]:
        """Nodes whose targets serve the service."""

    @abc.abstractmethod
    def start_attempt(
        self,
        member: Member,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> Callable[[], None]:
        """Offer a request to a gate; returns how to cancel it."""


@dataclasses.dataclass(slots=True)
class Attempt:
    """The attempt that is under way."""

    member: Member
    started_at: float
    cancel: Callable[[], None] | None = None
    is_over: bool = False


class MeshRequestRun:
    """Tries gates until there is a final answer; reports it once."""

    def __init__(
        self,
        admitted: AdmittedRequest,
        access: GateClient,
        router: Router,
        budget: RetryBudget,
        on_load: Callable[[GateLoad], None],
        on_end: Callable[['MeshRequestRun', Answer | Refusal], None],
    ) -> None:
        """Prepare a run; ``start`` begins it."""
        self.admitted = admitted
        self.access = access
        self.router = router
        self.budget = budget
        self.on_load = on_load
        self.on_end = on_end
        self.clock = access.clock
        self.started_at = self.clock()
        self.timer: asyncio.TimerHandle | None = None
        self.attempt: Attempt | None = None
        self.tried_nodes: set[str] = set()
        self.overload_refusals = 0
        self.target_attempts = 0
        self.refusal: Refusal | None = None

    def start(self) -> None:
        """Begin with the first gate."""
        left_s = self.admitted.answer_deadline + ANSWER_GRACE_S - self.clock()
        self.timer = asyncio.get_running_loop().call_later(
            max(0, left_s),
            self.expire,
        )
        self.try_next_gate()

    def cancel(self) -> None:
        """Stop: the caller has left."""
        self.cancel_attempt()
        self.stop_timer()

    def expire(self) -> None:
        """Answer now: the time of the request is over."""
        had_attempt = self.attempt is not None
        self.cancel_attempt()
        detail = 'no answer within the time of the request'
        if had_attempt or self.target_attempts:
            self.finish(refuse_outcome_unknown(Reason.DEADLINE, detail))
        else:
            self.finish(refuse_not_run(Reason.DEADLINE, detail))

    def try_next_gate(self) -> None:
        """Offer the request to the best gate that is left."""
        now = self.clock()
        call = self.admitted.call
        chosen = self.router.choose(
            PlacementRequest(
                call,
                self.access.members_of(call.service),
                avoid_nodes=frozenset(self.tried_nodes),
            ),
            now,
        )
        if isinstance(chosen, Refusal):
            self.finish(self.refusal or chosen)
            return
        self.tried_nodes.add(chosen.node)
        self.router.record_sent(chosen, now)
        attempt = Attempt(chosen, now)
        self.attempt = attempt
        attempt.cancel = self.access.start_attempt(
            chosen,
            self.admitted,
            lambda ended: self.attempt_ended(attempt, ended),
        )

    def attempt_ended(self, attempt: Attempt, ended: AttemptResult) -> None:
        """Learn from an attempt's end, and finish or go on."""
        if attempt.is_over:
            return
        attempt.is_over = True
        self.attempt = None
        self.update_router(attempt, ended)
        result = ended.result
        if isinstance(result, Answer):
            self.budget.record_success(
                self.admitted.call.service,
                self.clock(),
            )
            self.finish(result)
        else:
            self.handle_refusal(result)

    def update_router(self, attempt: Attempt, ended: AttemptResult) -> None:
        """Let the router learn how its choice did."""
        now = self.clock()
        member = attempt.member
        load = ended.load
        if load is not None:
            self.on_load(load)
        if load is None:
            self.router.record_failure(member, False, now)
        elif isinstance(ended.result, Answer):
            latency_s = now - attempt.started_at
            self.router.record_answer(member, load, latency_s, now)
        elif ended.result.refusal.outcome is Outcome.NOT_RUN:
            self.router.record_refusal(member, load, now)
        else:
            self.router.record_failure(member, True, now)

    def handle_refusal(self, refused: RefusedCall) -> None:
        """Try another gate after a refusal, if that is allowed."""
        refusal = refused.refusal
        self.refusal = self.choose_refusal(refusal)
        has_run = refusal.outcome is Outcome.UNKNOWN
        if has_run or refusal.reason is Reason.TARGET_SHED:
            self.target_attempts += 1
        if refusal.reason in OVERLOAD_REASONS:
            self.overload_refusals += 1
        if self.can_retry(refusal):
            self.try_next_gate()
        else:
            self.finish(self.refusal)

    def choose_refusal(self, refusal: Refusal) -> Refusal:
        """Keep the refusal that says most truly what happened.

        Once a target may have run the request, no later refusal may claim
        that it has not run.
        """
        known = self.refusal
        if known is not None and known.outcome is Outcome.UNKNOWN:
            return known
        return refusal

    def can_retry(self, refusal: Refusal) -> bool:
        """Whether another gate may be tried now."""
        left_s = self.admitted.answer_deadline - self.clock()
        if left_s < MIN_RETRY_TIME_S or refusal.reason in FINAL_REASONS:
            return False
        if len(self.tried_nodes) >= MAX_GATE_ATTEMPTS:
            return False
        if self.overload_refusals >= MAX_OVERLOAD_REFUSALS:
            return False
        if refusal.outcome is Outcome.UNKNOWN and not self.is_idempotent():
            return False
        if not self.target_attempts:
            return True
        return self.take_retry()

    def take_retry(self) -> bool:
        """Take one repeat from the route's attempts and the fleet's budget."""
        if self.target_attempts >= self.admitted.attempts:
            return False
        service = self.admitted.call.service
        return self.budget.take_retry(service, self.clock())

    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.admitted.call.idempotent

    def cancel_attempt(self) -> None:
        """Cancel the attempt that is under way."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None or attempt.is_over:
            return
        attempt.is_over = True
        self.router.record_abandoned(attempt.member)
        if attempt.cancel is not None:
            attempt.cancel()

    def stop_timer(self) -> None:
        """Forget the deadline."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self, result: Answer | Refusal) -> None:
        """Report the final answer."""
        self.stop_timer()
        self.on_end(self, result)
