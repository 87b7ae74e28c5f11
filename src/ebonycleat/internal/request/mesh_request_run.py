"""Offers one admitted request to gates until it has a final answer.

A request that a gate refused has not reached a target, so it may be offered to
another gate without counting as a retry. A request that may have been sent to
a target is retried only on idempotent routes, within the attempts of the route
and the retry budget of the fleet.

The first gate may hand a request back for another target instead of letting it
wait. That happens once; if no other target is left, the request goes back to
that gate and waits there.
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
from ebonycleat.internal.process.router import PlacementRequest, Router
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
"""How many gates one request may be offered to. Each offer costs a hop, and
after this many refusals the service is overloaded or unavailable."""

MAX_OVERLOAD_REFUSALS = 2
"""How many gates may refuse one request as overloaded. With more, each
refused request would cost as much as a served one."""

ANSWER_GRACE_S = 0.08
"""Time after the deadline in which a target's answer is still accepted, because
targets may answer right at the deadline that they are given."""

MIN_RETRY_TIME_S = 0.02
"""Time that must be left for another attempt to make sense."""

OVERLOAD_REASONS = frozenset((
    Reason.SHED,
    Reason.QUEUE_FULL,
    Reason.TARGET_SHED,
    Reason.DEADLINE,
))
"""Reasons that count towards ``MAX_OVERLOAD_REFUSALS``."""

FINAL_REASONS = frozenset((
    Reason.WITHDRAWN_KEY,
    Reason.DEADLINE,
    Reason.CRASH_SUSPECT,
    Reason.UNSENDABLE,
))
"""Reasons after which no other gate is tried."""


class AttemptResult(msgspec.Struct, frozen=True):
    """How an attempt at a gate ended.

    ``load`` is None if the gate's node was not reached.
    """

    result: CallResult
    load: GateLoad | None


AttemptHandler: TypeAlias = Callable[[AttemptResult], None]


class OpenAttempt(abc.ABC):
    """An attempt at a gate, until its result is reported."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Give up the attempt; nobody needs its result any more."""

    @abc.abstractmethod
    def withdraw(self) -> None:
        """Take the request back if it waits; its result is still reported.

        A request that runs goes on.
        """


