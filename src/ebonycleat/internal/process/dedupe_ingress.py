"""Sends requests that may run only once to the dedupe owners of their ids.

The owner decides whether a request runs. The ingress tracks the copies of each
request that it has sent, and answers with the outcome "not run" only when no
copy can run any more.
"""

import dataclasses
import heapq
from collections.abc import Callable
from typing import TypeAlias

from ebonycleat.internal.process.ownership import DEDUPE_KIND, SlotId, SlotState
from ebonycleat.internal.process.retry_policy import MAX_BACKOFF_S
from ebonycleat.internal.request.call import CallResult
from ebonycleat.internal.request.dedupe_tracker import (
    UNDECLARED_ATTEMPT,
    CopyNotTaken,
    CopyRecipient,
    DedupeAsk,
    DedupeStep,
    DedupeTracker,
    NextStep,
    OwnerAnswer,
    slot_index,
)
from ebonycleat.internal.request.open_request import OpenRequest

INITIAL_BACKOFF_S = 0.02
MAX_ATTEMPT_DIGITS = 9
# With the backoff between them, this is enough to outlast a change of owner.
MAX_COPIES = 32

FindSlotState: TypeAlias = Callable[[SlotId], SlotState]


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """Send one copy of the call to the dedupe owner at ``node``."""

    node: str
    ask: DedupeAsk


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCompleted:
    """The request has its final result."""

    request: OpenRequest
    result: CallResult


DedupeIngressOutput: TypeAlias = AskOwner | RequestCompleted


class DedupeIngress:
    """Requests that wait for the decision of a dedupe owner."""

    def __init__(self, find_slot_state: FindSlotState) -> None:
        """Find owners through the ownership stream as this node has read it."""
        self.find_slot_state = find_slot_state
        self.requests: dict[str, OpenRequest] = {}
        self.retries: list[tuple[float, str]] = []

    def start(
        self, request: OpenRequest, now: float
    ) -> list[DedupeIngressOutput]:
        """Send the first copy of an admitted request."""
        self.requests[request.request_id] = request
        return self.send_copy(request, now)

    def forget(self, request: OpenRequest) -> None:
        """Stop tracking a request that has been answered."""
        self.requests.pop(request.request_id, None)

    def handle_answer(
        self, answer: OwnerAnswer, now: float
    ) -> list[DedupeIngressOutput]:
        """Process the answer of an owner."""
        request = self.requests.get(answer.call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.owner_answered(answer)
        return self.apply_step(request, step, now)

    def handle_not_taken(
        self,
        refusal: CopyNotTaken,
        now: float,
    ) -> list[DedupeIngressOutput]:
        """Continue after a node promised not to run a copy."""
        request = self.requests.get(refusal.call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.copy_not_taken(refusal)
        return self.apply_step(request, step, now)

    def handle_lost_copy(
        self,
        call_id: str,
        copy_number: int,
        now: float,
        *,
        sent: bool,
    ) -> list[DedupeIngressOutput]:
        """Continue after the link of a copy closed before it was answered.

        ``sent`` is False if the copy certainly did not leave this node.
        """
        request = self.requests.get(call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.link_closed(copy_number, sent=sent)
        return self.apply_step(request, step, now)

    def tick(self, now: float) -> list[DedupeIngressOutput]:
        """Send the copies whose backoff is over."""
        outputs: list[DedupeIngressOutput] = []
        while self.retries and self.retries[0][0] <= now:
            _, request_id = heapq.heappop(self.retries)
            request = self.requests.get(request_id)
            if request is not None:
                outputs.extend(self.send_copy(request, now))
        return outputs

    def apply_step(
        self,
        request: OpenRequest,
        step: DedupeStep,
        now: float,
    ) -> list[DedupeIngressOutput]:
        """Carry out the next step of a request, or complete it."""
        if step is NextStep.WAIT:
            return []
        if step is NextStep.SEND_AGAIN:
            self.schedule_retry(request, now)
            return []
        self.forget(request)
        return [RequestCompleted(request, step)]

    def send_copy(
        self, request: OpenRequest, now: float
    ) -> list[DedupeIngressOutput]:
        """Send a copy to the owner of the id; retry later if there is none."""
        tracker = request.dedupe_tracker
        if tracker is None:
            return []
        call = request.call
        slot_number = slot_index(call.team, call.idempotency_key)
        state = self.find_slot_state(
            SlotId(DEDUPE_KIND, call.service, slot_number)
        )
        if state.released:
            self.schedule_retry(request, now)
            return []
        owner = CopyRecipient(state.owner, state.incarnation, state.epoch)
        return [AskOwner(state.owner, tracker.create_copy(owner))]

    def schedule_retry(self, request: OpenRequest, now: float) -> None:
        """Send another copy after a backoff that doubles with each copy.

        The number of retries is not limited here: the request ends at its
        deadline.
        """
        copies_sent = (
            request.dedupe_tracker.copies_sent if request.dedupe_tracker else 0
        )
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**copies_sent)
        heapq.heappush(self.retries, (now + backoff_s, request.request_id))


def create_dedupe_tracker(
    request: OpenRequest, caller_attempt: str
) -> DedupeTracker:
    """Create the tracker of a request.

    ``caller_attempt`` is the number of the attempt as the caller declared it,
    unchecked, or an empty text if it declared none.
    """
    is_number = (
        caller_attempt.isdecimal() and len(caller_attempt) <= MAX_ATTEMPT_DIGITS
    )
    attempt_number = int(caller_attempt) if is_number else UNDECLARED_ATTEMPT
    return DedupeTracker(request.call, attempt_number, MAX_COPIES)
