"""A small paused world for dedupe decisions: clock, log, ownership.

Nothing here decides about ids. The log loses answers, lands records late
and goes down; the ownership authority hands each slot to one node at a
time under the lease rules of the design, and can change owners at will.
"""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable
from typing import TypeAlias

from ebonycleat.internal.process.dedupe_tenure import DedupeLeases
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendToLog,
)
from ebonycleat.internal.process.started_log import StartedGroup

LEASE_DURATION_S = 1.5

CLOCK_DRIFT = 0.01

HEARTBEAT_S = 0.3

PAGE_LENGTH = 50


Action = Callable[..., None]


# Time, order of scheduling, callback and its arguments; plain tuples compare
# faster than any class, and the schedules spend their time here.
Due: TypeAlias = tuple[float, int, Action, tuple[object, ...]]


class Clock:
    """Runs callbacks in order of time; time passes only between them."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self.now: float = 0
        self.order = itertools.count()
        self.queue: list[Due] = []

    def after(
        self,
        delay_s: float,
        action: Action,
        *arguments: object,
    ) -> None:
        """Call ``action`` with ``arguments`` in ``delay_s`` seconds."""
        at = self.now + delay_s
        due = (at, next(self.order), action, arguments)
        heapq.heappush(self.queue, due)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to ``end``."""
        while self.queue and self.queue[0][0] <= end:
            due = heapq.heappop(self.queue)
            self.now = due[0]
            due[2](*due[3])
        self.now = end


@dataclasses.dataclass(frozen=True)
class Fault:
    """A time in which one thing fails; ``subject`` is a node or empty."""

    kind: str
    subject: str
    start: float
    end: float


class Faults:
    """Which faults act at which time."""

    def __init__(self, clock: Clock, planned: tuple[Fault, ...]) -> None:
        """Act by the plan."""
        self.clock = clock
        self.by_subject: dict[tuple[str, str], list[Fault]] = {}
        for fault in planned:
            same = self.by_subject.setdefault((fault.kind, fault.subject), [])
            same.append(fault)

    def active(self, kind: str, subject: str = '') -> bool:
        """Say if a fault of the kind acts on the subject now."""
        return self.end_of(kind, subject) > self.clock.now

    def end_of(self, kind: str, subject: str = '') -> float:
        """Return the end of the fault that began last; it may be past."""
        faults = self.by_subject.get((kind, subject))
        if faults is None:
            return -math.inf
        now = self.clock.now
        ends = [fault.end for fault in faults if fault.start <= now]
        return max(ends, default=-math.inf)


class FakeLog:
    """The ``started`` stream; appends queue at a rate, answers get lost."""

    def __init__(
        self,
        clock: Clock,
        faults: Faults,
        rng: random.Random,
        rate_per_s: float = 300,
    ) -> None:
        """Start empty."""
        self.clock = clock
        self.faults = faults
        self.rng = rng
        self.rate_per_s = rate_per_s
        self.latency_s = 0.005
        self.free_at: float = 0
        self.groups: list[StartedGroup] = []
        self.appends = 0

    def append(self, effect: AppendToLog, reply: Action) -> None:
        """Append one group; ``reply`` gets an ``AppendResult``, or never."""
        down_until = max(
            self.faults.end_of('log-down'),
            self.faults.end_of('isolated', effect.record.node),
        )
        if down_until > self.clock.now:
            self._fail_while_down(effect, reply, down_until)
            return
        self.appends += 1
        self.free_at = max(self.free_at, self.clock.now) + 1 / self.rate_per_s
        lands_in = self.free_at - self.clock.now + self.latency_s / 2
        if self.faults.active('log-slow'):
            lands_in += self.rng.uniform(0, 8)
        operation_id = effect.operation_id
        self.clock.after(lands_in, self.groups.append, effect.record)
        if (
            self.faults.active('log-loses-answers')
            and self.rng.random() < 1 / 2
        ):
            failed = AppendFailed(operation_id, may_have_taken_effect=True)
            self.clock.after(1, reply, failed)
            return
        done = AppendConfirmed(operation_id, len(self.groups))
        self.clock.after(lands_in + self.latency_s / 2, reply, done)

    def read(self, offset: int, reply: Action) -> None:
        """Read on; ``reply`` gets groups, the next offset, and if at end."""
        if self.faults.active('log-down'):
            self.clock.after(1 / 10, reply, (), offset, False)
            return
        half_s = self.latency_s / 2
        if self.faults.active('log-slow'):
            half_s += self.rng.uniform(0, 2)
        self.clock.after(half_s, self._look, offset, half_s, reply)

    def _look(self, offset: int, half_s: float, reply: Action) -> None:
        page = tuple(self.groups[offset : offset + PAGE_LENGTH])
        following = offset + len(page)
        at_end = following == len(self.groups)
        self.clock.after(half_s, reply, page, following, at_end)

    def _fail_while_down(
        self,
        effect: AppendToLog,
        reply: Action,
        down_until: float,
    ) -> None:
        # Half of the requests got in before the log became unreachable:
        # they land when it is back.
        landed = self.rng.random() < 1 / 2
        if landed:
            wait_s = down_until - self.clock.now
            lands_in = wait_s + self.rng.uniform(0, 3)
            self.clock.after(lands_in, self.groups.append, effect.record)
        failed = AppendFailed(effect.operation_id, landed)
        self.clock.after(self.rng.choice((1 / 100, 1)), reply, failed)


class NodeClock:
    """The clock of one VM: an offset and a rate within the drift."""

    def __init__(self, clock: Clock, offset_s: float, rate: float) -> None:
        """Run at ``rate`` seconds per true second."""
        self.clock = clock
        self.offset_s = offset_s
        self.rate = rate

    @property
    def now(self) -> float:
        """Seconds on this VM's clock."""
        return self.offset_s + self.clock.now * self.rate


@dataclasses.dataclass
class SlotLease:
    """What one node believes of a slot; all times on its own clock."""

    epoch: int
    wait_until: float
    lease_until: float = -math.inf
    acknowledged_flag: bool = False


class NodeLeases(DedupeLeases):
    """The rights of one incarnation of a node."""

    def __init__(self) -> None:
        """Hold nothing."""
        self.held: dict[int, SlotLease] = {}

    def is_usable(self, slot: int, now: float) -> bool:
        """Say if the lease is valid and the wait of a claimant is over."""
        held = self.held.get(slot)
        return held is not None and held.wait_until <= now < held.lease_until

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Say if the latest heartbeat carried the flag."""
        held = self.held.get(slot)
        return held is not None and held.acknowledged_flag


@dataclasses.dataclass
class SlotRecord:
    """The one owner of a slot, as the log and its witnesses know it."""

    epoch: int = 0
    owner: str = ''
    incarnation: int = 0
    unlogged: bool = False
    heartbeat: int = 0
    acked_at: float = -math.inf
