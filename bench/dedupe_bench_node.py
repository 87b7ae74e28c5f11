"""A node of the dedupe benchmark that owns slots, with or without the log."""

import abc
import math
import random

from bench.dedupe_simulation import HEARTBEAT_S, Clock, FakeLog
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases
from ebonycleat.internal.process.effects import AppendResult, AppendToLog
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.started_log import (
    GroupCommit,
    StartedGroup,
    group_interval_s,
)
from ebonycleat.internal.request.call import Answer, Call, RefusedCall
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    DedupeAsk,
)
from ebonycleat.internal.request.refusal import Outcome

TICK_S = 0.05

HOP_S = 0.001

SERVICE_S = 0.01

RETRY_S = 0.1

# Nodes of the readiness, payment, catalogue and workbench services at the
# Corda Viva site.
NODES_BY_SERVICE = (3, 3, 5, 3)


class BenchIngress(abc.ABC):
    """The run that a node belongs to, as far as the node uses it."""

    clock: Clock
    log: FakeLog
    rng: random.Random
    logged: bool

    @abc.abstractmethod
    def send_copy(self, call_id: str) -> None:
        """Send the next copy of a call."""

    @abc.abstractmethod
    def record_start(self, call: Call) -> None:
        """Record that a call reached its gate."""

    @abc.abstractmethod
    def record_refusal(self, call_id: str, outcome: Outcome) -> None:
        """Record a refusal."""


class UnavailableLogCommit(GroupCommit):
    """A group commit that behaves as if the log were always down.

    Calls start from memory alone, without a logged id.
    """

    def add(self, id_hash: bytes) -> None:
        """Ignore the id, since nothing is appended."""

    def is_log_down(self, now: float) -> bool:
        """Return ``True``, so that calls start without the log."""
        return True


class BenchLeases(DedupeLeases):
    """Leases that last as long as the node.

    The flag for unlogged starts is acknowledged one round trip after the
    heartbeat that sets it.
    """

    def __init__(self, *, logged: bool) -> None:
        """Start without leases."""
        self.logged = logged
        self.usable_from: dict[int, float] = {}
        self.flagged_at: dict[int, float] = {}

    def is_usable(self, slot: int, now: float) -> bool:
        """Tell whether the wait after the claim is over."""
        return now >= self.usable_from.get(slot, math.inf)

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Tell whether the flag has had time for a round trip to a majority."""
        if not self.logged:
            return True
        return now >= self.flagged_at.get(slot, math.inf) + 2 * HOP_S


class BenchNode:
    """A slot owner with its log client; targets answer after 10 ms."""

    def __init__(
        self,
        run: BenchIngress,
        name: str,
        service: str,
    ) -> None:
        """Create a node of a service and start its periodic work."""
        self.run = run
        self.service = service
        self.alive = True
        self.offset = 0
        self.wake_at = math.inf
        self.leases = BenchLeases(logged=run.logged)
        commit_class = GroupCommit if run.logged else UnavailableLogCommit
        interval_s = group_interval_s(sum(NODES_BY_SERVICE))
        commit = commit_class(name, 1, service, interval_s)
        self.owner = DedupeOwner(commit, self.leases)
        start_s = run.rng.uniform(0, TICK_S)
        run.clock.after(start_s, self.tick)
        run.clock.after(start_s, self.heartbeat)
        run.clock.after(start_s, self.read)

    def tick(self) -> None:
        """Tick the owner, and schedule the next tick."""
        if self.alive:
            self.perform(self.owner.tick(self.run.clock.now))
            self.run.clock.after(TICK_S, self.tick)

    def heartbeat(self) -> None:
        """Set or clear the flag of each slot; schedule the next heartbeat."""
        now = self.run.clock.now
        for slot in self.leases.usable_from:
            if self.owner.needs_unlogged_flag(slot, now):
                self.leases.flagged_at.setdefault(slot, now)
            else:
                self.leases.flagged_at.pop(slot, None)
        if self.alive:
            self.run.clock.after(HEARTBEAT_S, self.heartbeat)

    def read(self) -> None:
        """Read the next page of the stream of started ids."""
        if self.alive and self.run.logged:
            started_at = self.run.clock.now
            self.run.log.read(
                self.offset,
                lambda *page: self.apply_page(started_at, *page),
            )

    def apply_page(
        self,
        started_at: float,
        groups: tuple[StartedGroup, ...],
        next_offset: int,
        at_end: bool,
    ) -> None:
        """Apply a page of the stream of started ids."""
        self.offset = next_offset
        now = self.run.clock.now
        self.perform(
            self.owner.apply_started_page(
                groups, started_at, now, at_end=at_end
            ),
        )
        self.run.clock.after(TICK_S, self.read)

    def handle_append_result(self, append_result: AppendResult) -> None:
        """Pass the result of an append to the owner."""
        if self.alive:
            now = self.run.clock.now
            self.perform(self.owner.handle_append_result(append_result, now))

    def handle_ask(self, ask: DedupeAsk) -> None:
        """Pass a copy of a call from the ingress to the owner."""
        if self.alive:
            self.perform(self.owner.handle_ask(ask, self.run.clock.now))

    def finish(self, call: Call) -> None:
        """Answer a call at the end of its service time."""
        if self.alive:
            answer = Answer(call.call_id, 200, body=b'done')
            now = self.run.clock.now
            self.perform(self.owner.finish_run(call.call_id, answer, now))

    def perform(self, events: list[DedupeEvent]) -> None:
        """Perform the events of the owner; schedule the next group append."""
        for event in events:
            self.perform_event(event)
        due_at = self.owner.group_commit.due_at()
        if due_at < self.wake_at or self.wake_at <= self.run.clock.now:
            self.wake_at = due_at
            if due_at < math.inf:
                wait_s = max(due_at - self.run.clock.now, 0)
                self.run.clock.after(wait_s, self.tick_for_append)

    def tick_for_append(self) -> None:
        """Tick the owner when a group append is due."""
        if self.alive:
            self.perform(self.owner.tick(self.run.clock.now))

    def perform_event(self, event: DedupeEvent) -> None:
        """Perform one event of the owner."""
        clock = self.run.clock
        if isinstance(event, AppendToLog):
            self.run.log.append(event, self.handle_append_result)
        elif isinstance(event, OfferCall):
            self.run.record_start(event.call)
            self.owner.may_dispatch(event.call.call_id, clock.now)
            clock.after(SERVICE_S, self.finish, event.call)
        elif isinstance(event, CopyNotTaken):
            clock.after(RETRY_S, self.run.send_copy, event.call_id)
        elif isinstance(event.result, RefusedCall):
            self.run.record_refusal(event.call_id, event.result.refusal.outcome)
