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
    DispatchRate,
    QueuedCall,
)
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
    GateLoad,
)
from ebonycleat.internal.process.gate_refusals import RefusalFactory
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
        refusal_factory: RefusalFactory,
        *,
        sheds_by_level: bool = True,
    ) -> None:
        """Build an idle gate."""
        self.limit = limit
        self.queue_limit = queue_limit
        self.refusal_factory = refusal_factory
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
        self.signals.team_usage.weights = dict(weights)

    def offer(self, call: Call, now: float) -> list[GateDecision]:
        """Queue, dispatch or refuse one call; a repeated id is ignored."""
        if call.call_id in self.queue or call.call_id in self.running:
            return []
        if self.can_start_immediately(now):
            return [self.start_immediately(call, now)]
        self.update_signals(now)
        entry = self.signals.create_queued_call(call, now)
        events = self.refuse_on_arrival(entry, now) or self.enqueue(entry)
        return events + self.start_queued_calls(now)

    def finish_run(
        self,
        call_id: str,
        outcome: RunOutcome,
        now: float,
    ) -> list[GateDecision]:
        """Free the slot of a dispatched call; unknown ids are ignored."""
        call = self.running.pop(call_id, None)
        if call is None:
            return []
        self.limit.record_outcome(outcome, now)
        if outcome.result is RunResult.SUCCEEDED:
            service_times = self.signals.service_times
            service_times.record(call.route, outcome.service_s, now)
        return self.tick(now)

    def cancel(self, call_id: str, now: float) -> list[GateDecision]:
        """Refuse a queued call whose caller left.

        A running call keeps its slot until ``finished`` reports its end.
        """
        entry = self.queue.by_id.get(call_id)
        return self.refuse_queued(
            [entry] if entry else [],
            Reason.CANCELLED,
            'the caller left while the request was queued',
        )

    def refuse_withdrawn_key(
        self, key_digest: str, now: float
    ) -> list[GateDecision]:
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

    def tick(self, now: float) -> list[GateDecision]:
        """Shed late calls and start what fits; call every 10 to 50 ms."""
        if self.needs_no_update():
            self.signals.record_empty_queue()
            return []
        self.update_signals(now)
        return self.start_queued_calls(now)

    def current_load(self, now: float) -> GateLoad:
        """Summarize the gate for answers and heartbeats."""
        allowed = 0 if self.draining else self.limit.allowed_calls(now)
        service_s = self.signals.service_times.overall_s
        return GateLoad(
            queued=len(self.queue),
            running=len(self.running),
            limit=allowed,
            latency_s=service_s + self.signals.queue_delay_s(allowed),
            admission_level=self.admission_level,
            draining=self.draining,
        )

    def needs_no_update(self) -> bool:
        """Whether nothing waits and no level has to follow the time."""
        return not self.queue.by_id and not self.signals.sheds_by_level

    def can_start_immediately(self, now: float) -> bool:
        """Whether a call would pass through the queue without waiting.

        Most calls find a free slot. Their way through queue, level and
        shares of teams took a third of the processor time of a gate.
        """
        if self.draining or not self.needs_no_update():
            return False
        return len(self.running) < self.limit.allowed_calls(now)

    def start_immediately(self, call: Call, now: float) -> GateDecision:
        """Dispatch a call that finds a free slot and an empty queue."""
        self.signals.record_empty_queue()
        self.refusal_factory.queue_delay_s = 0
        return self.start_or_refuse(call, 1, now)

    def update_signals(self, now: float) -> None:
        """Bring level, standing overload and Retry-After up to date."""
        allowed = self.limit.allowed_calls(now)
        self.signals.update(allowed, now)
        self.refusal_factory.queue_delay_s = self.signals.queue_delay_s(allowed)

    def refuse_on_arrival(
        self,
        entry: QueuedCall,
        now: float,
    ) -> list[GateDecision]:
        """Refuse what needs no look at the queue; empty when admitted."""
        call = entry.call
        refuse = self.refusal_factory.refuse
        if self.draining:
            return [refuse(call, Reason.DRAINING, 'the target stops')]
        if not self.limit.allowed_calls(now):
            return [refuse(call, Reason.NO_TARGET, 'the target is down')]
        if entry.latest_start <= now:
            return [refuse(call, Reason.DEADLINE, 'too late to start')]
        if not self.signals.admits(entry):
            return [refuse(call, Reason.SHED, 'overload: retry later')]
        return []

    def enqueue(self, entry: QueuedCall) -> list[GateDecision]:
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
        victim = self.queue.choose_eviction(entry)
        if victim is not entry:
            self.queue.remove(victim.call.call_id)
            self.queue.push(entry)
        return [
            self.refusal_factory.refuse(
                victim.call,
                Reason.QUEUE_FULL,
                'the queue is full',
            ),
        ]

    def start_queued_calls(self, now: float) -> list[GateDecision]:
        """Shed the late, refuse all when down, dispatch what fits."""
        events: list[GateDecision] = [
            self.refusal_factory.refuse(
                late.call, Reason.DEADLINE, 'waited too long'
            )
            for late in self.queue.pop_expired(now)
        ]
        allowed = self.limit.allowed_calls(now)
        if not allowed:
            events += self.refuse_queued(
                self.queue,
                Reason.NO_TARGET,
                'the target is down',
            )
        while self.queue and len(self.running) < allowed:
            pace = self.signals.dispatch_rate(allowed, now)
            events.append(self.start_next_queued(pace, now))
        return events

    def start_next_queued(self, pace: DispatchRate, now: float) -> GateDecision:
        """Dispatch the next call, or shed it if it got too late."""
        entry = self.queue.pop(pace)
        return self.start_or_refuse(entry.call, entry.cost, now)

    def start_or_refuse(
        self, call: Call, cost: float, now: float
    ) -> GateDecision:
        """Dispatch a call, unless its deadline cannot be met any more."""
        if self.signals.latest_start(call, now) <= now:
            return self.refusal_factory.refuse(
                call,
                Reason.DEADLINE,
                'too late to start',
            )
        self.signals.team_usage.record_dispatch(call.team, cost, now)
        self.signals.level.count_started()
        self.running[call.call_id] = call
        return DispatchCall(call)

    def refuse_queued(
        self,
        leaving: Iterable[QueuedCall],
        reason: Reason,
        detail: str,
    ) -> list[GateDecision]:
        """Take these calls out of the queue and refuse them."""
        events: list[GateDecision] = []
        for entry in leaving:
            self.queue.remove(entry.call.call_id)
            events.append(
                self.refusal_factory.refuse(entry.call, reason, detail)
            )
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
        RefusalFactory(zone, rng),
        sheds_by_level=sheds_by_level,
    )
