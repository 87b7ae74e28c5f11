"""Decisions of the owner of idempotency keys: each id runs at most once.

A new owner learns from the log which ids have started. An id that is not
there may run, because the former owner dispatched only ids whose append had
been confirmed while it held the slot. Without the log an owner runs ids only
after a majority of witnesses knows it; then the next claim says so, and the
next owner takes every id that it does not know for started.
"""

from collections.abc import Iterable

from ebonycleat.internal.process.dedupe_memory import (
    RUN_PERMIT_S,
    DedupeLimits,
    IdEntry,
    Phase,
)
from ebonycleat.internal.process.dedupe_memory import KEEP_S as SPAN_S
from ebonycleat.internal.process.dedupe_runs import (
    NO_ROOM,
    STARTED_UNKNOWN,
    DedupeEvent,
    IdRuns,
    answer_ask,
)
from ebonycleat.internal.process.dedupe_slots import SlotRights, Tenure
from ebonycleat.internal.process.effects import AppendResult
from ebonycleat.internal.process.started_log import (
    GroupCommit,
    StartedGroup,
    StartedIds,
)
from ebonycleat.internal.request.call import CallResult, RefusedCall
from ebonycleat.internal.request.dedupe_tracker import (
    OwnerAnswer,
    DedupeAsk,
    hash_idempotency_key,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)

# Calls that wait for the log to be read back; the slot is one of 64.
MAX_HELD_BACK = 256

BLIND = refuse_outcome_unknown(
    Reason.OUTCOME_UNKNOWN,
    'the former owner of this id ran without the log, it may have started',
)


