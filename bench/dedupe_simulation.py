"""Simulated clock, log and leases for tests of dedupe decisions.

The log can lose answers, write records late and be down. Nothing in this
module decides about ids. ``bench.dedupe_ownership`` assigns the slots.
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


# Time, order of scheduling, callback and its arguments. Schedules spend most of
# their time comparing these, and plain tuples compare faster than any class.
ScheduledCall: TypeAlias = tuple[float, int, Action, tuple[object, ...]]


class Clock:
    """Runs callbacks in order of their time, without waiting in real time."""

    def __init__(self) -> None:
        """Start at zero seconds."""
        self.now: float = 0
        self.order = itertools.count()
        self.queue: list[ScheduledCall] = []

    def after(
        self,
        delay_s: float,
        action: Action,
        *arguments: object,
    ) -> None:
        """Call ``action`` with ``arguments`` in ``delay_s`` seconds."""
        at = self.now + delay_s
        scheduled_call = (at, next(self.order), action, arguments)
        heapq.heappush(self.queue, scheduled_call)

    def run_until(self, end: float) -> None:
        """Run all callbacks that are due up to ``end``."""
        while self.queue and self.queue[0][0] <= end:
            scheduled_call = heapq.heappop(self.queue)
            self.now = scheduled_call[0]
            scheduled_call[2](*scheduled_call[3])
        self.now = end


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault from ``start`` to ``end``.

    ``subject`` names the node that it affects; it is empty for the log.
    """

    kind: str
    subject: str
    start: float
    end: float


class Faults:
    """The planned faults of a schedule."""

    def __init__(self, clock: Clock, planned: tuple[Fault, ...]) -> None:
        """Index the faults by kind and subject."""
        self.clock = clock
        self.by_subject: dict[tuple[str, str], list[Fault]] = {}
        for fault in planned:
            matching_faults = self.by_subject.setdefault(
                (fault.kind, fault.subject), []
            )
            matching_faults.append(fault)

    def active(self, kind: str, subject: str = '') -> bool:
        """Tell whether a fault of this kind affects the subject now."""
        return self.end_of(kind, subject) > self.clock.now

    def end_of(self, kind: str, subject: str = '') -> float:
        """Return the latest end of the faults that have begun; it may be past."""
        faults = self.by_subject.get((kind, subject))
        if faults is None:
            return -math.inf
        now = self.clock.now
        ends = [fault.end for fault in faults if fault.start <= now]
        return max(ends, default=-math.inf)


class FakeLog:
    """The ``started`` stream, with a limited append rate and lost answers."""

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
        """Append a group; ``reply`` receives the ``AppendResult``."""
        down_until = max(
            self.faults.end_of('log-down'),
            self.faults.end_of('isolated', effect.record.node),
        )
        if down_until > self.clock.now:
            self._fail_while_down(effect, reply, down_until)
            return
        self.appends += 1
        self.free_at = max(self.free_at, self.clock.now) + 1 / self.rate_per_s
        written_after_s = self.free_at - self.clock.now + self.latency_s / 2
        if self.faults.active('log-slow'):
            written_after_s += self.rng.uniform(0, 8)
        operation_id = effect.operation_id
        self.clock.after(written_after_s, self.groups.append, effect.record)
        if (
            self.faults.active('log-loses-answers')
            and self.rng.random() < 1 / 2
        ):
            failed = AppendFailed(operation_id, may_have_taken_effect=True)
            self.clock.after(1, reply, failed)
            return
        confirmed = AppendConfirmed(operation_id, len(self.groups))
        self.clock.after(written_after_s + self.latency_s / 2, reply, confirmed)

    def read(self, offset: int, reply: Action) -> None:
        """Read a page.

        ``reply`` receives the groups, the next offset and whether the page
        reaches the end of the stream.
        """
        if self.faults.active('log-down'):
            self.clock.after(1 / 10, reply, (), offset, False)
            return
        one_way_s = self.latency_s / 2
        if self.faults.active('log-slow'):
            one_way_s += self.rng.uniform(0, 2)
        self.clock.after(one_way_s, self._serve_page, offset, one_way_s, reply)

    def _serve_page(self, offset: int, one_way_s: float, reply: Action) -> None:
        page = tuple(self.groups[offset : offset + PAGE_LENGTH])
        next_offset = offset + len(page)
        at_end = next_offset == len(self.groups)
        self.clock.after(one_way_s, reply, page, next_offset, at_end)

    def _fail_while_down(
        self,
        effect: AppendToLog,
        reply: Action,
        down_until: float,
    ) -> None:
        # Half of the requests were received before the log became unreachable;
        # their records are written when it is reachable again.
        is_received = self.rng.random() < 1 / 2
        if is_received:
            wait_s = down_until - self.clock.now
            written_after_s = wait_s + self.rng.uniform(0, 3)
            self.clock.after(written_after_s, self.groups.append, effect.record)
        failed = AppendFailed(effect.operation_id, is_received)
        self.clock.after(self.rng.choice((1 / 100, 1)), reply, failed)


class NodeClock:
    """The clock of one VM, with an offset and a rate within the drift."""

    def __init__(self, clock: Clock, offset_s: float, rate: float) -> None:
        """Create a clock that runs ``rate`` seconds per simulated second."""
        self.clock = clock
        self.offset_s = offset_s
        self.rate = rate

    @property
    def now(self) -> float:
        """Return the seconds on this VM's clock."""
        return self.offset_s + self.clock.now * self.rate


@dataclasses.dataclass
class SlotLease:
    """A node's lease of a slot; all times are on the node's own clock."""

    epoch: int
    wait_until: float
    lease_until: float = -math.inf
    acknowledged_flag: bool = False


class NodeLeases(DedupeLeases):
    """The leases of one incarnation of a node."""

    def __init__(self) -> None:
        """Start without leases."""
        self.held: dict[int, SlotLease] = {}

    def is_usable(self, slot: int, now: float) -> bool:
        """Tell whether the lease is valid and the wait after the claim is over."""
        held = self.held.get(slot)
        return held is not None and held.wait_until <= now < held.lease_until

    def is_unlogged_acknowledged(self, slot: int, now: float) -> bool:
        """Tell whether witnesses acknowledged the flag for unlogged starts."""
        held = self.held.get(slot)
        return held is not None and held.acknowledged_flag


@dataclasses.dataclass
class SlotRecord:
    """The owner of a slot according to the log and the witnesses."""

    epoch: int = 0
    owner: str = ''
    incarnation: int = 0
    unlogged: bool = False
    heartbeat: int = 0
    acked_at: float = -math.inf
