"""Runs the calls that a node's gate admits, and returns their results.

Calls come from the node's own ingress, its dedupe owner or a peer. The
service remembers the origin of each call and sends its result only there.

A crash suspect is a call that was running when a target crashed. Suspects run
at one node of the service and there one at a time, so that the call that
crashes targets can be identified. Other nodes forward them to that node.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec

from ebonycleat.internal.connection.target_client import (
    TargetFailure,
    TargetFailureKind,
    TargetResponse,
    TargetResult,
)
from ebonycleat.internal.process.crash_suspects import (
    RunAtNode,
    SuspectAdmission,
)
from ebonycleat.internal.process.effects import (
    CallTarget,
)
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_decisions import (
    GateDecision,
    RefuseCall,
)
from ebonycleat.internal.process.gate_outputs import (
    CallResolved,
    CancelChildRequest,
    ForwardCall,
    GateOutput,
)
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.process.suspect_adapter import SuspectAdapter
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    RefusedCall,
)
from ebonycleat.internal.request.context import (
    ClosedContext,
    ContextRegistry,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    Refusal,
    refuse_not_run,
)

# Origin of the calls of this node's own ingress.
OWN_INGRESS = ''
# Origin of the calls that this node runs as their dedupe owner.
DEDUPE_OWNER = '#dedupe-owner'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRun:
    """A call that runs at the target since ``started_at`` (in seconds).

    ``context_id`` is the opaque text that the target got with it.
    """

    started_at: float
    context_id: str


# Appended to the id of a call when it is forwarded.
FORWARD_SUFFIX = '>'

RUN_RIGHT_LOST_REFUSAL = refuse_not_run(
    Reason.DEDUPE_UNAVAILABLE,
    'this node lost the right to run the request, as its dedupe owner, while '
    'the request was queued; send it again',
)

FORWARDED_TWICE_REFUSAL = refuse_not_run(
    Reason.CRASH_SUSPECT,
    'the nodes do not agree yet on which of them runs this crash suspect; '
    'send it again',
    retry_after_s=1,
)

TARGET_DOWN_FAILURES = frozenset((
    TargetFailureKind.NOT_CONNECTED,
    TargetFailureKind.BROKEN,
))


class GateService:
    """Runs calls at the target behind a gate and returns their results.

    ``forwarded`` has the crash suspects that another node runs for this one,
    by the id under which they were forwarded.
    """

    def __init__(
        self,
        gate: Gate,
        contexts: ContextRegistry,
        suspects: SuspectAdapter,
        zone: str,
        may_dispatch: Callable[[str, float], bool],
    ) -> None:
        """Serve the target behind ``gate`` in the zone ``zone``.

        ``may_dispatch`` checks a call of the dedupe owner again right
        before its dispatch, because the owner's lease may have expired
        while the call was queued.
        """
        self.gate = gate
        self.contexts = contexts
        self.suspects = suspects
        self.forwarded: dict[str, str] = {}
        self.zone = zone
        self.may_dispatch = may_dispatch
        self.origins: dict[str, str] = {}
        self.active_runs: dict[str, TargetRun] = {}

    def offer(self, call: Call, origin: str, now: float) -> list[GateOutput]:
        """Queue, dispatch or refuse a call; ignore a call already here."""
        if call.call_id in self.origins:
            return []
        self.origins[call.call_id] = origin
        return self.handle_decisions(self.gate.offer(call, now), now)

    def finish_run(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[GateOutput]:
        """Return a run's result to its origin and start waiting calls.

        A result without a run, such as a second one, is ignored.
        """
        run = self.active_runs.pop(call_id, None)
        if run is None:
            return []
        closed = self.contexts.close(run.context_id)
        outcome = RunOutcome(
            classify_run(target_result),
            now - run.started_at,
            closed.waited_s,
        )
        decisions = self.gate.finish_run(call_id, outcome, now)
        suspect_outputs = self.report_to_suspects(call_id, target_result, now)
        call_result = self.build_call_result(call_id, target_result, closed)
        return [
            *suspect_outputs,
            self.resolve(call_result, now),
            *map(CancelChildRequest, closed.children_to_cancel),
            *self.handle_decisions(decisions, now),
            *self.offer_waiting_suspects(now),
        ]

    def report_to_suspects(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[GateOutput]:
        """Report the end of a run to the tracking of crash suspects.

        After a broken connection, only a probe of the target shows whether
        the target has crashed.
        """
        answered = isinstance(target_result, TargetResponse)
        if isinstance(target_result, TargetFailure):
            if target_result.kind is TargetFailureKind.BROKEN:
                return list(self.suspects.handle_broken_connection(call_id))
        return list(self.suspects.finish_run(call_id, now, answered=answered))

    def target_probed(self, now: float, *, alive: bool) -> list[GateOutput]:
        """Handle the result of a probe of the target."""
        if not alive:
            self.gate.limit.record_probe_failure(now)
        return [
            *self.suspects.handle_probe_result(now, alive=alive),
            *self.offer_waiting_suspects(now),
        ]

    def offer_waiting_suspects(self, now: float) -> list[GateOutput]:
        """Offer the crash suspects that waited for another one to end."""
        outputs: list[GateOutput] = []
        for call in self.suspects.take_held_calls():
            outputs.extend(
                self.handle_decisions(self.gate.offer(call, now), now),
            )
        return outputs

    def forward_resolved(
        self,
        call_result: CallResult,
        now: float,
    ) -> list[GateOutput]:
        """Return the result of a crash suspect that ran at another node."""
        call_id = self.forwarded.pop(call_result.call_id)
        own_result = msgspec.structs.replace(call_result, call_id=call_id)
        return [self.resolve(own_result, now)]

    def forward_lost(
        self,
        forward_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[GateOutput]:
        """Refuse a forwarded crash suspect whose link closed.

        If it had been sent, whether it ran is unknown.
        """
        refusal = Refusal(
            Reason.CONNECTION_LOST,
            Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
            'the link to the node that runs this crash suspect closed',
        )
        return self.forward_resolved(RefusedCall(forward_id, refusal), now)

    def cancel(self, call_id: str, now: float) -> list[GateOutput]:
        """Refuse a queued call whose caller has disconnected."""
        return self.handle_decisions(self.gate.cancel(call_id, now), now)

    def withdraw_key(self, key_digest: str, now: float) -> list[GateOutput]:
        """Refuse the queued calls that came with a withdrawn key."""
        decisions = self.gate.refuse_withdrawn_key(key_digest, now)
        return self.handle_decisions(decisions, now)

    def has_dedupe_owner_calls(self) -> bool:
        """Tell whether a call of the dedupe owner waits or runs."""
        return DEDUPE_OWNER in self.origins.values()

    def tick(self, now: float) -> list[GateOutput]:
        """Refuse expired calls and start those that can run."""
        return [
            *self.handle_decisions(self.gate.tick(now), now),
            *self.offer_waiting_suspects(now),
        ]

    def handle_decisions(
        self,
        decisions: Iterable[GateDecision],
        now: float,
    ) -> list[GateOutput]:
        """Carry out the gate's decisions, and those that follow from them."""
        outputs: list[GateOutput] = []
        pending = collections.deque(decisions)
        while pending:
            decision = pending.popleft()
            if isinstance(decision, RefuseCall):
                refused = refuse_call(decision.call, decision.refusal)
                outputs.append(self.resolve(refused, now))
                continue
            output = self.dispatch(decision.call, now)
            if output is not None:
                outputs.append(output)
            if decision.call.call_id not in self.active_runs:
                # The call did not use its slot, so another call may start.
                not_started = RunOutcome(RunResult.FAILED)
                pending.extend(
                    self.gate.finish_run(
                        decision.call.call_id, not_started, now
                    ),
                )
        return outputs

    def dispatch(self, call: Call, now: float) -> GateOutput | None:
        """Run, forward, hold back or refuse a call that the gate dispatched.

        Returns None for a crash suspect that is held back until another
        one has ended.
        """
        decision = self.suspects.admit(call, now)
        if decision is SuspectAdmission.WAIT:
            self.suspects.hold_call(call)
            return None
        if isinstance(decision, Refusal):
            return self.resolve(refuse_call(call, decision), now)
        if not self.may_run(call, now):
            self.suspects.finish_run(call.call_id, now, answered=False)
            return self.resolve(refuse_call(call, RUN_RIGHT_LOST_REFUSAL), now)
        if isinstance(decision, RunAtNode):
            return self.forward(call, decision.node, now)
        return self.start_run(call, now)

    def forward(self, call: Call, node: str, now: float) -> GateOutput:
        """Send a crash suspect to the node that runs such calls.

        A call that was already forwarded is refused, because its id ends
        in ``FORWARD_SUFFIX``.
        """
        if call.call_id.endswith(FORWARD_SUFFIX):
            return self.resolve(refuse_call(call, FORWARDED_TWICE_REFUSAL), now)
        forward_id = call.call_id + FORWARD_SUFFIX
        self.forwarded[forward_id] = call.call_id
        forwarded_call = msgspec.structs.replace(call, call_id=forward_id)
        return ForwardCall(node, forwarded_call)

    def may_run(self, call: Call, now: float) -> bool:
        """Check at its dispatch that a call may still run here.

        Only the dedupe owner's calls can have lost that right.
        """
        if self.origins[call.call_id] != DEDUPE_OWNER:
            return True
        return self.may_dispatch(call.call_id, now)

    def start_run(self, call: Call, now: float) -> CallTarget:
        """Send a call to the target, with a new context."""
        context_id = self.contexts.open(call)
        self.active_runs[call.call_id] = TargetRun(now, context_id)
        return CallTarget(call, context_id)

    def resolve(self, call_result: CallResult, now: float) -> CallResolved:
        """Address a result to the origin of its call, with the gate's load."""
        origin = self.origins.pop(call_result.call_id)
        return CallResolved(origin, call_result, self.gate.current_load(now))

    def build_call_result(
        self,
        call_id: str,
        target_result: TargetResult,
        closed: ClosedContext,
    ) -> CallResult:
        """Translate the target's result into the result of the call.

        If a target answers with an error after a call of its own was
        refused, that refusal is the result. Otherwise callers would take the
        target itself for faulty.
        """
        unused = closed.retries_unused
        if isinstance(target_result, TargetFailure):
            refusal = target_result.to_refusal(self.zone)
            return RefusedCall(call_id, refusal, unused)
        is_failure = target_result.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure and closed.downstream_refusal is not None:
            return RefusedCall(call_id, closed.downstream_refusal, unused)
        return Answer(
            call_id,
            target_result.status,
            target_result.headers,
            target_result.body,
            unused,
        )


def refuse_call(call: Call, refusal: Refusal) -> RefusedCall:
    """Refuse a call that did not run; its retry allowance is refunded."""
    return RefusedCall(call.call_id, refusal, call.retry_allowance)


def classify_run(target_result: TargetResult) -> RunResult:
    """Classify a target's result for the concurrency limit."""
    if isinstance(target_result, TargetFailure):
        if target_result.kind in TARGET_DOWN_FAILURES:
            return RunResult.TARGET_CRASHED
        return RunResult.FAILED
    if target_result.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return RunResult.TARGET_SHED
    if target_result.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return RunResult.FAILED
    return RunResult.SUCCEEDED