class DedupeOwner:
    """Decides for the ids of the slots that this node holds."""

    def __init__(
        self,
        commit: GroupCommit,
        rights: SlotRights,
        limits: DedupeLimits | None = None,
    ) -> None:
        """Decide under the rights that the ownership engine grants."""
        self.limits = limits or DedupeLimits()
        self.commit = commit
        self.rights = rights
        self.runs = IdRuns(self.limits)
        self.started = StartedIds(commit, SPAN_S, self.limits.max_read_ids)
        self.tenures: dict[int, Tenure] = {}

    def begin(self, ask: DedupeAsk, now: float) -> list[DedupeEvent]:
        """Decide on one copy of a call; no event means that it waits."""
        id_hash = hash_idempotency_key(ask.call.team, ask.call.idempotency_key)
        entry = self.runs.memory.entries.get(id_hash)
        if entry is not None and entry.phase is not Phase.NOT_RUN:
            # What ran here stays true without the slot; saying that the
            # copy was not taken would be false for a copy that is running.
            return self.runs.repeat(entry, ask, now)
        tenure = self._tenure_for(ask, now)
        if tenure is None:
            return [self.runs.not_taken(ask, self.commit, now)]
        if not tenure.loaded:
            if len(tenure.held_back) >= MAX_HELD_BACK:
                return [self.runs.not_taken(ask, self.commit, now)]
            tenure.held_back.append(ask)
            return []
        return self._decide(ask, tenure, id_hash, now)

    def append_result(
        self,
        append: AppendResult,
        now: float,
    ) -> list[DedupeEvent]:
        """Release the ids of a confirmed group whose slots are still held."""
        events: list[DedupeEvent] = []
        sent_at = self.commit.sent_at
        for id_hash in self.commit.append_result(append, now):
            entry = self.runs.memory.entries.get(id_hash)
            if entry is None:
                continue
            tenure = self.tenures.get(entry.slot)
            if tenure is not None:
                tenure.unlogged_ids.discard(id_hash)
            if entry.phase is Phase.WAITING and self._may_run(entry, now):
                events.extend(
                    self.runs.permit(entry, sent_at + RUN_PERMIT_S, now),
                )
        events.extend(self.commit.next_append(now))
        return events

    def may_dispatch(self, call_id: str, now: float) -> bool:
        """Check the right to run again, at the moment of the dispatch.

        After False the driver reports the call as finished with a refusal
        whose outcome is ``NOT_RUN``.
        """
        entry = self.runs.runs.get(call_id)
        if entry is None or not self._may_run(entry, now):
            return False
        return self.runs.dispatch(entry, now)

    def finished(
        self,
        call_id: str,
        result: CallResult,
        now: float,
    ) -> list[DedupeEvent]:
        """Take the result of a run; a gate's ``NOT_RUN`` frees the id."""
        return self.runs.finished(call_id, result, now)

    def slot_gained(
        self,
        tenure: Tenure,
        now: float,
    ) -> list[DedupeEvent]:
        """Begin a tenure, or renew the held one of the same first epoch.

        With another first epoch somebody else may have owned the slot in
        between, so the held tenure ends even if its loss was not reported.
        """
        events: list[DedupeEvent] = []
        held = self.tenures.get(tenure.slot)
        if held is not None and held.first_epoch == tenure.first_epoch:
            held.epoch = tenure.epoch
        else:
            events.extend(self.slot_lost(tenure.slot, now))
            self.tenures[tenure.slot] = tenure
        return events + self.tick(now)

    def slot_lost(self, slot: int, now: float) -> list[DedupeEvent]:
        """End a tenure; ids that ran here stay known."""
        tenure = self.tenures.pop(slot, None)
        if tenure is None:
            return []
        events: list[DedupeEvent] = [
            self.runs.not_taken(held, self.commit, now)
            for held in tenure.held_back
        ]
        for entry in tuple(self.runs.waiting.values()):
            if entry.slot == slot:
                events.extend(
                    self.runs.refuse_entry(
                        entry,
                        Reason.DEDUPE_UNAVAILABLE,
                        now,
                    ),
                )
        return events

    def started_page(
        self,
        groups: Iterable[StartedGroup],
        read_started_at: float,
        now: float,
        *,
        at_end: bool,
    ) -> list[DedupeEvent]:
        """Take one page of the ``started`` stream, read in order.

        A page that reaches the end shows all ids of former owners of the
        slots that were usable before the read began.
        """
        self.started.read(groups, now)
        events: list[DedupeEvent] = []
        if not at_end:
            return events
        for tenure in self.tenures.values():
            if not tenure.loaded and tenure.usable_since <= read_started_at:
                held_back = tenure.finish_loading(self.started.gap_until)
                for held in held_back:
                    events.extend(self.begin(held, now))
        return events

    def tick(self, now: float) -> list[DedupeEvent]:
        """Advance time; call it every 50 ms and at ``commit.due_at()``."""
        events: list[DedupeEvent] = []
        for tenure in self.tenures.values():
            if now < tenure.usable_since and self.rights.usable(
                tenure.slot,
                now,
            ):
                tenure.first_usable(now)
                tenure.loaded = tenure.never_owned
            events.extend(
                self.runs.not_taken(late, self.commit, now)
                for late in tenure.expired(now)
            )
        events.extend(self.runs.expire(now))
        self._forget(now)
        for entry in tuple(self.runs.waiting.values()):
            events.extend(self._release_unlogged(entry, now))
        events.extend(self.commit.next_append(now))
        return events

    def needs_unlogged_flag(self, slot: int, now: float) -> bool:
        """Say if heartbeats and claims for the slot must say unlogged."""
        tenure = self.tenures.get(slot)
        if tenure is None:
            return False
        if tenure.needs_unlogged_flag(now):
            return True
        return self.commit.log_is_down(now) and any(
            entry.slot == slot for entry in self.runs.waiting.values()
        )

    def _decide(
        self,
        ask: DedupeAsk,
        tenure: Tenure,
        id_hash: bytes,
        now: float,
    ) -> list[DedupeEvent]:
        entry = self.runs.memory.entries.get(id_hash)
        if entry is None:
            entry = IdEntry(id_hash, ask.slot)
        elif 0 < ask.attempt <= entry.attempt:
            return self.runs.repeat(entry, ask, now)
        # An id refused as not run in an earlier tenure may since have
        # started at another owner, so it is checked like a new one.
        if entry.tenure_epoch != tenure.first_epoch:
            refusal = self._refusal_of_new(id_hash, tenure, now)
            if refusal is not None:
                return [_refuse(ask, refusal)]
            entry.tenure_epoch = tenure.first_epoch
        self.runs.start(entry, ask)
        self.commit.add(id_hash)
        events: list[DedupeEvent] = []
        events.extend(self.commit.next_append(now))
        events.extend(self._release_unlogged(entry, now))
        return events

    def _refusal_of_new(
        self,
        id_hash: bytes,
        tenure: Tenure,
        now: float,
    ) -> Refusal | None:
        if id_hash in self.started:
            return STARTED_UNKNOWN
        if now < max(tenure.blind_until, self.started.evicted_until):
            return BLIND
        return NO_ROOM if self.runs.memory.full else None

    def _tenure_for(self, ask: DedupeAsk, now: float) -> Tenure | None:
        tenure = self.tenures.get(ask.slot)
        if tenure is None or not tenure.covers(ask.epoch):
            return None
        if self.runs.refused.covers(ask.call.call_id, ask.copy_number):
            return None
        return tenure if self.rights.usable(ask.slot, now) else None

    def _may_run(self, entry: IdEntry, now: float) -> bool:
        tenure = self.tenures.get(entry.slot)
        if tenure is None or tenure.first_epoch != entry.tenure_epoch:
            return False
        return self.rights.usable(entry.slot, now)

    def _forget(self, now: float) -> None:
        # In a long outage of the log the queue must not outgrow the memory.
        self.started.expire(now)
        for entry in self.runs.memory.expire(now):
            self.commit.drop(entry.id_hash)
            tenure = self.tenures.get(entry.slot)
            if tenure is not None:
                tenure.unlogged_ids.discard(entry.id_hash)

    def _release_unlogged(
        self,
        entry: IdEntry,
        now: float,
    ) -> list[DedupeEvent]:
        if not self.commit.log_is_down(now) or not self._may_run(entry, now):
            return []
        if not self.rights.unlogged_acknowledged(entry.slot, now):
            return []
        self.tenures[entry.slot].unlogged_ids.add(entry.id_hash)
        return self.runs.permit(entry, now + RUN_PERMIT_S, now)


def _refuse(ask: DedupeAsk, refusal: Refusal) -> OwnerAnswer:
    return answer_ask(ask, RefusedCall(ask.call.call_id, refusal))
