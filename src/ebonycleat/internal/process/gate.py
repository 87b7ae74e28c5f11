"""The gate: decides which calls run at a node's target, and when.

All calls to the target pass the gate, which decides by what its own node
observes. Each call that is offered gets exactly one decision, ``DispatchCall``
or ``RefuseCall``. Every refusal has the outcome NOT_RUN, because the gate
refuses only calls that it has not dispatched.
"""

import math
import random
from collections.abc import Iterable, Mapping

from ebonycleat.internal.process.concurrency_limit import (
    ConcurrencyLimit,
    create_adaptive_limit,
)
from ebonycleat.internal.process.fair_queue import (
    DispatchRate,
    FairQueue,
    QueuedCall,
)
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
    GateLoad,
)
from ebonycleat.internal.process.gate_refusals import RefusalFactory
from ebonycleat.internal.process.gate_signals import GateSignals
from ebonycleat.internal.process.placement.move_decision import (
    MOVE_CHECK_INTERVAL_S,
    find_late_calls,
    starts_too_late,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.refusal import Reason

EVACUATED_DETAIL = 'the zone of the target is evacuated'


class Gate:
    """Queue, concurrency limit and admission level of one target.

    While ``is_evacuated`` is true, all calls that have not started are refused.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue_limit: int,
        refusal_factory: RefusalFactory,
        *,
        sheds_by_level: bool = True,
    ) -> None:
        """Create an idle gate.

        ``queue_limit`` is the maximum length of the queue. Without
        ``sheds_by_level`` no call is refused by the admission level.
        """
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
        self.early_refusals = 0
        self.next_move_check_at: float = 0
        self.handed_back = 0
        self.is_evacuated = False

    @property
    def admission_level(self) -> int:
        """Admission level to send with answers and heartbeats."""
        return self.signals.reported_level

    def set_team_rates(self, rates: Mapping[str, float]) -> None:
        """Share the target between teams by their rates; 0 means no limit."""
        weights = self.signals.team_usage.weights
        weights.set_rates(rates)
        self.queue.set_weights({team: weights.weight(team) for team in rates})

    def offer(self, call: Call, now: float) -> list[GateDecision]:
        """Queue, dispatch or refuse one call; ignore a call already here.

        The result also has the decisions on other calls that follow from it.
        """
        if call.call_id in self.queue or call.call_id in self.running:
            return []
        if self.can_start_immediately(now):
            return [self.start_immediately(call, now)]
        self.update_signals(now)
        entry = self.signals.create_queued_call(call, now)
        decisions = (
            self.refuse_on_arrival(entry, now)
            or self.hand_back_on_arrival(entry, now)
            or self.refuse_long_wait(entry, now)
            or self.enqueue(entry, now)
        )
        return decisions + self.start_queued_calls(now)

    def finish_run(
        self,
        call_id: str,
        outcome: RunOutcome,
        now: float,
    ) -> list[GateDecision]:
        """Free the slot of a dispatched call; ignore an unknown id."""
        call = self.running.pop(call_id, None)
        if call is None:
            return []
        self.signals.warm_up.record_end(call_id)
        self.limit.record_outcome(outcome, now)
        if outcome.result is RunResult.SUCCEEDED:
            service_times = self.signals.service_times
            service_times.record(call.route, outcome.service_s, now)
        return self.tick(now)

    def cancel(self, call_id: str, now: float) -> list[GateDecision]:
        """Refuse a queued call whose caller has disconnected.

        A running call keeps its slot until ``finish_run`` reports its end.
        """
        entry = self.queue.by_id.get(call_id)
        return self.refuse_queued(
            [entry] if entry else [],
            Reason.CANCELLED,
            'the caller disconnected while the request was queued',
        )

    def refuse_withdrawn_key(
        self, key_digest: str, now: float
    ) -> list[GateDecision]:
        """Refuse the queued calls that came with a withdrawn key.

        An empty digest is that of calls without a key, and refuses none.
        """
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
        """Refuse new calls from now on; queued and running calls finish.

        Queued calls are not refused, because sending them to another node
        would use up retries of their requests.
        """
        self.draining = True

    def tick(self, now: float) -> list[GateDecision]:
        """Refuse expired calls and dispatch those that can start.

        It should be called every 10 to 50 ms.
        """
        if self.needs_no_update():
            self.signals.record_empty_queue()
            return []
        self.update_signals(now)
        return self.start_queued_calls(now) + self.hand_back_queued(now)

    def current_load(self, now: float) -> GateLoad:
        """Return the load to report with answers and heartbeats."""
        is_closed = self.draining or self.is_evacuated
        allowed = 0 if is_closed else self.limit.allowed_calls(now)
        service_s = self.signals.service_times.overall_s
        return GateLoad(
            queued=len(self.queue),
            running=len(self.running),
            limit=0 if is_closed else math.ceil(self.usable_slots(now)),
            latency_s=service_s + self.signals.queue_delay_s(allowed),
            admission_level=self.admission_level,
            draining=self.draining,
        )

    def usable_slots(self, now: float) -> float:
        """Return how many calls run at most, by slots and by start rate."""
        return self.signals.usable_slots(self.limit.allowed_calls(now))

    def needs_no_update(self) -> bool:
        """Tell whether no call waits and no admission level is adapted."""
        return not self.queue.by_id and not self.signals.sheds_by_level

    def can_start_immediately(self, now: float) -> bool:
        """Tell whether a new call can skip the queue.

        Most calls find a free slot and an empty queue. Taking them through
        the queue, the admission level and the teams' shares used a third of
        a gate's processor time.
        """
        if self.draining or self.is_evacuated:
            return False
        if not self.needs_no_update():
            return False
        if len(self.running) >= self.limit.allowed_calls(now):
            return False
        return self.signals.may_start(now)

    def start_immediately(self, call: Call, now: float) -> GateDecision:
        """Dispatch a call that skips the queue."""
        self.signals.record_empty_queue()
        self.refusal_factory.queue_delay_s = 0
        return self.start_or_refuse(call, 1, now)

    def update_signals(self, now: float) -> None:
        """Update the level, the standing queue and the Retry-After delay."""
        allowed = self.limit.allowed_calls(now)
        self.signals.update(allowed, now)
        self.refusal_factory.queue_delay_s = self.signals.queue_delay_s(allowed)

    def refuse_on_arrival(
        self,
        entry: QueuedCall,
        now: float,
    ) -> list[GateDecision]:
        """Refuse a call that must not be queued; return [] if it may be."""
        call = entry.call
        refuse = self.refusal_factory.refuse
        if self.is_evacuated:
            return [refuse(call, Reason.EVACUATED, EVACUATED_DETAIL)]
        if self.draining:
            return [refuse(call, Reason.DRAINING, 'the target is draining')]
        if not self.limit.allowed_calls(now):
            return [refuse(call, Reason.NO_TARGET, 'the target is down')]
        if entry.latest_start <= now:
            return [
                refuse(
                    call,
                    Reason.DEADLINE,
                    'the time left does not cover the expected service time',
                ),
            ]
        if not self.signals.admits(entry):
            return [
                refuse(
                    call,
                    Reason.SHED,
                    'the target is overloaded; retry later',
                ),
            ]
        return []

    def refuse_long_wait(
        self, entry: QueuedCall, now: float
    ) -> list[GateDecision]:
        """Refuse a call that would wait beyond its latest start.

        Another gate may have a shorter queue, so the reason is the same as
        that of a full queue. The rate of starts cannot be estimated while a
        trial call runs.
        """
        allowed = self.limit.allowed_calls(now)
        slots = self.usable_slots(now)
        is_trial = allowed < min(2, self.limit.slots)
        if self.signals.sheds_by_level or len(self.queue) < slots or is_trial:
            return []
        backlog = self.signals.estimate_backlog(entry, allowed, now)
        if not backlog.is_too_long(slots):
            return []
        self.early_refusals += 1
        return [
            self.refusal_factory.refuse(
                entry.call,
                Reason.QUEUE_FULL,
                f'{backlog.calls_ahead:.0f} calls start before this one and '
                f'need {backlog.needed_s:.2f} s, but it must start within '
                f'{backlog.time_left_s:.2f} s; retry later',
                backlog.drain_s(),
            ),
        ]

    def hand_back_on_arrival(
        self, entry: QueuedCall, now: float
    ) -> list[GateDecision]:
        """Hand back a call that would start too late; return [] if it stays.

        Without a move left a call stays.
        """
        call = entry.call
        if not call.moves_left:
            return []
        allowed = self.limit.allowed_calls(now)
        ahead = round(self.queue.count_ahead(entry))
        interval_s = self.signals.start_interval_s(allowed)
        if not starts_too_late(entry, ahead, interval_s, now):
            return []
        self.handed_back += 1
        return [
            self.refusal_factory.refuse(
                call,
                Reason.ELSEWHERE,
                f'{ahead} calls are ahead; another target may start it sooner',
            ),
        ]

    def hand_back_queued(self, now: float) -> list[GateDecision]:
        """Hand back the queued calls that start too late and may be moved."""
        if now < self.next_move_check_at or not self.queue.by_id:
            return []
        self.next_move_check_at = now + MOVE_CHECK_INTERVAL_S
        allowed = self.limit.allowed_calls(now)
        late = find_late_calls(
            self.queue,
            self.signals.start_interval_s(allowed),
            now,
        )
        self.handed_back += len(late)
        return self.refuse_queued(
            late,
            Reason.ELSEWHERE,
            'other calls took its place in the queue, or the target became slow',
        )

    def enqueue(self, entry: QueuedCall, now: float) -> list[GateDecision]:
        """Queue a call; when the queue is full, refuse one call instead.

        Half of the queue is reserved for critical calls. A surge of them
        finds the slots taken by other calls, and must be able to wait until
        those have finished.
        """
        capacity = self.queue_limit
        if entry.call.priority is not Priority.CRITICAL:
            capacity = max(1, capacity // 2)
        if len(self.queue) < capacity:
            self.queue.push(entry)
            return []
        evicted = self.queue.choose_eviction(entry)
        if evicted is not entry:
            self.queue.remove(evicted.call.call_id)
            self.queue.push(entry)
        drain_s = None
        if not self.signals.sheds_by_level:
            allowed = self.limit.allowed_calls(now)
            drain_s = self.signals.estimate_backlog(
                evicted, allowed, now
            ).drain_s()
        return [
            self.refusal_factory.refuse(
                evicted.call,
                Reason.QUEUE_FULL,
                'the queue of the target is full; retry later',
                drain_s,
            ),
        ]

    def start_queued_calls(self, now: float) -> list[GateDecision]:
        """Refuse expired calls, or all if the target is down; start others."""
        decisions: list[GateDecision] = [
            self.refusal_factory.refuse(
                expired.call,
                Reason.DEADLINE,
                'waited in the queue until too late to meet the deadline',
            )
            for expired in self.queue.pop_expired(now)
        ]
        if self.is_evacuated:
            decisions += self.refuse_queued(
                self.queue, Reason.EVACUATED, EVACUATED_DETAIL
            )
        allowed = self.limit.allowed_calls(now)
        if not allowed:
            decisions += self.refuse_queued(
                self.queue,
                Reason.NO_TARGET,
                'the target is down',
            )
        while self.queue and len(self.running) < allowed:
            if not self.signals.may_start(now):
                break
            rate = self.signals.dispatch_rate(allowed, now)
            decisions.append(self.start_next_queued(rate, now))
        return decisions

    def start_next_queued(self, rate: DispatchRate, now: float) -> GateDecision:
        """Dispatch the next call of the queue, or refuse it if too late."""
        entry = self.queue.pop(rate)
        return self.start_or_refuse(entry.call, entry.cost, now)

    def start_or_refuse(
        self, call: Call, cost: float, now: float
    ) -> GateDecision:
        """Dispatch a call, or refuse it if it cannot meet its deadline."""
        if self.signals.latest_start(call, now) <= now:
            return self.refusal_factory.refuse(
                call,
                Reason.DEADLINE,
                'the time left does not cover the expected service time',
            )
        self.signals.team_usage.record_dispatch(call.team, cost, now)
        self.signals.level.count_started()
        has_start_token = self.signals.record_start(call.call_id)
        self.running[call.call_id] = call
        return DispatchCall(call, has_start_token)

    def refuse_queued(
        self,
        entries: Iterable[QueuedCall],
        reason: Reason,
        detail: str,
    ) -> list[GateDecision]:
        """Take these calls out of the queue and refuse them."""
        decisions: list[GateDecision] = []
        for entry in entries:
            self.queue.remove(entry.call.call_id)
            decisions.append(
                self.refusal_factory.refuse(entry.call, reason, detail)
            )
        return decisions


def create_gate(
    slots: int,
    queue_limit: int,
    zone: str,
    rng: random.Random,
    limit: ConcurrencyLimit | None = None,
    *,
    sheds_by_level: bool = True,
) -> Gate:
    """Create the gate of one target.

    Without ``limit`` it has an adaptive limit, which begins with a slow
    start.
    """
    return Gate(
        limit or create_adaptive_limit(slots),
        queue_limit,
        RefusalFactory(zone, rng),
        sheds_by_level=sheds_by_level,
    )
