"""The gate alone admits work to the target beside this node.

It decides from what the node itself observes. Every call offered ends in
exactly one event, ``Dispatch`` or ``Refuse``; every refusal made here is
NOT_RUN, because the gate refuses only what it has not dispatched.
"""

import random
from collections.abc import Iterable, Mapping

from ebonycleat.internal.process.concurrency_limit import (
    ConcurrencyLimit,
    create_adaptive_limit,
)
from ebonycleat.internal.process.fair_queue import (
    FairQueue,
    Pace,
    QueuedCall,
)
from ebonycleat.internal.process.gate_events import (
    Dispatch,
    GateEvent,
    GateLoad,
)
from ebonycleat.internal.process.gate_refusals import RefusalWriter
from ebonycleat.internal.process.gate_signals import GateSignals
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.refusal import Reason


class Gate:
    """Queue, limit and admission level of one target."""

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue_limit: int,
        refusals: RefusalWriter,
        *,
        sheds_by_level: bool = True,
    ) -> None:
        """Build an idle gate."""
        self.limit = limit
        self.queue_limit = queue_limit
        self.refusals = refusals
        self.queue = FairQueue()
        self.signals = GateSignals(
            self.queue,
            sheds_by_level=sheds_by_level,
        )
        self.running: dict[str, Call] = {}
        self.draining = False

    @property
    def admission_level(self) -> int:
        """Level to send with answers and heartbeats."""
        return self.signals.advertised_level

    def set_team_weights(self, weights: Mapping[str, float]) -> None:
        """Share the target by these weights, for example team rates."""
        self.queue.set_weights(weights)
        self.signals.shares.weights = dict(weights)

    def offer(self, call: Call, now: float) -> list[GateEvent]:
        """Queue, dispatch or refuse one call; a repeated id is ignored."""
        if call.call_id in self.queue or call.call_id in self.running:
            return []
        if self.takes_at_once(now):
            return [self.start_at_once(call, now)]
        self.update_signals(now)
        entry = self.signals.describe(call, now)
        events = self.refuse_on_arrival(entry, now) or self.enqueue(entry)
        return events + self.start_calls(now)

    def finished(
        self,
        call_id: str,
        outcome: RunOutcome,
        now: float,
    ) -> list[GateEvent]:
        """Free the slot of a dispatched call; unknown ids are ignored."""
        call = self.running.pop(call_id, None)
        if call is None:
            return []
        self.limit.note_outcome(outcome, now)
        if outcome.result is RunResult.SUCCEEDED:
            service_times = self.signals.service_times
            service_times.note(call.route, outcome.service_s, now)
        return self.tick(now)

    def cancel(self, call_id: str, now: float) -> list[GateEvent]:
        """Refuse a queued call whose caller left.

        A running call keeps its slot until ``finished`` reports its end.
        """
        entry = self.queue.by_id.get(call_id)
        return self.refuse_queued(
            [entry] if entry else [],
            Reason.CANCELLED,
            'the caller left while the request was queued',
        )

    def withdraw(self, key_digest: str, now: float) -> list[GateEvent]:
        """Refuse the queued calls that came with a withdrawn key."""
        if not key_digest:
            return []
        return self.refuse_queued(
            [
                entry
                for entry in self.queue
                if entry.call.key_digest == key_digest
            ],
            Reason.WITHDRAWN_KEY,
            'the key was withdrawn while the request was queued',
        )

    def drain(self) -> None:
        """Refuse new calls from now on; running and queued ones finish.

        Queued calls were accepted; sending them elsewhere would use up the
        retries of their requests.
        """
        self.draining = True

    def tick(self, now: float) -> list[GateEvent]:
        """Shed late calls and start what fits; call every 10 to 50 ms."""
        if self.is_plainly_idle():
            self.signals.note_empty_queue()
            return []
        self.update_signals(now)
        return self.start_calls(now)

    def load(self, now: float) -> GateLoad:
        """Summarize the gate for answers and heartbeats."""
        allowed = 0 if self.draining else self.limit.allowed(now)
        service_s = self.signals.service_times.overall_s
        return GateLoad(
            queued=len(self.queue),
            running=len(self.running),
            limit=allowed,
            latency_s=service_s + self.signals.delay_s(allowed),
            admission_level=self.admission_level,
            draining=self.draining,
        )

    def is_plainly_idle(self) -> bool:
        """Whether nothing waits and no level has to follow the time."""
        return not self.queue.by_id and not self.signals.sheds_by_level

    def takes_at_once(self, now: float) -> bool:
        """Whether a call would pass through the queue without waiting.

        Most calls find a free slot. Their way through queue, level and
        shares of teams took a third of the processor time of a gate.
        """
        if self.draining or not self.is_plainly_idle():
            return False
        return len(self.running) < self.limit.allowed(now)

    def start_at_once(self, call: Call, now: float) -> GateEvent:
        """Dispatch a call that finds a free slot and an empty queue."""
        self.signals.note_empty_queue()
        self.refusals.delay_s = 0
        return self.start_in_time(call, 1, now)

    def update_signals(self, now: float) -> None:
        """Bring level, standing overload and Retry-After up to date."""
        allowed = self.limit.allowed(now)
        self.signals.update(allowed, now)
        self.refusals.delay_s = self.signals.delay_s(allowed)

    def refuse_on_arrival(
        self,
        entry: QueuedCall,
        now: float,
    ) -> list[GateEvent]:
        """Refuse what needs no look at the queue; empty when admitted."""
        call = entry.call
        refuse = self.refusals.refuse
        if self.draining:
            return [refuse(call, Reason.DRAINING, 'the target stops')]
        if not self.limit.allowed(now):
            return [refuse(call, Reason.NO_TARGET, 'the target is down')]
        if entry.latest_start <= now:
            return [refuse(call, Reason.DEADLINE, 'too late to start')]
        if not self.signals.admits(entry):
            return [refuse(call, Reason.SHED, 'overload: retry later')]
        return []

    def enqueue(self, entry: QueuedCall) -> list[GateEvent]:
        """Queue a call; when the queue is full, one call must leave.

        Half of the queue is for critical calls: a surge finds the slots
        taken by others, and they must be able to wait that out.
        """
        room = self.queue_limit
        if entry.call.priority is not Priority.CRITICAL:
            room = max(1, room // 2)
        if len(self.queue) < room:
            self.queue.push(entry)
            return []
        victim = self.queue.victim_for(entry)
        if victim is not entry:
            self.queue.remove(victim.call.call_id)
            self.queue.push(entry)
        return [
            self.refusals.refuse(
                victim.call,
                Reason.QUEUE_FULL,
                'the queue is full',
            ),
        ]

    def start_calls(self, now: float) -> list[GateEvent]:
        """Shed the late, refuse all when down, dispatch what fits."""
        events: list[GateEvent] = [
            self.refusals.refuse(late.call, Reason.DEADLINE, 'waited too long')
            for late in self.queue.take_expired(now)
        ]
        allowed = self.limit.allowed(now)
        if not allowed:
            events += self.refuse_queued(
                self.queue,
                Reason.NO_TARGET,
                'the target is down',
            )
        while self.queue and len(self.running) < allowed:
            pace = self.signals.pace(allowed, now)
            events.append(self.start_next(pace, now))
        return events

    def start_next(self, pace: Pace, now: float) -> GateEvent:
        """Dispatch the next call, or shed it if it got too late."""
        entry = self.queue.pop(pace)
        return self.start_in_time(entry.call, entry.cost, now)

    def start_in_time(self, call: Call, cost: float, now: float) -> GateEvent:
        """Dispatch a call, unless its deadline cannot be met any more."""
        if self.signals.latest_start(call, now) <= now:
            return self.refusals.refuse(
                call,
                Reason.DEADLINE,
                'too late to start',
            )
        self.signals.shares.note_dispatch(call.team, cost, now)
        self.signals.level.count_start()
        self.running[call.call_id] = call
        return Dispatch(call)

    def refuse_queued(
        self,
        leaving: Iterable[QueuedCall],
        reason: Reason,
        detail: str,
    ) -> list[GateEvent]:
        """Take these calls out of the queue and refuse them."""
        events: list[GateEvent] = []
        for entry in leaving:
            self.queue.remove(entry.call.call_id)
            events.append(self.refusals.refuse(entry.call, reason, detail))
        return events


def create_gate(
    slots: int,
    queue_limit: int,
    zone: str,
    rng: random.Random,
    limit: ConcurrencyLimit | None = None,
    *,
    sheds_by_level: bool = True,
) -> Gate:
    """Build the gate of one target; its adaptive limit starts cold."""
    return Gate(
        limit or create_adaptive_limit(slots),
        queue_limit,
        RefusalWriter(zone, rng),
        sheds_by_level=sheds_by_level,
    )
