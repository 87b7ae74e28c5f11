"""The only way to the target beside a node.

Peers and the own entry offer calls; the gate queues, refuses or sends them.
What it refuses has reached no target, so a refusal costs nobody a repeat.
The last check of key, time and target is made here, right before a send.
"""

from collections.abc import Callable, Iterable

from ebonycleat.internal.connection.http_messages import encode_request
from ebonycleat.internal.connection.client_requests import (
    DEFAULT_MAX_IDLE_S,
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
    SendResult,
)
from ebonycleat.internal.connection.platform_interfaces import (
    TargetRequest,
    ControlMessage,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.crash_counts import CrashCounts
from ebonycleat.internal.process.crash_suspects import fingerprint_call
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_calls import (
    WRONG_SERVICE_REFUSAL,
    SHED_RETRY_AFTER_S,
    TARGET_SHED_REFUSAL,
    GateCall,
    HeldCall,
    ResultHandler,
    TargetChannel,
    refusal_of,
    run_result_of,
)
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
)
from ebonycleat.internal.process.backpressure import GateBackpressure
from ebonycleat.internal.process.route_costs import RouteCosts
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.load_reporter import LoadReporter
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

NON_IDEMPOTENT_FRESHNESS_S = 0.15
"""A request that must not be sent twice goes on a connection that was used
just now: an older one may have been closed while the request is written."""

CRASH_RETRY_AFTER_S = 600.0
"""A request that ends targets is not wanted back soon."""

