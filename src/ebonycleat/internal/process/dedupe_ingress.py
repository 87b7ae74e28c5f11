"""Sends non-idempotent calls to the owners of their ids.

The owner decides whether a call runs. This side only follows the copies it
has sent, and says "not run" only when no copy can run any more.
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
    OwnerAnswer,
    CopyNotTaken,
    DedupeAsk,
    DedupeTracker,
    NextStep,
    DedupeStep,
    CopyRecipient,
    slot_index,
)
from ebonycleat.internal.request.open_request import OpenRequest

INITIAL_BACKOFF_S = 0.02
MAX_ATTEMPT_DIGITS = 9
# With the pauses between them, enough to outlast a change of owner.
MAX_COPIES = 32

StateOf: TypeAlias = Callable[[SlotId], SlotState]


@dataclasses.dataclass(frozen=True, slots=True)
class AskOwner:
    """Hand one copy of the call to the dedupe owner at ``node``."""

    node: str
    ask: DedupeAsk


@dataclasses.dataclass(frozen=True, slots=True)
class SendCompleted:
    """The request has its final result."""

    request: OpenRequest
    result: CallResult


SendOutput: TypeAlias = AskOwner | SendCompleted


class DedupeIngress:
    """Requests that wait for the word of a dedupe owner."""

    def __init__(self, find_slot_state: StateOf) -> None:
        """Find owners by the ownership stream as this node has read it."""
        self.find_slot_state = find_slot_state
        self.requests: dict[str, OpenRequest] = {}
        self.retries: list[tuple[float, str]] = []

    def start(self, request: OpenRequest, now: float) -> list[SendOutput]:
        """Send the first copy of an admitted request."""
        self.requests[request.request_id] = request
        return self.send_copy(request, now)

    def forget(self, request: OpenRequest) -> None:
        """Stop following a request that has been answered."""
        self.requests.pop(request.request_id, None)

    def handle_answer(
        self, answer: OwnerAnswer, now: float
    ) -> list[SendOutput]:
        """Take the owner's word."""
        request = self.requests.get(answer.call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.owner_answered(answer)
        return self.apply_step(request, step, now)

    def handle_not_taken(
        self,
        word: CopyNotTaken,
        now: float,
    ) -> list[SendOutput]:
        """Go on after a node promised not to run a copy."""
        request = self.requests.get(word.call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.copy_not_taken(word)
        return self.apply_step(request, step, now)

    def handle_lost_copy(
        self,
        call_id: str,
        copy_number: int,
        now: float,
        *,
        sent: bool,
    ) -> list[SendOutput]:
        """Go on after the link of a copy closed."""
        request = self.requests.get(call_id)
        if request is None or request.dedupe_tracker is None:
            return []
        step = request.dedupe_tracker.link_closed(copy_number, sent=sent)
        return self.apply_step(request, step, now)

    def tick(self, now: float) -> list[SendOutput]:
        """Send the copies that are due."""
        outputs: list[SendOutput] = []
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
    ) -> list[SendOutput]:
        """Carry out what the send decided."""
        if step is NextStep.WAIT:
            return []
        if step is NextStep.SEND_AGAIN:
            self.schedule_retry(request, now)
            return []
        self.forget(request)
        return [SendCompleted(request, step)]

    def send_copy(self, request: OpenRequest, now: float) -> list[SendOutput]:
        """Send a copy to the owner, or wait until there is one."""
        send = request.dedupe_tracker
        if send is None:
            return []
        call = request.call
        number = slot_index(call.team, call.idempotency_key)
        state = self.find_slot_state(SlotId(DEDUPE_KIND, call.service, number))
        if state.released:
            self.schedule_retry(request, now)
            return []
        owner = CopyRecipient(state.owner, state.incarnation, state.epoch)
        return [AskOwner(state.owner, send.create_copy(owner))]

    def schedule_retry(self, request: OpenRequest, now: float) -> None:
        """Try again a little later; the deadline ends the request."""
        copies = (
            request.dedupe_tracker.copies_sent if request.dedupe_tracker else 0
        )
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**copies)
        heapq.heappush(self.retries, (now + pause_s, request.request_id))


def create_idempotent_send(
    request: OpenRequest, caller_attempt: str
) -> DedupeTracker:
    """Create the tracker of a request.

    ``caller_attempt`` is the caller's number of its attempt, unchecked, or
    empty.
    """
    is_number = (
        caller_attempt.isdecimal() and len(caller_attempt) <= MAX_ATTEMPT_DIGITS
    )
    number = int(caller_attempt) if is_number else UNDECLARED_ATTEMPT
    return DedupeTracker(request.call, number, MAX_COPIES)
