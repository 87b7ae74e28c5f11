"""One dedupe owner of the benchmark, with and without the log."""

import abc
import math
import random

from bench.dedupe_simulation import HEARTBEAT_S, Clock, FakeLog
from ebonycleat.internal.process.dedupe_owner import DedupeOwner
from ebonycleat.internal.process.id_lifecycle import DedupeEvent, OfferCall
from ebonycleat.internal.process.dedupe_tenure import DedupeLeases
from ebonycleat.internal.process.effects import AppendResult, AppendToLog
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

# Corda Viva: readiness, payment, catalogue and workbench services.
NODES_BY_SERVICE = (3, 3, 5, 3)


class BenchIngress(abc.ABC):
    """What a node needs of the run that it is part of."""

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
    """No log at all: ids are run from memory, as if it were down."""

    def add(self, id_hash: bytes) -> None:
        """Keep nothing for the log."""

    def is_log_down(self, now: float) -> bool:
        """Always run without the log."""
        return True


class BenchLeases(DedupeLeases):
    """A node that lives holds its slots; flags take a heartbeat."""

    def __init__(self, *, logged: bool) -> None:
        """Hold nothing."""
        self.logged = logged
        self.usable_from: dict[int, float] = {}
        self.flagged_at: dict[int, float] = {}

    def is_usable(self, slot: int, now: float) -> bool:
        """Say if the claimant's wait is over."""
        return now >= self.usable_from.get(slot, math.inf)

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Say if the flag has had time to reach a majority and return."""
        if not self.logged:
            return True
        return now >= self.flagged_at.get(slot, math.inf) + 2 * HOP_S


class BenchNode:
    """One owner with its log client; targets answer after 10 ms."""

    def __init__(
        self,
        run: BenchIngress,
        name: str,
        service: str,
    ) -> None:
        """Create the node of one service."""
        self.run = run
        self.service = service
        self.alive = True
        self.offset = 0
        self.woken_at = math.inf
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
        """Advance the decisions, and again."""
        if self.alive:
            self.perform(self.owner.tick(self.run.clock.now))
            self.run.clock.after(TICK_S, self.tick)

    def heartbeat(self) -> None:
        """Set or clear the flag of each slot, and again."""
        now = self.run.clock.now
        for slot in self.leases.usable_from:
            if self.owner.needs_unlogged_flag(slot, now):
                self.leases.flagged_at.setdefault(slot, now)
            else:
                self.leases.flagged_at.pop(slot, None)
        if self.alive:
            self.run.clock.after(HEARTBEAT_S, self.heartbeat)

    def read(self) -> None:
        """Read the started stream."""
        if self.alive and self.run.logged:
            began = self.run.clock.now
            self.run.log.read(
                self.offset,
                lambda *page: self.take(began, *page),
            )

    def take(
        self,
        began: float,
        groups: tuple[StartedGroup, ...],
        following: int,
        at_end: bool,
    ) -> None:
        """Take a page of the started stream."""
        self.offset = following
        now = self.run.clock.now
        self.perform(
            self.owner.apply_started_page(groups, began, now, at_end=at_end),
        )
        self.run.clock.after(TICK_S, self.read)

    def confirm(self, append: AppendResult) -> None:
        """Take the result of an append."""
        if self.alive:
            now = self.run.clock.now
            self.perform(self.owner.handle_append_result(append, now))

    def handle_ask(self, ask: DedupeAsk) -> None:
        """Take a call from the ingress."""
        if self.alive:
            self.perform(self.owner.handle_ask(ask, self.run.clock.now))

    def finish(self, call: Call) -> None:
        """End a run with an answer."""
        if self.alive:
            answer = Answer(call.call_id, 200, body=b'done')
            now = self.run.clock.now
            self.perform(self.owner.finish_run(call.call_id, answer, now))

    def perform(self, events: list[DedupeEvent]) -> None:
        """Do what the decisions ask for, and wake for the next append."""
        for event in events:
            self.carry_out_one(event)
        due_at = self.owner.group_commit.due_at()
        if due_at < self.woken_at or self.woken_at <= self.run.clock.now:
            self.woken_at = due_at
            if due_at < math.inf:
                wait_s = max(due_at - self.run.clock.now, 0)
                self.run.clock.after(wait_s, self.wake)

    def wake(self) -> None:
        """Let the append leave that is due now."""
        if self.alive:
            self.perform(self.owner.tick(self.run.clock.now))

    def carry_out_one(self, event: DedupeEvent) -> None:
        """Do what one event asks for."""
        clock = self.run.clock
        if isinstance(event, AppendToLog):
            self.run.log.append(event, self.confirm)
        elif isinstance(event, OfferCall):
            self.run.record_start(event.call)
            self.owner.may_dispatch(event.call.call_id, clock.now)
            clock.after(SERVICE_S, self.finish, event.call)
        elif isinstance(event, CopyNotTaken):
            clock.after(RETRY_S, self.run.send_copy, event.call_id)
        elif isinstance(event.result, RefusedCall):
            self.run.record_refusal(event.call_id, event.result.refusal.outcome)