class GateClient(abc.ABC):
    """Offers requests to the gates of all nodes.

    ``clock`` is the clock in seconds that deadlines refer to.
    """

    clock: Callable[[], float]

    @abc.abstractmethod
    def members_of(self, service: str) -> tuple[Member, ...]:
        """Return the members whose targets run the service."""

    @abc.abstractmethod
    def start_attempt(
        self,
        member: Member,
        admitted: AdmittedRequest,
        on_result: AttemptHandler,
    ) -> OpenAttempt:
        """Offer a request to the gate of a member.

        ``on_result`` gets the one result.
        """


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt at one gate; ``at_gate`` is set while it has no result.

    ``has_move`` is true if the gate may hand the request back.
    """

    member: Member
    started_at: float
    has_move: bool = False
    at_gate: OpenAttempt | None = None
    is_over: bool = False


@dataclasses.dataclass(slots=True)
class HandBack:
    """The gate of ``member`` handed the request back.

    The request ``can_return`` to that gate once.
    """

    member: Member
    can_return: bool = True


class MeshRequestRun:
    """Offers a request to gates until it has a final answer.

    ``target_attempts`` counts the attempts that may have reached a target,
    ``overload_refusals`` those that were refused for overload. ``refusal`` is
    the refusal that the caller would get now. ``hand_back`` is set once a gate
    has handed the request back. ``withdrawal`` is set once no further attempt
    may be made. ``evacuated_zones`` are those in which a gate
    refused the request because its zone is evacuated.
    """

    def __init__(
        self,
        admitted: AdmittedRequest,
        gate_client: GateClient,
        router: Router,
        budget: RetryBudget,
        on_load: Callable[[GateLoad], None],
        on_end: Callable[['MeshRequestRun', Answer | Refusal], None],
    ) -> None:
        """Prepare the run; ``start`` makes the first attempt.

        ``on_load`` gets each load that comes with a result, and ``on_end``
        the final answer or refusal, unless the run is cancelled.
        """
        self.admitted = admitted
        self.gate_client = gate_client
        self.router = router
        self.budget = budget
        self.on_load = on_load
        self.on_end = on_end
        self.started_at = self.clock()
        self.timer: asyncio.TimerHandle | None = None
        self.attempt: Attempt | None = None
        self.tried_nodes: set[str] = set()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.overload_refusals = 0
        self.target_attempts = 0
        self.refusal: Refusal | None = None
        self.hand_back: HandBack | None = None
        self.withdrawal: Refusal | None = None

    @property
    def clock(self) -> Callable[[], float]:
        """The clock in seconds that deadlines refer to."""
        return self.gate_client.clock

    @property
    def moved_from(self) -> str:
        """The node whose gate handed the request back, empty if none did."""
        return '' if self.hand_back is None else self.hand_back.member.node

    def start(self) -> None:
        """Make the first attempt, and start the timer of the deadline."""
        time_left_s = (
            self.admitted.answer_deadline + ANSWER_GRACE_S - self.clock()
        )
        self.timer = asyncio.get_running_loop().call_later(
            max(0, time_left_s),
            self.expire,
        )
        self.try_next_gate()

    def cancel(self) -> None:
        """End the run without an answer: the caller has disconnected."""
        self.cancel_attempt()
        self.stop_timer()

    def withdraw(self, refusal: Refusal) -> None:
        """Make no further attempt, and take the request back if it waits.

        The caller gets ``refusal`` if the request has not run.
        """
        if self.withdrawal:
            return
        self.withdrawal = refusal
        if self.attempt and self.attempt.at_gate:
            self.attempt.at_gate.withdraw()

    def expire(self) -> None:
        """Refuse the request, because its deadline has passed."""
        had_attempt = self.attempt is not None
        self.cancel_attempt()
        detail = 'the deadline of the request passed before an answer came'
        if had_attempt or self.target_attempts:
            self.finish(refuse_outcome_unknown(Reason.DEADLINE, detail))
        else:
            self.finish(refuse_not_run(Reason.DEADLINE, detail))

    def try_next_gate(self) -> None:
        """Offer the request to the best gate that was not tried yet."""
        now = self.clock()
        call = self.admitted.call
        placement = PlacementRequest(
            call,
            self.gate_client.members_of(call.service),
            avoid_zones=self.evacuated_zones,
            avoid_nodes=frozenset(self.tried_nodes),
        )
        chosen = self.router.choose(placement, now)
        if isinstance(chosen, Refusal):
            if self.hand_back is None or not self.hand_back.can_return:
                self.finish(self.refusal or chosen)
                return
            chosen = self.hand_back.member
            self.hand_back.can_return = False
        if call.moves_left and not self.may_move(placement, chosen, now):
            self.admitted = without_moves(self.admitted)
        self.tried_nodes.add(chosen.node)
        self.router.record_sent(chosen, now)
        self.offer(chosen, now)

    def may_move(
        self, placement: PlacementRequest, chosen: Member, now: float
    ) -> bool:
        """Tell whether the gate of this offer may hand the request back.

        Only the first offer has a move, and only if another target is expected
        to start the request in time.
        """
        if self.tried_nodes:
            return False
        return self.router.may_start_elsewhere(placement, chosen, now)

    def offer(self, chosen: Member, now: float) -> None:
        """Offer the request to the gate of the chosen member."""
        has_move = bool(self.admitted.call.moves_left)
        attempt = Attempt(chosen, now, has_move)
        self.attempt = attempt
        at_gate = self.gate_client.start_attempt(
            chosen,
            self.admitted,
            lambda attempt_result: self.handle_attempt_result(
                attempt, attempt_result
            ),
        )
        if not attempt.is_over:
            attempt.at_gate = at_gate

    def handle_attempt_result(
        self, attempt: Attempt, attempt_result: AttemptResult
    ) -> None:
        """Handle the result of an attempt; a second one is ignored."""
        if attempt.is_over:
            return
        attempt.is_over = True
        # The attempt at the gate refers to this one, and to the body.
        attempt.at_gate = None
        self.attempt = None
        self.update_router(attempt, attempt_result)
        result = attempt_result.result
        if is_evacuated(result):
            self.evacuated_zones |= {attempt.member.zone}
        if isinstance(result, Answer):
            self.budget.record_success(
                self.admitted.call.service,
                self.clock(),
            )
            self.finish(result)
        else:
            if is_handed_back(attempt, result.refusal):
                self.hand_back = HandBack(attempt.member)
            self.handle_refusal(result)

    def update_router(
        self, attempt: Attempt, attempt_result: AttemptResult
    ) -> None:
        """Record the result of an attempt with the router."""
        now = self.clock()
        member = attempt.member
        load = attempt_result.load
        if load is not None:
            self.on_load(load)
        if load is None:
            self.router.record_failure(member, False, now)
        elif isinstance(attempt_result.result, Answer):
            latency_s = now - attempt.started_at
            self.router.record_answer(
                member, load, latency_s, now, self.admitted.call.route
            )
        elif attempt_result.result.refusal.outcome is Outcome.NOT_RUN:
            self.router.record_refusal(member, load, now)
        else:
            self.router.record_failure(member, True, now)

    def handle_refusal(self, refused: RefusedCall) -> None:
        """Make another attempt after a refusal if allowed, else finish."""
        refusal = refused.refusal
        self.refusal = self.choose_refusal(refusal)
        may_have_run = refusal.outcome is Outcome.UNKNOWN
        if may_have_run or refusal.reason is Reason.TARGET_SHED:
            self.target_attempts += 1
        if refusal.reason in OVERLOAD_REASONS:
            self.overload_refusals += 1
        if self.withdrawal:
            self.finish(self.choose_refusal(self.withdrawal))
        elif self.reserve_next_attempt(refusal):
            self.try_next_gate()
        else:
            self.finish(self.refusal)

    def choose_refusal(self, refusal: Refusal) -> Refusal:
        """Return the refusal that the caller gets if no attempt follows.

        Once a target may have run the request, no later refusal may say that
        it has not run.
        """
        previous = self.refusal
        if previous is not None and previous.outcome is Outcome.UNKNOWN:
            return previous
        return refusal

    def reserve_next_attempt(self, refusal: Refusal) -> bool:
        """Tell whether another gate may be tried; take a retry if needed."""
        time_left_s = self.admitted.answer_deadline - self.clock()
        if time_left_s < MIN_RETRY_TIME_S or refusal.reason in FINAL_REASONS:
            return False
        # A move costs no attempt: the gate would have kept the request.
        max_offers = MAX_GATE_ATTEMPTS + (self.hand_back is not None)
        offers = len(self.tried_nodes) - len(self.evacuated_zones)
        if offers >= max_offers:
            return False
        if refusal.reason is Reason.EVACUATED:
            # A retry that was taken for this attempt is still unused.
            return True
        if self.overload_refusals >= MAX_OVERLOAD_REFUSALS:
            return False
        if refusal.outcome is Outcome.UNKNOWN and not self.is_idempotent():
            return False
        if not self.target_attempts:
            return True
        return self.take_retry()

    def take_retry(self) -> bool:
        """Take one retry, if the route's attempts and the budget allow it."""
        if self.target_attempts >= self.admitted.attempts:
            return False
        service = self.admitted.call.service
        return self.budget.take_retry(service, self.clock())

    def is_idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.admitted.call.idempotent

    def cancel_attempt(self) -> None:
        """Cancel the current attempt, if there is one."""
        attempt = self.attempt
        self.attempt = None
        if attempt is None or attempt.is_over:
            return
        attempt.is_over = True
        self.router.record_abandoned(attempt.member)
        at_gate = attempt.at_gate
        attempt.at_gate = None
        if at_gate is not None:
            at_gate.cancel()

    def stop_timer(self) -> None:
        """Cancel the timer of the deadline."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def finish(self, result: Answer | Refusal) -> None:
        """Report the final answer or refusal."""
        self.stop_timer()
        self.on_end(self, result)


def is_handed_back(attempt: Attempt, refusal: Refusal) -> bool:
    """Tell whether a gate has used the move that its offer had."""
    if not attempt.has_move or refusal.reason is not Reason.ELSEWHERE:
        return False
    return refusal.outcome is Outcome.NOT_RUN


def without_moves(admitted: AdmittedRequest) -> AdmittedRequest:
    """Return a request that its next gate keeps."""
    return msgspec.structs.replace(
        admitted, call=msgspec.structs.replace(admitted.call, moves_left=0)
    )


def is_evacuated(result: CallResult) -> bool:
    """Tell whether a gate refused a call because its zone is evacuated."""
    return (
        isinstance(result, RefusedCall)
        and result.refusal.reason is Reason.EVACUATED
    )