OVERLOAD_REASONS = frozenset((
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
        channel: TargetChannel,
        holder: ConfigurationHolder,
        log: EventLog,
        clock: Callable[[], float],
        unix_time_ms: Callable[[], int],
    ) -> None:
        """Guard a target; ``clock`` is in seconds.

        ``time_of_day_ms`` only orders starts of the target, which tells them
        by the time of day.
        """
        self.gate = gate
        self.limit = limit
        self.target = channel.target
        self.pool = channel.pool
        self.dialect = channel.dialect
        self.holder = holder
        self.log = log
        self.clock = clock
        self.unix_time_ms = unix_time_ms
        self.held_calls: dict[str, HeldCall] = {}
        self.running_by_request_id: dict[str, GateCall] = {}
        self.backpressure = GateBackpressure(clock())
        self.costs = RouteCosts()
        self.crashes = CrashCounts()
        self.on_crash: Callable[[], None] = do_nothing
        self.load_reporter = LoadReporter(
            gate, channel.target, self.backpressure, clock
        )

    def handle_target_message(self, word: ControlMessage) -> bool:
        """Learn from the target's message; true if its state changed."""
        before = self.target.incarnation
        was_usable = self.target.is_usable
        changed = self.target.handle_message(word, self.unix_time_ms())
        if self.target.incarnation != before:
            self.limit.reset_backoff()
            if was_usable:
                # It ended without a word.
                self.record_target_crash()
        self.apply_target_state()
        return changed

    def record_target_crash(self) -> None:
        """Suspect the requests that ran when the target died."""
        if self.crashes.record_target_crash(self.clock()):
            self.log.write_always(
                'target crashed while requests were running',
                instance=self.target.instance,
                suspects=len(self.crashes.own_counts),
            )
            self.on_crash()

    def apply_target_state(self) -> None:
        """Open or close the gate as the target's state demands."""
        self.load_reporter.invalidate()
        if self.target.is_usable:
            self.limit.declare_slots(self.target.slots)
            self.gate.queue_limit = self.target.slots * QUEUE_PER_SLOT
        else:
            self.limit.remove_target()
        self.apply_decisions(self.gate.tick(self.clock()))

    def find_parent(self, ancestor_ids: Iterable[str]) -> GateCall | None:
        """Return the running request that a call of the target is for."""
        for request_id in ancestor_ids:
            running = self.running_by_request_id.get(request_id)
            if running is not None:
                return running
        return None

    def offer(self, offered: GateCall, on_result: ResultHandler) -> None:
        """Take a call; its one result comes through ``on_result``."""
        if offered.call.service != self.target.service:
            # A record of the VM that had this address before led here.
            on_result(RefusedCall(offered.call.call_id, WRONG_SERVICE_REFUSAL))
            return
        self.held_calls[offered.call.call_id] = HeldCall(offered, on_result)
        self.apply_decisions(self.gate.offer(offered.call, self.clock()))

    def cancel(self, call_id: str) -> None:
        """Drop a call whose caller has left.

        A run that must not be repeated goes on to its end.
        """
        held = self.held_calls.get(call_id)
        if held is None:
            return
        if held.send is None:
            self.apply_decisions(self.gate.cancel(call_id, self.clock()))
        elif held.gate_call.call.idempotent:
            held.send.cancel()

    def tick(self) -> None:
        """Let time-driven decisions happen."""
        now = self.clock()
        if self.gate.queue:
            self.apply_decisions(self.gate.tick(now))
        if self.backpressure.is_due(now):
            called = sum(1 for one in self.gate.queue if one.call.depth)
            self.backpressure.update(
                len(self.gate.queue) - called,
                called,
                self.limit.allowed_calls(now),
                now,
            )

    def apply_decisions(self, events: list[GateDecision]) -> None:
        """Carry out what the gate decided."""
        for event in events:
            if isinstance(event, DispatchCall):
                self.dispatch(event.call)
            else:
                self.record_refusal(event.call, event.refusal)
                self.resolve(
                    event.call.call_id,
                    RefusedCall(event.call.call_id, event.refusal),
                )

    def record_refusal(self, call: Call, refusal: Refusal) -> None:
        """Count a refusal for want of room."""
        if refusal.reason in OVERLOAD_REASONS:
            self.backpressure.load_of_depth(call.depth).refused += 1

    def dispatch(self, call: Call) -> None:
        """Send a call to the target, if that is still right now."""
        held = self.held_calls[call.call_id]
        now = self.clock()
        refusal = self.find_dispatch_refusal(held.gate_call, now)
        if refusal is not None:
            self.end_run(call, RunOutcome(RunResult.FAILED))
            self.resolve(call.call_id, RefusedCall(call.call_id, refusal))
            return
        held.sent_at = now
        self.costs.record_run(call.route, now)
        self.running_by_request_id[held.gate_call.request_id] = held.gate_call
        self.backpressure.load_of_depth(call.depth).change_running(1, now)
        held.send = self.pool.send(
            self.build_target_request(held.gate_call, now),
            lambda result: self.send_finished(call, result),
        )

    def find_dispatch_refusal(
        self, offered: GateCall, now: float
    ) -> Refusal | None:
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
                CRASH_RETRY_AFTER_S,
            )
        if call.deadline <= now:
            return refuse_not_run(Reason.DEADLINE, 'too late to start')
        if self.holder.accepts_key(offered.key_fingerprint, call.team, now):
            return None
        if self.holder.may_trust_keys(now):
            return refuse_not_run(Reason.WITHDRAWN_KEY, 'key was withdrawn')
        return refuse_not_run(
            Reason.STALE_CONFIGURATION,
            'this node cannot tell whether the key was withdrawn',
            retry_after_s=SHED_RETRY_AFTER_S,
        )

    def build_target_request(
        self, offered: GateCall, now: float
    ) -> OutgoingRequest:
        """Bytes of a call for the target."""
        call = offered.call
        headers = self.dialect.render_headers(
            TargetRequest(
                request_id=offered.request_id,
                host=offered.host,
                time_left_s=call.deadline - now,
                instance=self.target.instance,
                team=call.team,
                origin_service=offered.origin_service,
                headers=call.headers,
            ),
        )
        request_id = offered.request_id
        max_idle_s = NON_IDEMPOTENT_FRESHNESS_S
        if call.idempotent:
            max_idle_s = DEFAULT_MAX_IDLE_S
        return OutgoingRequest(
            encode_request(call.method, call.path, headers, call.body),
            lambda found: self.dialect.is_response_to(request_id, found),
            is_head=call.method == 'HEAD',
            max_idle_s=max_idle_s,
        )

    def send_finished(self, call: Call, result: SendResult) -> None:
        """Learn how a send ended."""
        held = self.held_calls[call.call_id]
        service_s = self.clock() - held.sent_at
        if isinstance(result, SendFailure):
            self.end_run(call, RunOutcome(run_result_of(result), service_s))
            self.log_failure(held, result)
            self.record_failure(call, result)
            refusal = refusal_of(result)
            self.resolve(call.call_id, RefusedCall(call.call_id, refusal))
            return
        report = self.dialect.parse_response(result)
        if report.is_wrong_instance:
            self.target.record_other_instance()
            self.apply_target_state()
        if report.has_not_run:
            self.backpressure.load_of_depth(call.depth).refused += 1
            self.end_run(call, RunOutcome(RunResult.TARGET_SHED, service_s))
            self.resolve(
                call.call_id, RefusedCall(call.call_id, TARGET_SHED_REFUSAL)
            )
            return
        is_success = report.response.status < 500
        run_result = RunResult.SUCCEEDED if is_success else RunResult.FAILED
        self.end_run(call, RunOutcome(run_result, service_s))
        answer = report.response
        self.resolve(
            call.call_id,
            Answer(call.call_id, answer.status, answer.headers, answer.body),
        )

    def end_run(self, call: Call, outcome: RunOutcome) -> None:
        """Free the slot, which may start other calls."""
        now = self.clock()
        kind = self.backpressure.load_of_depth(call.depth)
        if (
            call.call_id in self.held_calls
            and self.held_calls[call.call_id].sent_at
        ):
            kind.change_running(-1, now)
        if outcome.result is RunResult.SUCCEEDED:
            kind.record_served(outcome.service_s)
        self.apply_decisions(self.gate.finish_run(call.call_id, outcome, now))

    def resolve(self, call_id: str, result: CallResult) -> None:
        """Report the one result of a call."""
        held = self.held_calls.pop(call_id, None)
        if held is not None:
            self.running_by_request_id.pop(held.gate_call.request_id, None)
            held.on_result(result)

    def record_failure(self, call: Call, failure: SendFailure) -> None:
        """Learn from a failure whether the target has died."""
        if failure.kind is SendFailureKind.NOT_CONNECTED:
            self.record_target_crash()
        elif failure.kind is not SendFailureKind.CANCELLED:
            self.crashes.record_closed_connection(
                fingerprint_call(call), self.clock()
            )

    def log_failure(self, held: HeldCall, failure: SendFailure) -> None:
        """Write why a run has no answer."""
        self.log.write_limited(
            'target sent no complete response',
            request=held.gate_call.request_id,
            route=held.gate_call.call.route,
            instance=self.target.instance,
            kind=failure.kind.value,
            was_sent=failure.was_sent,
            detail=failure.detail,
        )
