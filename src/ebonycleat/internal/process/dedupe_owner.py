"""Decides, as the owner of idempotency keys, whether a request may run.

Requests on routes that are not idempotent carry a key from their caller. Team
and key form the id of a request, and each id runs at most once. The ids of a
service are divided into slots, and the owner of a slot decides for the ids in
it. An ingress node sends a call to the owner in numbered copies: another copy
follows when one is lost or not taken.

A new owner reads from the log which ids have started. An id that is not there
may run, because the previous owner dispatched an id only after the append of
that id was confirmed while it held the slot.

While the log is unavailable, an owner may run ids "unlogged", without that
append, but only after a majority of its witnesses acked a flag that says so.
The next claim to the slot then carries the flag too, and the next owner treats
every id that it does not know as possibly started.
"""

from collections.abc import Iterable

from ebonycleat.internal.process.dedupe_memory import (
    ID_RETENTION_S,
    PERMIT_LIFETIME_S,
    DedupeLimits,
    IdEntry,
    IdPhase,
)
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases, Tenure
from ebonycleat.internal.process.effects import AppendResult
from ebonycleat.internal.process.id_lifecycle import (
    ALREADY_STARTED,
    MEMORY_FULL,
    DedupeEvent,
    IdLifecycle,
    create_answer,
)
from ebonycleat.internal.process.started_log import (
    GroupCommit,
    StartedGroup,
    StartedIds,
)
from ebonycleat.internal.request.call import CallResult, RefusedCall
from ebonycleat.internal.request.dedupe_tracker import (
    DedupeAsk,
    OwnerAnswer,
    hash_idempotency_key,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)

# Copies of calls that may wait until a new owner has read the log, per slot. A
# service has 64 slots.
MAX_PENDING_ASKS = 256

MAY_HAVE_STARTED = refuse_outcome_unknown(
    Reason.OUTCOME_UNKNOWN,
    'a request with this Idempotency-Key may have started, as the previous '
    'owner of the key ran requests without recording them in the log; check '
    'its effect',
)


