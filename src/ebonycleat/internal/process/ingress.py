"""The ingress: sends callers' requests to gates, retries and answers them.

Each request that the ingress accepts is answered exactly once, at the latest
at its deadline.
"""

import dataclasses
import heapq
from collections.abc import Callable, Sequence
from typing import TypeAlias

from ebonycleat.internal.process.effects import AnswerRequest
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.retry_policy import (
    FailedAttempt,
    RetryAfter,
    RetryPolicy,
)
from ebonycleat.internal.process.router import (
    PlacementChoice,
    PlacementRequest,
    Router,
)
from ebonycleat.internal.process.service_directory import ServiceDirectory
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.context import RequestContext
from ebonycleat.internal.request.open_request import (
    Attempt,
    OpenRequest,
    request_id_of,
)
from ebonycleat.internal.request.outgoing import render_result
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
)
from ebonycleat.internal.request.retry_ledger import RetryLedger


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceCall:
    """Offer the call to the gate of ``node``, which may be this node."""

    node: str
    call: Call


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Tell the gate of ``node`` that the call's result is not needed."""

    node: str
    call_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request was answered, after ``latency_s`` seconds; for metrics."""

    request: OpenRequest
    result: CallResult
    latency_s: float


IngressOutput: TypeAlias = (
    PlaceCall | CancelAttempt | AnswerRequest | RequestEnded
)

TOKEN_EXPIRED_REFUSAL = refuse_not_run(
    Reason.BUDGET_UNAVAILABLE,
    "the token of the team's rate expired before the call could be sent; "
    'send it again',
    retry_after_s=1,
)
TARGET_FAILURE_REASONS = frozenset((
    Reason.TARGET_FAILED,
    Reason.TRUNCATED_ANSWER,
))


class Ingress:
    """The open requests of one node: those that wait for an answer.

    ``deadlines`` and ``retry_times`` are heaps of times and request ids;
    entries of requests that were answered in the meantime are skipped.
    """

    def __init__(
        self,
        directory: ServiceDirectory,
        router: Router,
        retry_policy: RetryPolicy,
        spend_token: Callable[[OpenRequest, float], bool],
    ) -> None:
        """Send calls to the members that ``directory`` lists.

        ``spend_token`` spends the request's token right before each attempt
        is sent; it returns false if the token has expired.
        """
        self.directory = directory
        self.router = router
        self.retry_policy = retry_policy
        self.spend_token = spend_token
        self.requests: dict[str, OpenRequest] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.retry_times: list[tuple[float, str]] = []

    def accept(self, request: OpenRequest) -> None:
        """Accept a request; from now on it is answered exactly once."""
        self.requests[request.request_id] = request
        deadline = (request.call.deadline, request.request_id)
        heapq.heappush(self.deadlines, deadline)

    def handle_attempt_result(
        self,
        call_result: CallResult,
        load: GateLoad,
        now: float,
    ) -> list[IngressOutput]:
        """Handle the result of an attempt, unless the attempt has ended."""
        request = self.find_request(call_result.call_id)
        if request is None or request.attempt is None:
            return []
        attempt = request.attempt
        self.update_router(request, attempt, call_result, load, now)
        request.end_attempt(call_result.retries_unused)
        if isinstance(call_result, Answer):
            service = request.call.service
            self.retry_policy.budget.record_success(service, now)
            return self.finish(request, call_result, now)
        return self.handle_failure(request, call_result.refusal, now)

    def handle_lost_attempt(
        self,
        attempt_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[IngressOutput]:
        """Handle the loss of an attempt: the link to its node closed.

        If the attempt was ``sent``, whether it ran is unknown.
        """
        request = self.find_request(attempt_id)
        if request is None or request.attempt is None:
            return []
        member = request.attempt.member
        self.router.record_failure(member, False, now)
        request.unreachable_nodes |= {member.node}
        if sent:
            request.write_off_attempt()
        else:
            request.end_attempt(request.call.retry_allowance)
        refusal = Refusal(
            Reason.CONNECTION_LOST,
            Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
            "the link to the target's node closed",
        )
        return self.handle_failure(request, refusal, now)

    def tick(self, now: float) -> list[IngressOutput]:
        """Send the retries that are due; refuse requests past their deadline."""
        outputs: list[IngressOutput] = []
        for request in self.pop_due(self.retry_times, now):
            outputs.extend(self.place_attempt(request, now))
        for request in self.pop_due(self.deadlines, now):
            outputs.extend(self.abandon(request, Reason.DEADLINE, now))
        return outputs

    def pop_due(
        self,
        heap: list[tuple[float, str]],
        now: float,
    ) -> list[OpenRequest]:
        """Remove the due entries of a heap; return their open requests."""
        due: list[OpenRequest] = []
        while heap and heap[0][0] <= now:
            _, request_id = heapq.heappop(heap)
            request = self.requests.get(request_id)
            if request is not None:
                due.append(request)
        return due

    def find_request(self, attempt_id: str) -> OpenRequest | None:
        """Return the open request whose current attempt has this id."""
        request = self.requests.get(request_id_of(attempt_id))
        if request is None or request.attempt is None:
            return None
        if request.attempt.attempt_id != attempt_id:
            return None
        return request

    def place_attempt(
        self, request: OpenRequest, now: float
    ) -> list[IngressOutput]:
        """Choose a member and send the next attempt to its node."""
        if request.request_id not in self.requests:
            return []
        members = self.directory.members_of(request.call.service, now)
        choice = self.choose_member(request, members, now)
        if isinstance(choice, Refusal):
            return self.handle_failure(request, choice, now)
        if not self.spend_token(request, now):
            return self.refuse(request, TOKEN_EXPIRED_REFUSAL, now)
        self.router.record_sent(choice, now)
        return [PlaceCall(choice.node, request.next_attempt(choice, now))]

    def choose_member(
        self,
        request: OpenRequest,
        members: Sequence[Member],
        now: float,
    ) -> PlacementChoice:
        """Choose a member, outside the zones that refused earlier attempts.

        Nodes whose link closed during an earlier attempt are chosen only if
        no other member can be chosen.
        """
        call = request.call
        zones = request.refused_zones
        preferred = PlacementRequest(
            call, members, zones, request.unreachable_nodes
        )
        choice = self.router.choose(preferred, now)
        if isinstance(choice, Refusal) and request.unreachable_nodes:
            any_node = PlacementRequest(call, members, zones)
            return self.router.choose(any_node, now)
        return choice

    def handle_failure(
        self,
        request: OpenRequest,
        refusal: Refusal,
        now: float,
    ) -> list[IngressOutput]:
        """Schedule a retry if the retry policy allows it, else refuse."""
        service = request.call.service
        decision = self.retry_policy.decide(
            FailedAttempt(
                request.call,
                refusal,
                request.attempts_made,
                request.refused_zones,
                self.directory.zones_of(service, now),
            ),
            request.ledger,
            now,
        )
        if isinstance(decision, RetryAfter):
            request.refused_zones = decision.avoid_zones
            retry = (now + decision.delay_s, request.request_id)
            heapq.heappush(self.retry_times, retry)
            return []
        return self.refuse(request, decision.refusal, now)

    def refuse(
        self,
        request: OpenRequest,
        refusal: Refusal,
        now: float,
    ) -> list[IngressOutput]:
        """End a request that got no answer from a target.

        Earlier copies of a non-idempotent call may have run, so the state of
        its copies decides the outcome of the refusal.
        """
        if request.dedupe_tracker is None:
            refused = RefusedCall(request.request_id, refusal)
        else:
            refused = request.dedupe_tracker.give_up(
                refusal.reason,
                refusal.detail,
                refusal.retry_after_s,
            )
        return self.finish(request, refused, now)

    def cancel(self, request_id: str, now: float) -> list[IngressOutput]:
        """End a request whose caller no longer waits."""
        request = self.requests.get(request_id)
        if request is None:
            return []
        return self.abandon(request, Reason.CANCELLED, now)

    def abandon(
        self,
        request: OpenRequest,
        reason: Reason,
        now: float,
    ) -> list[IngressOutput]:
        """Refuse a request now, and cancel its attempt if it has one."""
        attempt = request.attempt
        if attempt is None:
            refusal = refuse_not_run(
                reason,
                'the request ended before it was sent to a target',
            )
            return self.refuse(request, refusal, now)
        self.router.record_abandoned(attempt.member)
        request.write_off_attempt()
        refusal = Refusal(
            reason,
            Outcome.UNKNOWN,
            'the request ended before the answer of a target came',
        )
        refused = RefusedCall(request.request_id, refusal)
        return [
            CancelAttempt(attempt.member.node, attempt.attempt_id),
            *self.finish(request, refused, now),
        ]

    def finish(
        self,
        request: OpenRequest,
        call_result: CallResult,
        now: float,
    ) -> list[IngressOutput]:
        """Answer the caller; refund unused retries to the parent request."""
        if self.requests.pop(request.request_id, None) is None:
            return []
        unused = request.ledger.close()
        if request.parent_context is not None:
            request.parent_context.ledger.refund(request.request_id, unused)
            request.parent_context.end_child(request.request_id, now)
            if isinstance(call_result, RefusedCall):
                request.parent_context.record_downstream_refusal(
                    call_result.refusal
                )
        answer = render_result(request.request_id, call_result)
        latency_s = now - request.received_at
        return [
            AnswerRequest(request.request_id, answer),
            RequestEnded(request, call_result, latency_s),
        ]

    def update_router(
        self,
        request: OpenRequest,
        attempt: Attempt,
        call_result: CallResult,
        load: GateLoad,
        now: float,
    ) -> None:
        """Record the result of an attempt with the router."""
        member: Member = attempt.member
        if isinstance(call_result, Answer):
            latency_s = now - attempt.sent_at
            self.router.record_answer(
                member, load, latency_s, now, request.call.route
            )
        elif call_result.refusal.reason in TARGET_FAILURE_REASONS:
            self.router.record_failure(member, True, now)
        else:
            self.router.record_refusal(member, load, now)


def create_open_request(
    call: Call,
    parent: RequestContext | None,
    now: float,
) -> OpenRequest:
    """Create the state of a request, with the retry limit of its route.

    A request that a target makes for a parent request gets a part of the
    parent's retries instead of retries of its own.
    """
    if parent is None:
        return OpenRequest(call, RetryLedger(call.retry_allowance), now)
    allowance = parent.ledger.lend(call.call_id)
    parent.start_child(call.call_id, now)
    return OpenRequest(call, RetryLedger(allowance), now, parent)
