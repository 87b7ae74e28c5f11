"""The life of single ids at their owner: wait, run, answer, refuse."""

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
from ebonycleat.internal.request.call import Answer, Call, CallResult
from ebonycleat.internal.request.call import RefusedCall as Refused
from ebonycleat.internal.request.idempotent_send import (
    FIRST_ATTEMPT,
    AskAnswered,
    CopyNotTaken,
    DedupeAsk,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

# A run whose result the driver never reports becomes outcome unknown.
LOST_RUN_S = 60


@dataclasses.dataclass(frozen=True, slots=True)
class OfferCall:
    """Offer the call to a gate, and ask ``may_dispatch`` when it leaves."""

    call: Call
    slot: int


DedupeEvent: TypeAlias = OfferCall | AskAnswered | CopyNotTaken | AppendToLog

ALREADY_STARTED = refuse_outcome_unknown(
    Reason.OUTCOME_UNKNOWN,
    'a request with this id has started, its answer is not known',
)

MEMORY_FULL = refuse_outcome_unknown(
    Reason.DEDUPE_UNAVAILABLE,
    'this node cannot remember more ids, send again with the same id',
)


def create_answer(ask: DedupeAsk, result: CallResult) -> AskAnswered:
    """Address a result to one of the calls that asked for the id."""
    return AskAnswered(
        call_id=ask.call.call_id,
        copy_number=ask.copy_number,
        epoch=ask.epoch,
        result=msgspec.structs.replace(result, call_id=ask.call.call_id),
    )


class IdLifecycle:
    """Entries that wait or run, over the memory of those that settled."""

    def __init__(self, limits: DedupeLimits) -> None:
        """Start empty."""
        self.limits = limits
        self.memory = DedupeMemory(limits)
        self.refused_copies = RefusedCopies(limits.max_refused_calls)
        self.waiting: dict[bytes, IdEntry] = {}
        self.running: dict[str, IdEntry] = {}

    def start_waiting(self, entry: IdEntry, ask: DedupeAsk) -> None:
        """Let an id that never started wait for its permit."""
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
        """Treat a call whose id is waiting, running or settled."""
        if entry.phase is IdPhase.UNKNOWN:
            return [_refuse(ask, ALREADY_STARTED)]
        if entry.phase is IdPhase.NOT_RUN:
            return [self._refuse_unrun(entry, ask, Reason.CANCELLED, now)]
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
        commit: GroupCommit,
        now: float,
    ) -> DedupeEvent:
        """Promise never to run a copy, if there is room for the promise."""
        call_id = ask.call.call_id
        if self.refused_copies.try_add(call_id, ask.copy_number, now):
            return CopyNotTaken(
                call_id,
                ask.copy_number,
                commit.node,
                commit.incarnation,
            )
        return _refuse(ask, MEMORY_FULL)

    def permit_run(
        self,
        entry: IdEntry,
        expires_at: float,
        now: float,
    ) -> list[DedupeEvent]:
        """Let a waiting id run, as a call that still has time.

        A copy or an attempt that was refused before may wait for the answer,
        but the run is never made on its behalf.
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
        """Say if NOT_RUN was said of this copy or of this attempt."""
        if 0 < ask.attempt <= entry.refused_attempt:
            return True
        return self.refused_copies.includes(ask.call.call_id, ask.copy_number)

    def mark_dispatched(self, entry: IdEntry, now: float) -> bool:
        """Mark a permitted id as running, unless its permit is too old."""
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
        """Give every joined call the result of the one run."""
        entry = self.running.pop(call_id, None)
        if entry is None:
            return []
        asks = tuple(entry.asks.values())
        if isinstance(result, Answer):
            kept = msgspec.structs.replace(result, retries_unused=0)
            self.memory.store_answer(entry, kept, now)
        elif result.refusal.outcome is Outcome.NOT_RUN:
            return self.refuse_entry(entry, result.refusal.reason, now)
        else:
            self.memory.settle(entry, IdPhase.UNKNOWN, now)
        return [
            create_answer(ask, _share(result, ask.call.call_id == call_id))
            for ask in asks
        ]

    def refuse_entry(
        self,
        entry: IdEntry,
        reason: Reason,
        now: float,
    ) -> list[DedupeEvent]:
        """Refuse all calls of an id that was never dispatched."""
        self.waiting.pop(entry.id_hash, None)
        self.running.pop(entry.running_call_id, None)
        asks = tuple(entry.asks.values())
        entry.refused_attempt = max(entry.refused_attempt, *(ask.attempt for ask in asks), 0)
        self.memory.settle(entry, IdPhase.NOT_RUN, now)
        return [self._refuse_unrun(entry, ask, reason, now) for ask in asks]

    def expire(self, now: float) -> list[DedupeEvent]:
        """Answer calls past their deadline."""
        events: list[DedupeEvent] = []
        for entry in tuple(self.waiting.values()):
            times = [ask.call.deadline for ask in entry.asks.values()]
            if max(times, default=now) <= now:
                events.extend(self.refuse_entry(entry, Reason.DEADLINE, now))
        for entry in tuple(self.running.values()):
            events.extend(self._expire_run(entry, now))
        self.refused_copies.expire(now)
        return events

    def _expire_run(self, entry: IdEntry, now: float) -> list[DedupeEvent]:
        lost = now > entry.deadline + LOST_RUN_S
        late = [
            ask
            for ask in entry.asks.values()
            if lost or ask.call.deadline <= now
        ]
        for overdue in late:
            entry.asks.pop(overdue.call.call_id)
        if lost:
            self.running.pop(entry.running_call_id)
            self.memory.settle(entry, IdPhase.UNKNOWN, now)
        refusal = refuse_outcome_unknown(Reason.DEADLINE)
        return [_refuse(ask, refusal) for ask in late]

    def _refuse_unrun(
        self,
        entry: IdEntry,
        ask: DedupeAsk,
        reason: Reason,
        now: float,
    ) -> AskAnswered:
        # A later owner may still meet an earlier send, so only ids that it
        # takes for started, or that had no earlier send, are surely not run.
        sure = entry.known_to_successors or ask.attempt == FIRST_ATTEMPT
        if sure and self.refused_copies.try_add(
            ask.call.call_id,
            ask.copy_number,
            now,
        ):
            return _refuse(ask, refuse_not_run(reason))
        return _refuse(ask, refuse_outcome_unknown(reason))


def _share(result: CallResult, is_runner: bool) -> CallResult:
    # The unused retries belong to the ledger of the call that ran.
    if is_runner:
        return result
    return msgspec.structs.replace(result, retries_unused=0)


def _refuse(ask: DedupeAsk, refusal: Refusal) -> AskAnswered:
    return create_answer(ask, Refused(ask.call.call_id, refusal))
