"""The gate of a mesh node: sends calls to the node's target.

All calls to the target come through it, from the node's own entry and from
other nodes. The gate queues, refuses or sends each call. A call that the gate
refuses has not reached the target, so it can be offered to another gate
without counting as a retry. Key, deadline and target are checked once more
right before a call is sent.
"""

import functools
from collections.abc import Callable, Iterable

from ebonycleat.internal.connection.client_requests import (
    DEFAULT_MAX_IDLE_S,
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
    SendResult,
)
from ebonycleat.internal.connection.http_messages import encode_request_head
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.platform_interfaces import (
    ControlMessage,
    ParsedResponse,
    TargetHeartbeat,
    TargetRequest,
)
from ebonycleat.internal.process.admission.cold_target_watch import (
    ColdTargetWatch,
)
from ebonycleat.internal.process.backpressure import GateBackpressure
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.crash_counts import CrashCounts
from ebonycleat.internal.process.crash_suspects import fingerprint_call
from ebonycleat.internal.process.decision_queue import DecisionQueue
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_calls import (
    CANCELLED_REFUSAL,
    COLD_TARGET_REFUSAL,
    EVACUATED_REFUSAL,
    GATE_RETRY_AFTER_S,
    TARGET_SHED_REFUSAL,
    UNSENDABLE_REFUSAL,
    WRONG_SERVICE_REFUSAL,
    GateCall,
    PendingCall,
    ResultHandler,
    TargetChannel,
    refusal_of,
    run_result_of,
)
from ebonycleat.internal.process.gate_decisions import (
    DispatchCall,
    GateDecision,
)
from ebonycleat.internal.process.gate_errors import (
    end_decided,
    end_offered,
    handle_result,
)
from ebonycleat.internal.process.gate_log import (
    log_failed_run,
    log_handed_back,
    log_long_queue,
)
from ebonycleat.internal.process.load_reporter import LoadReporter
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
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
"""Calls that may wait per slot of the target. Calls that can no longer meet
their deadline leave the queue before it is full."""

NON_IDEMPOTENT_MAX_IDLE_S = 0.15
"""A non-idempotent request is sent only on a connection that was used within
this many seconds. The target may be closing an older one while the request is
written, and the request must not be sent twice."""

SILENCE_GRACE_S = 0.5
"""Time after the deadline of a call until its target counts as silent. A slow
target still answers at the deadline that it was told, with a failure; one that
does not queue a call for lack of room never answers it."""

CRASH_RETRY_AFTER_S = 600.0
"""Retry-After of a request that crashes targets, so that it does not return
soon."""

OWN_FAILURES = frozenset((SendFailureKind.CANCELLED, SendFailureKind.NO_ROOM))
"""Failures that this node has caused, which tell nothing of the target."""

OVERLOAD_REASONS = frozenset((
    Reason.QUEUE_FULL,
    Reason.DEADLINE,
    Reason.SHED,
))
"""Reasons of refusals for lack of capacity."""