class DedupeOwner:
    """Decides for the ids in the slots that this node owns."""

    def __init__(
        self,
        group_commit: GroupCommit,
        leases: DedupeLeases,
        limits: DedupeLimits | None = None,
    ) -> None:
        """Decide for the slots on which ``leases`` reports a valid lease."""
        self.limits = limits or DedupeLimits()
        self.group_commit = group_commit
        self.leases = leases
        self.lifecycle = IdLifecycle(self.limits)
        self.started_ids = StartedIds(
            group_commit, ID_RETENTION_S, self.limits.max_started_ids
        )
        self.tenures: dict[int, Tenure] = {}

    def handle_ask(self, ask: DedupeAsk, now: float) -> list[DedupeEvent]:
        """Decide on one copy of a call.

        While the call waits for a decision, the list contains no reply to it.
        """
        id_hash = hash_idempotency_key(ask.call.team, ask.call.idempotency_key)
        entry = self.lifecycle.memory.entries.get(id_hash)
        if entry is not None and entry.phase is not IdPhase.NOT_RUN:
            # Results of runs on this node stay valid when it loses the slot.
            # Refusing the copy as not taken would be wrong while the id is
            # running.
            return self.lifecycle.handle_repeat(entry, ask, now)
        tenure = self._find_tenure(ask, now)
        if tenure is None:
            return [self.lifecycle.refuse_copy(ask, self.group_commit, now)]
        if not tenure.is_loaded:
            if len(tenure.pending_asks) >= MAX_PENDING_ASKS:
                return [self.lifecycle.refuse_copy(ask, self.group_commit, now)]
            tenure.pending_asks.append(ask)
            return []
        return self._decide(ask, tenure, id_hash, now)

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[DedupeEvent]:
        """Run the ids whose append was confirmed, if their slots are held."""
        events: list[DedupeEvent] = []
        sent_at = self.group_commit.sent_at
        for id_hash in self.group_commit.handle_append_result(
            append_result, now
        ):
            entry = self.lifecycle.memory.entries.get(id_hash)
            if entry is None:
                continue
            tenure = self.tenures.get(entry.slot)
            if tenure is not None:
                tenure.unlogged_ids.discard(id_hash)
            if entry.phase is IdPhase.WAITING and self._may_run(entry, now):
                events.extend(
                    self.lifecycle.permit_run(
                        entry, sent_at + PERMIT_LIFETIME_S, now
                    ),
                )
        events.extend(self.group_commit.next_append(now))
        return events

    def may_dispatch(self, call_id: str, now: float) -> bool:
        """Check once more, at the moment of the dispatch, that a call may run.

        After False the driver must report the call as finished, with a refusal
        whose outcome is ``NOT_RUN``.
        """
        entry = self.lifecycle.running.get(call_id)
        if entry is None or not self._may_run(entry, now):
            return False
        return self.lifecycle.mark_dispatched(entry, now)

    def finish_run(
        self,
        call_id: str,
        result: CallResult,
        now: float,
    ) -> list[DedupeEvent]:
        """Record the result of a run and answer the calls that wait for it.

        After a refusal with the outcome ``NOT_RUN`` the id may run again.
        """
        return self.lifecycle.finish_run(call_id, result, now)

    def handle_slot_gained(
        self,
        tenure: Tenure,
        now: float,
    ) -> list[DedupeEvent]:
        """Start a tenure, or extend the present one under a later epoch.

        A tenure with another first epoch is a new one, even if the loss of the
        slot was not reported: another node may have owned it in between.
        """
        events: list[DedupeEvent] = []
        current = self.tenures.get(tenure.slot)
        if current is not None and current.first_epoch == tenure.first_epoch:
            current.epoch = tenure.epoch
        else:
            events.extend(self.handle_slot_lost(tenure.slot, now))
            self.tenures[tenure.slot] = tenure
        return events + self.tick(now)

    def handle_slot_lost(self, slot: int, now: float) -> list[DedupeEvent]:
        """End the tenure of a slot; ids that ran on this node stay known."""
        tenure = self.tenures.pop(slot, None)
        if tenure is None:
            return []
        events: list[DedupeEvent] = [
            self.lifecycle.refuse_copy(ask, self.group_commit, now)
            for ask in tenure.pending_asks
        ]
        for entry in tuple(self.lifecycle.waiting.values()):
            if entry.slot == slot:
                events.extend(
                    self.lifecycle.refuse_entry(
                        entry,
                        Reason.DEDUPE_UNAVAILABLE,
                        now,
                    ),
                )
        return events

    def apply_started_page(
        self,
        groups: Iterable[StartedGroup],
        read_started_at: float,
        now: float,
        *,
        at_end: bool,
    ) -> list[DedupeEvent]:
        """Add the ids in one page of the ``started`` stream, read in order.

        After a page that reaches the end of the stream all ids are known that
        former owners started in slots that were usable before the read began.
        """
        self.started_ids.add_groups(groups, now)
        events: list[DedupeEvent] = []
        if not at_end:
            return events
        for tenure in self.tenures.values():
            if not tenure.is_loaded and tenure.usable_since <= read_started_at:
                pending_asks = tenure.finish_loading(self.started_ids.gap_until)
                for ask in pending_asks:
                    events.extend(self.handle_ask(ask, now))
        return events

    def tick(self, now: float) -> list[DedupeEvent]:
        """Advance time; call it every 50 ms and at ``group_commit.due_at()``."""
        events: list[DedupeEvent] = []
        for tenure in self.tenures.values():
            if now < tenure.usable_since and self.leases.is_usable(
                tenure.slot,
                now,
            ):
                tenure.mark_usable(now)
                has_gap = now < self.started_ids.gap_until
                tenure.is_loaded = tenure.never_owned and not has_gap
            events.extend(
                self.lifecycle.refuse_copy(ask, self.group_commit, now)
                for ask in tenure.take_expired(now)
            )
        events.extend(self.lifecycle.expire(now))
        self._forget_expired(now)
        for entry in tuple(self.lifecycle.waiting.values()):
            events.extend(self._permit_unlogged(entry, now))
        events.extend(self.group_commit.next_append(now))
        return events

    def needs_unlogged_flag(self, slot: int, now: float) -> bool:
        """Tell whether heartbeats and claims must carry the unlogged flag."""
        tenure = self.tenures.get(slot)
        if tenure is None:
            return False
        if tenure.needs_unlogged_flag(now):
            return True
        return self.group_commit.is_log_down(now) and any(
            entry.slot == slot for entry in self.lifecycle.waiting.values()
        )

    def _decide(
        self,
        ask: DedupeAsk,
        tenure: Tenure,
        id_hash: bytes,
        now: float,
    ) -> list[DedupeEvent]:
        entry = self.lifecycle.memory.entries.get(id_hash)
        if entry is None:
            entry = IdEntry(id_hash, ask.slot)
        elif 0 < ask.attempt <= entry.refused_attempt:
            return self.lifecycle.handle_repeat(entry, ask, now)
        # An id that this node refused as not run in an earlier tenure may have
        # started at another owner since, so it is checked like a new one.
        if entry.tenure_epoch != tenure.first_epoch:
            refusal = self._refuse_new_id(id_hash, tenure, now)
            if refusal is not None:
                return [_create_refused_answer(ask, refusal)]
            entry.tenure_epoch = tenure.first_epoch
        self.lifecycle.start_waiting(entry, ask)
        self.group_commit.add(id_hash)
        events: list[DedupeEvent] = []
        events.extend(self.group_commit.next_append(now))
        events.extend(self._permit_unlogged(entry, now))
        return events

    def _refuse_new_id(
        self,
        id_hash: bytes,
        tenure: Tenure,
        now: float,
    ) -> Refusal | None:
        if id_hash in self.started_ids:
            return ALREADY_STARTED
        if now < max(tenure.unknown_until, self.started_ids.evicted_until):
            return MAY_HAVE_STARTED
        return MEMORY_FULL if self.lifecycle.memory.is_full else None

    def _find_tenure(self, ask: DedupeAsk, now: float) -> Tenure | None:
        tenure = self.tenures.get(ask.slot)
        if tenure is None or not tenure.includes_epoch(ask.epoch):
            return None
        if self.lifecycle.refused_copies.includes(
            ask.call.call_id, ask.copy_number
        ):
            return None
        return tenure if self.leases.is_usable(ask.slot, now) else None

    def _may_run(self, entry: IdEntry, now: float) -> bool:
        tenure = self.tenures.get(entry.slot)
        if tenure is None or tenure.first_epoch != entry.tenure_epoch:
            return False
        return self.leases.is_usable(entry.slot, now)

    def _forget_expired(self, now: float) -> None:
        # Forgotten ids are also removed from the queue of ``group_commit``,
        # which would otherwise grow without limit in a long outage of the log.
        self.started_ids.expire(now)
        for entry in self.lifecycle.memory.expire(now):
            self.group_commit.discard(entry.id_hash)
            tenure = self.tenures.get(entry.slot)
            if tenure is not None:
                tenure.unlogged_ids.discard(entry.id_hash)

    def _permit_unlogged(
        self,
        entry: IdEntry,
        now: float,
    ) -> list[DedupeEvent]:
        if not self.group_commit.is_log_down(now) or not self._may_run(
            entry, now
        ):
            return []
        if not self.leases.is_unlogged_acknowledged(entry.slot, now):
            return []
        self.tenures[entry.slot].unlogged_ids.add(entry.id_hash)
        return self.lifecycle.permit_run(entry, now + PERMIT_LIFETIME_S, now)


def _create_refused_answer(ask: DedupeAsk, refusal: Refusal) -> OwnerAnswer:
    return create_answer(ask, RefusedCall(ask.call.call_id, refusal))
