"""Follows single ids at their owner from the first ask to the answer.

The id of a request consists of its team and its Idempotency-Key. An id waits
until it is in the log, may then be dispatched, runs, and settles with an
answer or a refusal.
"""

import dataclasses
from typing import TypeAlias

import msgspec

from ebonycleat.internal.process.dedupe_memory import (
    PERMIT_LIFETIME_S,
    DedupeLimits,
    DedupeMemory,
    IdEntry,
    IdPhase,
    RefusedCopies,
)
from ebonycleat.internal.process.effects import AppendToLog
from ebonycleat.internal.process.started_log import GroupCommit
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.dedupe_tracker import (
    FIRST_ATTEMPT,
    CopyNotTaken,
    DedupeAsk,
    OwnerAnswer,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

# A run whose result the driver does not report within this time after the
# deadline settles with an unknown outcome.
LOST_RUN_TIMEOUT_S = 60


@dataclasses.dataclass(frozen=True, slots=True)
class OfferCall:
    """Offer the call to the gate; call ``may_dispatch`` before it is sent."""

    call: Call
    slot: int


DedupeEvent: TypeAlias = OfferCall | OwnerAnswer | CopyNotTaken | AppendToLog

ALREADY_STARTED = refuse_outcome_unknown(
    Reason.OUTCOME_UNKNOWN,
    'a request with this Idempotency-Key has started, and its answer is '
    'not known; check its effect before it is sent with another key',
)

MEMORY_FULL = refuse_outcome_unknown(
    Reason.DEDUPE_UNAVAILABLE,
    'the owner of this Idempotency-Key cannot remember more keys; send '
    'the request again later with the same key',
)


def create_answer(ask: DedupeAsk, result: CallResult) -> OwnerAnswer:
    """Create the answer to one of the calls that asked for the same id."""
    return OwnerAnswer(
        call_id=ask.call.call_id,
        copy_number=ask.copy_number,
        epoch=ask.epoch,
        result=msgspec.structs.replace(result, call_id=ask.call.call_id),
    )


class IdLifecycle:
    """The ids that wait or run, and the memory of those that settled."""

    def __init__(self, limits: DedupeLimits) -> None:
        """Start without ids."""
        self.limits = limits
        self.memory = DedupeMemory(limits)
        self.refused_copies = RefusedCopies(limits.max_refused_calls)
        self.waiting: dict[bytes, IdEntry] = {}
        self.running: dict[str, IdEntry] = {}

    def start_waiting(self, entry: IdEntry, ask: DedupeAsk) -> None:
        """Let an id that has not started wait until it may run."""
        entry.phase = IdPhase.WAITING
        entry.known_to_successors = False
        entry.asks = {ask.call.call_id: ask}
        self.memory.entries[entry.id_hash] = entry
        self.waiting[entry.id_hash] = entry

    def handle_repeat(
        self,
        entry: IdEntry,
        ask: DedupeAsk,
        now: float,
    ) -> list[DedupeEvent]:
        """Decide on a call whose id is waiting, running or settled.

        A call whose id has not settled waits for the same result.
        """
        if entry.phase is IdPhase.UNKNOWN:
            return [_refuse(ask, ALREADY_STARTED)]
        if entry.phase is IdPhase.NOT_RUN:
            return [self._refuse_as_not_run(entry, ask, Reason.CANCELLED, now)]
        if entry.answer is not None:
            return [create_answer(ask, entry.answer)]
        joined = entry.asks.get(ask.call.call_id)
        if joined is None and len(entry.asks) >= self.limits.max_joined_calls:
            return [_refuse(ask, ALREADY_STARTED)]
        if joined is None or joined.copy_number < ask.copy_number:
            entry.asks[ask.call.call_id] = ask
        return []

    def refuse_copy(
        self,
        ask: DedupeAsk,
        group_commit: GroupCommit,
        now: float,
    ) -> DedupeEvent:
        """Promise never to run a copy.

        Without room to remember the promise, the outcome of the call is
        unknown.
        """
        call_id = ask.call.call_id
        if self.refused_copies.try_add(call_id, ask.copy_number, now):
            return CopyNotTaken(
                call_id,
                ask.copy_number,
                group_commit.node,
                group_commit.incarnation,
            )
        return _refuse(ask, MEMORY_FULL)

    def permit_run(
        self,
        entry: IdEntry,
        expires_at: float,
        now: float,
    ) -> list[DedupeEvent]:
        """Offer one call of a waiting id to the gate.

        The call must not be past its deadline. Calls of which this copy or
        this attempt was refused before may wait for the answer, but are never
        offered. Without a call to offer, the id is refused.
        """
        entry.known_to_successors = True
        for ask in entry.asks.values():
            if ask.call.deadline > now and not self.was_refused(entry, ask):
                self.waiting.pop(entry.id_hash, None)
                entry.phase = IdPhase.PERMITTED
                entry.running_call_id = ask.call.call_id
                entry.deadline = ask.call.deadline
                entry.expires_at = min(expires_at, now + PERMIT_LIFETIME_S)
                self.running[entry.running_call_id] = entry
                return [OfferCall(ask.call, entry.slot)]
        return self.refuse_entry(entry, Reason.DEADLINE, now)

    def was_refused(self, entry: IdEntry, ask: DedupeAsk) -> bool:
        """Tell whether this copy or this attempt was refused as not run."""
        if 0 < ask.attempt <= entry.refused_attempt:
            return True
        return self.refused_copies.includes(ask.call.call_id, ask.copy_number)

    def mark_dispatched(self, entry: IdEntry, now: float) -> bool:
        """Mark a permitted id as running; return False if its permit expired."""
        if entry.phase is not IdPhase.PERMITTED or now > entry.expires_at:
            return False
        entry.phase = IdPhase.RUNNING
        return True

    def finish_run(
        self,
        call_id: str,
        result: CallResult,
        now: float,
    ) -> list[DedupeEvent]:
        """Settle an id, and answer every call that joined its run."""
        entry = self.running.pop(call_id, None)
        if entry is None:
            return []
        asks = tuple(entry.asks.values())
        if isinstance(result, Answer):
            stored = msgspec.structs.replace(result, retries_unused=0)
            self.memory.store_answer(entry, stored, now)
        elif result.refusal.outcome is Outcome.NOT_RUN:
            return self.refuse_entry(entry, result.refusal.reason, now)
        else:
            self.memory.settle(entry, IdPhase.UNKNOWN, now)
        return [
            create_answer(
                ask, _adapt_result(result, ask.call.call_id == call_id)
            )
            for ask in asks
        ]

    def refuse_entry(
        self,
        entry: IdEntry,
        reason: Reason,
        now: float,
    ) -> list[DedupeEvent]:
        """Refuse all calls of an id that was not dispatched."""
        self.waiting.pop(entry.id_hash, None)
        self.running.pop(entry.running_call_id, None)
        asks = tuple(entry.asks.values())
        entry.refused_attempt = max(
            entry.refused_attempt, *(ask.attempt for ask in asks), 0
        )
        self.memory.settle(entry, IdPhase.NOT_RUN, now)
        return [
            self._refuse_as_not_run(entry, ask, reason, now) for ask in asks
        ]

    def expire(self, now: float) -> list[DedupeEvent]:
        """Refuse the calls that are past their deadline."""
        events: list[DedupeEvent] = []
        for entry in tuple(self.waiting.values()):
            deadlines = [ask.call.deadline for ask in entry.asks.values()]
            if max(deadlines, default=now) <= now:
                events.extend(self.refuse_entry(entry, Reason.DEADLINE, now))
        for entry in tuple(self.running.values()):
            events.extend(self._expire_run(entry, now))
        self.refused_copies.expire(now)
        return events

    def _expire_run(self, entry: IdEntry, now: float) -> list[DedupeEvent]:
        is_lost = now > entry.deadline + LOST_RUN_TIMEOUT_S
        expired = [
            ask
            for ask in entry.asks.values()
            if is_lost or ask.call.deadline <= now
        ]
        for expired_ask in expired:
            entry.asks.pop(expired_ask.call.call_id)
        if is_lost:
            self.running.pop(entry.running_call_id)
            self.memory.settle(entry, IdPhase.UNKNOWN, now)
        refusal = refuse_outcome_unknown(Reason.DEADLINE)
        return [_refuse(ask, refusal) for ask in expired]

    def _refuse_as_not_run(
        self,
        entry: IdEntry,
        ask: DedupeAsk,
        reason: Reason,
        now: float,
    ) -> OwnerAnswer:
        # A later owner may still receive an earlier send of this request. The
        # outcome is certain only for ids that later owners treat as started,
        # and for requests that the caller sent only once.
        is_certain = entry.known_to_successors or ask.attempt == FIRST_ATTEMPT
        if is_certain and self.refused_copies.try_add(
            ask.call.call_id,
            ask.copy_number,
            now,
        ):
            return _refuse(ask, refuse_not_run(reason))
        return _refuse(ask, refuse_outcome_unknown(reason))


def _adapt_result(result: CallResult, is_run_call: bool) -> CallResult:
    # Unused retries are returned only for the call that ran, because they were
    # lent by the retry ledger of its request.
    if is_run_call:
        return result
    return msgspec.structs.replace(result, retries_unused=0)


def _refuse(ask: DedupeAsk, refusal: Refusal) -> OwnerAnswer:
    return create_answer(ask, RefusedCall(ask.call.call_id, refusal))