class MeshGate:
    """Carries out the decisions of a ``Gate`` for the target of a mesh node.

    ``pending_calls`` has all calls that wait here or run at the target, by
    call id, and ``decisions`` what the gate has decided and the node has not
    carried out yet. ``on_record_changed`` is called when the node's record must be
    written anew: a crash of the target has made requests suspect, or the target
    has said in an answer that it leaves.
    """

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
        """Send calls through ``channel``; ``clock`` is in seconds.

        ``unix_time_ms`` is used only to order the starts of the target,
        which reports them as Unix time.
        """
        self.gate = gate
        self.limit = limit
        self.channel = channel
        self.holder = holder
        self.log = log
        self.clock = clock
        self.unix_time_ms = unix_time_ms
        self.pending_calls: dict[str, PendingCall] = {}
        self.running_by_request_id: dict[str, GateCall] = {}
        self.decisions = DecisionQueue(
            self.apply_decision, functools.partial(end_decided, self)
        )
        self.backpressure = GateBackpressure(clock())
        self.call_counts = RouteCallCounts()
        self.crashes = CrashCounts()
        self.on_record_changed: Callable[[], None] = do_nothing
        self.load_reporter = LoadReporter(
            gate, channel.target, self.backpressure, clock
        )
        self.cold_watch = ColdTargetWatch(
            gate.signals.warm_up, channel, log, clock
        )
        self.cold_watch.on_released = self.apply_target_state
        self.cold_watch.apply_configuration(holder.index)
        holder.listeners.append(self.cold_watch.apply_configuration)

    @property
    def target(self) -> LocalTarget:
        """The target of this node."""
        return self.channel.target

    @property
    def pool(self) -> ConnectionPool:
        """The connections to the target."""
        return self.channel.pool

    def handle_target_message(self, message: ControlMessage) -> bool:
        """Handle a message of the target.

        Returns whether the state of the target has changed.
        """
        before = self.target.incarnation
        sequence = self.target.sequence
        was_usable = self.target.is_usable
        changed = self.target.handle_message(message, self.unix_time_ms())
        if self.target.incarnation != before:
            self.limit.reset_backoff()
            self.gate.signals.start_rate.reset()
            self.load_reporter.target_load.reset()
            if was_usable:
                # The earlier instance ended without deregistering.
                self.record_target_crash()
            self.cold_watch.record_unknown('new start of the target')
        elif self.target.sequence > sequence:
            self.crashes.record_sign_of_life(self.clock())
            if isinstance(message, TargetHeartbeat):
                self.cold_watch.record_heartbeat(message.warm_up_left_s)
        self.apply_target_state()
        return changed

    def record_target_crash(self) -> None:
        """Record a crash; requests that ran then become crash suspects."""
        if self.crashes.record_target_crash(self.clock()):
            self.log.write_always(
                'target crashed while requests were running',
                instance=self.target.instance,
                suspects=len(self.crashes.own_counts),
            )
            self.on_record_changed()

    def apply_target_state(self) -> None:
        """Allow calls if the target is usable, and none otherwise."""
        self.load_reporter.invalidate()
        if self.target.is_usable:
            self.limit.declare_slots(self.target.slots)
            self.gate.queue_limit = self.target.slots * QUEUE_PER_SLOT
        else:
            self.limit.remove_target()
        self.decisions.add(self.gate.tick(self.clock()))

    def set_evacuated(self, *, is_evacuated: bool) -> None:
        """Refuse all calls while the own zone is evacuated.

        Those that run at the target are finished.
        """
        if is_evacuated != self.gate.is_evacuated:
            self.gate.is_evacuated = is_evacuated
            self.load_reporter.invalidate()
            self.cold_watch.set_evacuated(is_evacuated=is_evacuated)
            self.decisions.add(self.gate.tick(self.clock()))

    def find_parent(self, ancestor_ids: Iterable[str]) -> GateCall | None:
        """Return the running request for which the target makes a call.

        ``ancestor_ids`` are the request ids that the call's id extends. None
        is returned if no such request runs here.
        """
        for request_id in ancestor_ids:
            running = self.running_by_request_id.get(request_id)
            if running is not None:
                return running
        return None

    def offer(self, gate_call: GateCall, on_result: ResultHandler) -> None:
        """Queue, send or refuse a call; ``on_result`` gets its one result."""
        if gate_call.call.service != self.target.service:
            # The sender used the member record of a VM that had this address
            # earlier.
            on_result(
                RefusedCall(gate_call.call.call_id, WRONG_SERVICE_REFUSAL)
            )
            return
        self.pending_calls[gate_call.call.call_id] = PendingCall(
            gate_call, on_result
        )
        try:
            decisions = self.gate.offer(gate_call.call, self.clock())
        except Exception as error:
            end_offered(self, gate_call.call, error)
        else:
            self.decisions.add(decisions)

    def cancel(self, call_id: str, *, spares_running: bool = False) -> None:
        """Drop a call whose caller has disconnected or got its answer.

        A non-idempotent call that was sent already is not cancelled, nor is any
        such call with ``spares_running``. Past the deadline the target should
        have answered, so it counts as silent.
        """
        pending_call = self.pending_calls.get(call_id)
        if pending_call is None:
            return
        if pending_call.in_flight is None:
            pending_call.is_cancelled = True
            self.decisions.add(self.gate.cancel(call_id, self.clock()))
        elif pending_call.gate_call.call.idempotent and not spares_running:
            is_late = pending_call.gate_call.call.deadline <= self.clock()
            pending_call.in_flight.cancel(
                SendFailureKind.SILENT if is_late else SendFailureKind.CANCELLED
            )

    def cancel_silent_runs(self) -> None:
        """End the runs whose target should have answered long ago.

        Only the connection of such a run is closed. The other runs of the
        target go on: each has a connection of its own.
        """
        now = self.clock()
        for pending_call in tuple(self.pending_calls.values()):
            deadline = pending_call.gate_call.call.deadline
            if pending_call.in_flight and now > deadline + SILENCE_GRACE_S:
                pending_call.in_flight.cancel(SendFailureKind.SILENT)

    def tick(self) -> None:
        """Refuse expired calls, start waiting ones, update the backpressure."""
        now = self.clock()
        self.cold_watch.update()
        if self.gate.queue:
            self.decisions.add(self.gate.tick(now))
        backpressure = self.backpressure
        if not backpressure.is_update_due(now):
            return
        called = sum(1 for queued in self.gate.queue if queued.call.depth)
        backpressure.update(
            len(self.gate.queue) - called,
            called,
            self.gate.signals.warm_slots(self.limit.allowed_calls(now)),
            now,
        )

    def apply_decision(self, decision: GateDecision) -> None:
        """Send or refuse the call of one decision."""
        if isinstance(decision, DispatchCall):
            self.dispatch(
                decision.call, has_start_token=decision.has_start_token
            )
            return
        call_id = decision.call.call_id
        self.record_refusal(decision.call, decision.refusal)
        self.resolve(call_id, RefusedCall(call_id, decision.refusal))

    def record_refusal(self, call: Call, refusal: Refusal) -> None:
        """Count a refusal that was made for lack of capacity.

        A call that is handed back runs at another target or comes back, so it
        is no such refusal.
        """
        if refusal.reason in OVERLOAD_REASONS:
            self.backpressure.load_of_depth(call.depth).refused += 1
        if refusal.reason is Reason.QUEUE_FULL:
            log_long_queue(self.log, self.gate, call, refusal, self.clock())
        elif refusal.reason is Reason.ELSEWHERE:
            log_handed_back(self.log, self.gate, call, refusal, self.clock())

    def dispatch(self, call: Call, *, has_start_token: bool) -> None:
        """Send a call to the target, or refuse it if that is not allowed."""
        pending_call = self.pending_calls[call.call_id]
        now = self.clock()
        pending_call.has_start_token = has_start_token
        prepared = self.prepare_request(pending_call, now)
        if isinstance(prepared, Refusal):
            self.end_run(call, RunOutcome(RunResult.FAILED))
            self.resolve(call.call_id, RefusedCall(call.call_id, prepared))
            return
        pending_call.sent_at = now
        pending_call.incarnation = self.target.incarnation
        pending_call.running_when_sent = len(self.gate.running)
        pending_call.pace_when_sent = self.load_reporter.target_load.pace_at(
            now
        )
        self.call_counts.record_run(call.route, now)
        self.running_by_request_id[pending_call.gate_call.request_id] = (
            pending_call.gate_call
        )
        self.backpressure.load_of_depth(call.depth).change_running(1, now)
        pending_call.in_flight = self.pool.send(
            prepared,
            functools.partial(handle_result, self, call),
        )

    def prepare_request(
        self, pending_call: PendingCall, now: float
    ) -> OutgoingRequest | Refusal:
        """Encode a call as a request to the target, or refuse it.

        An error must not leave the call without a result: it would keep its
        slot.
        """
        if pending_call.is_cancelled:
            return CANCELLED_REFUSAL
        gate_call = pending_call.gate_call
        warm_up = self.gate.signals.warm_up
        has_token = pending_call.has_start_token
        if not warm_up.may_send(now, now, has_token=has_token):
            return COLD_TARGET_REFUSAL
        try:
            refusal = self.find_dispatch_refusal(gate_call, now)
            return refusal or self.build_target_request(gate_call, now)
        except Exception as error:
            self.log.write_limited(
                'request cannot be encoded',
                request=gate_call.request_id,
                route=gate_call.call.route,
                team=gate_call.call.team,
                error=repr(error),
            )
            return UNSENDABLE_REFUSAL

    def find_dispatch_refusal(
        self, gate_call: GateCall, now: float
    ) -> Refusal | None:
        """Return why a call must not be sent now, None if it may be."""
        call = gate_call.call
        if self.gate.is_evacuated:
            return EVACUATED_REFUSAL
        if not self.target.is_usable:
            return refuse_not_run(
                Reason.DRAINING,
                'the target is draining or has stopped',
            )
        if self.crashes.has_suspects and self.crashes.must_refuse(
            fingerprint_call(call),
        ):
            return refuse_not_run(
                Reason.CRASH_SUSPECT,
                'targets crashed while they ran this request; do not retry it',
                CRASH_RETRY_AFTER_S,
            )
        if call.deadline <= now:
            return refuse_not_run(
                Reason.DEADLINE,
                'the deadline passed before the request was sent to the target',
            )
        if self.holder.accepts_key(gate_call.key_fingerprint, call.team, now):
            return None
        if self.holder.may_trust_keys(now):
            return refuse_not_run(
                Reason.WITHDRAWN_KEY,
                'the key was withdrawn before the request was sent',
            )
        return refuse_not_run(
            Reason.STALE_CONFIGURATION,
            'this node has no recent confirmation from the store that the '
            'key was not withdrawn; retry later',
            retry_after_s=GATE_RETRY_AFTER_S,
        )

    def build_target_request(
        self, gate_call: GateCall, now: float
    ) -> OutgoingRequest:
        """Encode a call as an HTTP request to the target."""
        call = gate_call.call
        headers = self.channel.protocol.render_headers(
            TargetRequest(
                request_id=gate_call.request_id,
                host=gate_call.host,
                time_left_s=call.deadline - now,
                instance=self.target.instance,
                team=call.team,
                origin_service=gate_call.origin_service,
                headers=call.headers,
            ),
        )
        request_id = gate_call.request_id
        instance = self.target.instance
        max_idle_s = NON_IDEMPOTENT_MAX_IDLE_S
        if call.idempotent:
            max_idle_s = DEFAULT_MAX_IDLE_S
        return OutgoingRequest(
            encode_request_head(
                call.method, call.path, headers, len(call.body)
            ),
            lambda response_headers: self.channel.protocol.is_response_to(
                request_id, response_headers
            ),
            is_head=call.method == 'HEAD',
            max_idle_s=max_idle_s,
            is_identified_response=lambda response_headers: (
                self.channel.protocol.names_request(
                    request_id, response_headers
                )
            ),
            request_id=request_id,
            may_send=lambda: self.may_still_send(gate_call, instance),
            body=call.body,
        )

    def may_still_send(self, gate_call: GateCall, instance: str) -> bool:
        """Check a call again that names an instance of the target."""
        if self.target.instance != instance:
            return False
        now = self.clock()
        pending_call = self.pending_calls[gate_call.call.call_id]
        if not self.gate.signals.warm_up.may_send(
            pending_call.sent_at, now, has_token=pending_call.has_start_token
        ):
            return False
        return self.find_dispatch_refusal(gate_call, now) is None

    def send_finished(self, call: Call, result: SendResult) -> None:
        """Handle the result of a request that was sent to the target."""
        pending_call = self.pending_calls[call.call_id]
        service_s = self.clock() - pending_call.sent_at
        if isinstance(result, SendFailure):
            # Before the end of the run, which lets waiting calls start.
            self.cold_watch.record_failure(result.kind)
            self.end_run(call, RunOutcome(run_result_of(result), service_s))
            log_failed_run(
                self.log, self.gate, pending_call, result, self.clock()
            )
            self.record_failure(pending_call, result)
            refusal = refusal_of(result)
            self.resolve(call.call_id, RefusedCall(call.call_id, refusal))
            return
        report = self.channel.protocol.parse_response(result)
        is_current = pending_call.incarnation == self.target.incarnation
        if is_current:
            self.crashes.record_sign_of_life(self.clock())
            self.update_target_from(report, pending_call)
        if self.crashes.own_counts and not report.has_not_run:
            self.crashes.record_answer(fingerprint_call(call))
        if report.has_not_run:
            self.end_run(call, RunOutcome(RunResult.TARGET_SHED, service_s))
            self.resolve(
                call.call_id, RefusedCall(call.call_id, TARGET_SHED_REFUSAL)
            )
            return
        is_success = report.response.status < 500
        run_result = RunResult.SUCCEEDED if is_success else RunResult.FAILED
        if is_success and is_current:
            self.load_reporter.target_load.record_run(
                call.route, service_s, pending_call.pace_when_sent, self.clock()
            )
        self.end_run(call, RunOutcome(run_result, service_s))
        response = report.response
        self.resolve(
            call.call_id,
            Answer(
                call.call_id, response.status, response.headers, response.body
            ),
        )

    def update_target_from(
        self, report: ParsedResponse, pending_call: PendingCall
    ) -> None:
        """Adopt what a response tells about the target."""
        self.limit.record_response()
        if report.is_wrong_instance:
            self.target.record_other_instance()
            self.apply_target_state()
            return
        self.load_reporter.target_load.record_report(
            report.load, len(self.gate.running), self.clock()
        )
        if report.is_leaving and self.target.record_leaving():
            self.log.write_always(
                'target says in an answer that it leaves',
                instance=self.target.instance,
                request=pending_call.gate_call.request_id,
                queued=len(self.gate.queue),
            )
            self.apply_target_state()
            self.on_record_changed()
        start_rate = self.gate.signals.start_rate
        if start_rate.record_response(
            report.max_requests_per_s, pending_call.sent_at, self.clock()
        ):
            self.load_reporter.invalidate()
            self.log.write_limited(
                'target changed its limit of requests',
                instance=self.target.instance,
                request=pending_call.gate_call.request_id,
                named_per_s=report.max_requests_per_s,
                limit_per_s=start_rate.rate_per_s,
                queued=len(self.gate.queue),
            )

    def end_run(self, call: Call, outcome: RunOutcome) -> None:
        """Free the slot of a call, and start other calls."""
        now = self.clock()
        load = self.backpressure.load_of_depth(call.depth)
        if (
            call.call_id in self.pending_calls
            and self.pending_calls[call.call_id].sent_at
        ):
            load.change_running(-1, now)
        if outcome.result is RunResult.SUCCEEDED:
            load.record_served(outcome.service_s)
        self.decisions.add(self.gate.finish_run(call.call_id, outcome, now))

    def resolve(self, call_id: str, result: CallResult) -> None:
        """Report the result of a call, once."""
        pending_call = self.pending_calls.pop(call_id, None)
        if pending_call is not None:
            self.running_by_request_id.pop(
                pending_call.gate_call.request_id, None
            )
            pending_call.on_result(result)

    def record_failure(
        self, pending_call: PendingCall, failure: SendFailure
    ) -> None:
        """Count a failure, and learn from one that the target caused.

        A closed connection may be due to a crash, a missing answer to a full
        queue of the target.
        """
        self.pool.failure_counts[failure.kind.value] += 1
        now = self.clock()
        if failure.kind is SendFailureKind.NOT_CONNECTED:
            self.record_target_crash()
        elif failure.kind is SendFailureKind.SILENT:
            self.limit.record_silence(pending_call.running_when_sent, now)
        elif failure.kind in OWN_FAILURES:
            return
        elif failure.was_sent:
            self.crashes.record_closed_connection(
                fingerprint_call(pending_call.gate_call.call), now
            )
