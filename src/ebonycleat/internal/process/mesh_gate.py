"""The only way to the target beside a node.

Peers and the own entry offer calls; the gate queues, refuses or sends them.
What it refuses has reached no target, so a refusal costs nobody a repeat.
The last check of key, time and target is made here, right before a send.
"""

from collections.abc import Callable, Iterable

from ebonycleat.internal.connection.http_messages import encode_request
from ebonycleat.internal.connection.http_sends import (
    ANY_FRESHNESS_S,
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
    SendResult,
)
from ebonycleat.internal.connection.mesh_ports import (
    TargetRequest,
    TargetWord,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.crash_counts import CrashCounts
from ebonycleat.internal.process.crash_suspects import fingerprint_call
from ebonycleat.internal.process.decision_log import DecisionLog
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_calls import (
    OTHER_SERVICE,
    SHED_RETRY_S,
    TARGET_SHED,
    GateCall,
    Held,
    ResultHandler,
    TargetWay,
    refusal_of,
    run_result_of,
)
from ebonycleat.internal.process.gate_events import (
    Dispatch,
    GateEvent,
)
from ebonycleat.internal.process.pressure import GatePressure
from ebonycleat.internal.process.route_costs import RouteCosts
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.told_loads import ToldLoads
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

QUEUE_PER_SLOT = 8
"""Calls that may wait for each slot. Calls that can no longer meet their
deadline leave the queue before it is full."""

UNREPEATABLE_FRESHNESS_S = 0.15
"""A request that must not be sent twice goes on a connection that was used
just now: an older one may have been closed while the request is written."""

CRASH_RETRY_S = 600.0
"""A request that ends targets is not wanted back soon."""

ROOM_REASONS = frozenset((
    Reason.QUEUE_FULL,
    Reason.DEADLINE,
    Reason.SHED,
))


class MeshGate:
    """Decides with a ``Gate``, and moves the calls that it lets pass."""

    def __init__(
        self,
        gate: Gate,
        limit: DeclaredLimit,
        way: TargetWay,
        holder: ConfigurationHolder,
        log: DecisionLog,
        clock: Callable[[], float],
        time_of_day_ms: Callable[[], int],
    ) -> None:
        """Guard a target; ``clock`` is in seconds.

        ``time_of_day_ms`` only orders starts of the target, which tells them
        by the time of day.
        """
        self.gate = gate
        self.limit = limit
        self.target = way.target
        self.pool = way.pool
        self.dialect = way.dialect
        self.holder = holder
        self.log = log
        self.clock = clock
        self.time_of_day_ms = time_of_day_ms
        self.held: dict[str, Held] = {}
        self.running_ids: dict[str, GateCall] = {}
        self.pressure = GatePressure(clock())
        self.costs = RouteCosts()
        self.crashes = CrashCounts()
        self.on_crash: Callable[[], None] = do_nothing
        self.told = ToldLoads(gate, way.target, self.pressure, clock)

    def hear(self, word: TargetWord) -> bool:
        """Learn from the target's message; true if its state changed."""
        before = self.target.incarnation
        was_usable = self.target.is_usable
        changed = self.target.hear(word, self.time_of_day_ms())
        if self.target.incarnation != before:
            self.limit.renew()
            if was_usable:
                # It ended without a word.
                self.note_death()
        self.follow_target()
        return changed

    def note_death(self) -> None:
        """Suspect the requests that ran when the target died."""
        if self.crashes.record_target_crash(self.clock()):
            self.log.note_always(
                'target died with requests running',
                instance=self.target.instance,
                suspects=len(self.crashes.own_counts),
            )
            self.on_crash()

    def follow_target(self) -> None:
        """Open or close the gate as the target's state demands."""
        self.told.look_again()
        if self.target.is_usable:
            self.limit.declare(self.target.slots)
            self.gate.queue_limit = self.target.slots * QUEUE_PER_SLOT
        else:
            self.limit.withdraw()
        self.perform(self.gate.tick(self.clock()))

    def find_parent(self, ancestor_ids: Iterable[str]) -> GateCall | None:
        """Return the running request that a call of the target is for."""
        for request_id in ancestor_ids:
            running = self.running_ids.get(request_id)
            if running is not None:
                return running
        return None

    def offer(self, offered: GateCall, on_result: ResultHandler) -> None:
        """Take a call; its one result comes through ``on_result``."""
        if offered.call.service != self.target.service:
            # A record of the VM that had this address before led here.
            on_result(RefusedCall(offered.call.call_id, OTHER_SERVICE))
            return
        self.held[offered.call.call_id] = Held(offered, on_result)
        self.perform(self.gate.offer(offered.call, self.clock()))

    def cancel(self, call_id: str) -> None:
        """Drop a call whose caller has left.

        A run that must not be repeated goes on to its end.
        """
        held = self.held.get(call_id)
        if held is None:
            return
        if held.send is None:
            self.perform(self.gate.cancel(call_id, self.clock()))
        elif held.offered.call.idempotent:
            held.send.cancel()

    def tick(self) -> None:
        """Let time-driven decisions happen."""
        now = self.clock()
        if self.gate.queue:
            self.perform(self.gate.tick(now))
        if self.pressure.is_due(now):
            called = sum(1 for one in self.gate.queue if one.call.depth)
            self.pressure.update(
                len(self.gate.queue) - called,
                called,
                self.limit.allowed(now),
                now,
            )

    def perform(self, events: list[GateEvent]) -> None:
        """Carry out what the gate decided."""
        for event in events:
            if isinstance(event, Dispatch):
                self.dispatch(event.call)
            else:
                self.note_refused(event.call, event.refusal)
                self.resolve(
                    event.call.call_id,
                    RefusedCall(event.call.call_id, event.refusal),
                )

    def note_refused(self, call: Call, refusal: Refusal) -> None:
        """Count a refusal for want of room."""
        if refusal.reason in ROOM_REASONS:
            self.pressure.kind_of(call.depth).refused += 1

    def dispatch(self, call: Call) -> None:
        """Send a call to the target, if that is still right now."""
        held = self.held[call.call_id]
        now = self.clock()
        refusal = self.find_objection(held.offered, now)
        if refusal is not None:
            self.end_run(call, RunOutcome(RunResult.FAILED))
            self.resolve(call.call_id, RefusedCall(call.call_id, refusal))
            return
        held.sent_at = now
        self.costs.note_run(call.route, now)
        self.running_ids[held.offered.request_id] = held.offered
        self.pressure.kind_of(call.depth).change_running(1, now)
        held.send = self.pool.send(
            self.encode(held.offered, now),
            lambda result: self.sent(call, result),
        )

    def find_objection(self, offered: GateCall, now: float) -> Refusal | None:
        """Why a call must not be sent any more."""
        call = offered.call
        if not self.target.is_usable:
            return refuse_not_run(Reason.DRAINING, 'the target is leaving')
        if self.crashes.has_suspects and self.crashes.must_refuse(
            fingerprint_call(call),
        ):
            return refuse_not_run(
                Reason.CRASH_SUSPECT,
                'targets died while they ran this request',
                CRASH_RETRY_S,
            )
        if call.deadline <= now:
            return refuse_not_run(Reason.DEADLINE, 'too late to start')
        if self.holder.honours(offered.key_mark, call.team, now):
            return None
        if self.holder.trusts_keys(now):
            return refuse_not_run(Reason.WITHDRAWN_KEY, 'key was withdrawn')
        return refuse_not_run(
            Reason.STALE_CONFIGURATION,
            'this node cannot tell whether the key was withdrawn',
            retry_after_s=SHED_RETRY_S,
        )

    def encode(self, offered: GateCall, now: float) -> OutgoingRequest:
        """Bytes of a call for the target."""
        call = offered.call
        headers = self.dialect.render_headers(
            TargetRequest(
                request_id=offered.request_id,
                host=offered.host,
                left_s=call.deadline - now,
                instance=self.target.instance,
                team=call.team,
                origin_service=offered.origin_service,
                headers=call.headers,
            ),
        )
        request_id = offered.request_id
        freshness_s = UNREPEATABLE_FRESHNESS_S
        if call.idempotent:
            freshness_s = ANY_FRESHNESS_S
        return OutgoingRequest(
            encode_request(call.method, call.path, headers, call.body),
            lambda found: self.dialect.is_answer_to(request_id, found),
            is_head=call.method == 'HEAD',
            freshness_s=freshness_s,
        )

    def sent(self, call: Call, result: SendResult) -> None:
        """Learn how a send ended."""
        held = self.held[call.call_id]
        service_s = self.clock() - held.sent_at
        if isinstance(result, SendFailure):
            self.end_run(call, RunOutcome(run_result_of(result), service_s))
            self.log_failure(held, result)
            self.note_failure(call, result)
            refusal = refusal_of(result)
            self.resolve(call.call_id, RefusedCall(call.call_id, refusal))
            return
        report = self.dialect.read_answer(result)
        if report.is_other_instance:
            self.target.note_other_instance()
            self.follow_target()
        if report.has_not_run:
            self.pressure.kind_of(call.depth).refused += 1
            self.end_run(call, RunOutcome(RunResult.TARGET_SHED, service_s))
            self.resolve(call.call_id, RefusedCall(call.call_id, TARGET_SHED))
            return
        is_success = report.answer.status < 500
        run_result = RunResult.SUCCEEDED if is_success else RunResult.FAILED
        self.end_run(call, RunOutcome(run_result, service_s))
        answer = report.answer
        self.resolve(
            call.call_id,
            Answer(call.call_id, answer.status, answer.headers, answer.body),
        )

    def end_run(self, call: Call, outcome: RunOutcome) -> None:
        """Free the slot, which may start other calls."""
        now = self.clock()
        kind = self.pressure.kind_of(call.depth)
        if call.call_id in self.held and self.held[call.call_id].sent_at:
            kind.change_running(-1, now)
        if outcome.result is RunResult.SUCCEEDED:
            kind.note_served(outcome.service_s)
        self.perform(self.gate.finished(call.call_id, outcome, now))

    def resolve(self, call_id: str, result: CallResult) -> None:
        """Report the one result of a call."""
        held = self.held.pop(call_id, None)
        if held is not None:
            self.running_ids.pop(held.offered.request_id, None)
            held.on_result(result)

    def note_failure(self, call: Call, failure: SendFailure) -> None:
        """Learn from a failure whether the target has died."""
        if failure.kind is SendFailureKind.NOT_CONNECTED:
            self.note_death()
        elif failure.kind is not SendFailureKind.CANCELLED:
            self.crashes.record_closed_connection(fingerprint_call(call), self.clock())

    def log_failure(self, held: Held, failure: SendFailure) -> None:
        """Write why a run has no answer."""
        self.log.note(
            'target gave no whole answer',
            request=held.offered.request_id,
            route=held.offered.call.route,
            instance=self.target.instance,
            kind=failure.kind.value,
            was_sent=failure.was_sent,
            detail=failure.detail,
        )
