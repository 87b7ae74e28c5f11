"""The gate's side of a call: from this node's ingress or from a peer.

Remembers where each admitted call came from, so that its result goes back
there and nowhere else.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable
from http import HTTPStatus

import msgspec

from ebonycleat.internal.connection.target_client import (
    TargetFailureKind,
    TargetResponse,
    TargetFailure,
    TargetResult,
)
from ebonycleat.internal.process.crash_suspects import (
    SuspectAdmission,
    RunAtNode,
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

OWN_INGRESS = ''
# Origin of the calls that this node runs as their dedupe owner.
DEDUPE_OWNER = '#dedupe-owner'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRun:
    """A call at the target, since ``started_at`` in seconds."""

    started_at: float
    context_id: str


FORWARD_SUFFIX = '>'

RUN_RIGHT_LOST = refuse_not_run(
    Reason.DEDUPE_UNAVAILABLE,
    'the right to run this id was lost while it was queued',
)

FORWARDED_TWICE = refuse_not_run(
    Reason.CRASH_SUSPECT,
    'the nodes do not agree yet on who runs this suspect; send it again',
    retry_after_s=1,
)

TARGET_DOWN_FAILURES = frozenset((
    TargetFailureKind.NOT_CONNECTED,
    TargetFailureKind.BROKEN,
))


class GateService:
    """Admits calls to the target and routes their results back."""

    def __init__(
        self,
        gate: Gate,
        contexts: ContextRegistry,
        suspects: SuspectAdapter,
        zone: str,
        may_dispatch: Callable[[str, float], bool],
    ) -> None:
        """Serve the target behind ``gate`` in ``zone``.

        ``may_dispatch`` checks a call of the dedupe owner once more, because
        its right to run may have lapsed in the queue.
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
        """Queue, dispatch or refuse a call; a repeated id is ignored."""
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
        """Send the target's result back and start what waits."""
        run = self.active_runs.pop(call_id, None)
        if run is None:
            return []
        closed = self.contexts.close(run.context_id)
        outcome = RunOutcome(
            classify_run(target_result),
            now - run.started_at,
            closed.waited_s,
        )
        events = self.gate.finish_run(call_id, outcome, now)
        judged = self.report_to_suspects(call_id, target_result, now)
        call_result = self.build_call_result(call_id, target_result, closed)
        return [
            *judged,
            self.resolve(call_result, now),
            *map(CancelChildRequest, closed.children_to_cancel),
            *self.handle_decisions(events, now),
            *self.offer_waiting_suspects(now),
        ]

    def report_to_suspects(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[GateOutput]:
        """Tell the crash suspects how a run ended."""
        answered = isinstance(target_result, TargetResponse)
        if isinstance(target_result, TargetFailure):
            if target_result.kind is TargetFailureKind.BROKEN:
                return list(self.suspects.handle_broken_connection(call_id))
        return list(self.suspects.finish_run(call_id, now, answered=answered))

    def target_probed(self, now: float, *, alive: bool) -> list[GateOutput]:
        """Take the result of a probe of the target."""
        if not alive:
            self.gate.limit.record_probe_failure(now)
        return [
            *self.suspects.handle_probe_result(now, alive=alive),
            *self.offer_waiting_suspects(now),
        ]

    def offer_waiting_suspects(self, now: float) -> list[GateOutput]:
        """Offer the suspects that waited for another one to end."""
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
        """Take the result of a suspect that ran at another node."""
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
        """Resolve a forwarded suspect whose link closed."""
        refusal = Refusal(
            Reason.CONNECTION_LOST,
            Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
            'the link to the node that runs suspects closed',
        )
        return self.forward_resolved(RefusedCall(forward_id, refusal), now)

    def cancel(self, call_id: str, now: float) -> list[GateOutput]:
        """Free the queue place of a call whose caller left."""
        return self.handle_decisions(self.gate.cancel(call_id, now), now)

    def withdraw_key(self, key_digest: str, now: float) -> list[GateOutput]:
        """Refuse queued calls of a withdrawn key."""
        events = self.gate.refuse_withdrawn_key(key_digest, now)
        return self.handle_decisions(events, now)

    def has_dedupe_owner_calls(self) -> bool:
        """Tell whether a call of the dedupe owner waits or runs."""
        return DEDUPE_OWNER in self.origins.values()

    def tick(self, now: float) -> list[GateOutput]:
        """Shed late calls and start what fits."""
        return [
            *self.handle_decisions(self.gate.tick(now), now),
            *self.offer_waiting_suspects(now),
        ]

    def handle_decisions(
        self,
        events: Iterable[GateDecision],
        now: float,
    ) -> list[GateOutput]:
        """Turn the gate's events into target calls and results."""
        outputs: list[GateOutput] = []
        pending = collections.deque(events)
        while pending:
            event = pending.popleft()
            if isinstance(event, RefuseCall):
                refused = refuse_call(event.call, event.refusal)
                outputs.append(self.resolve(refused, now))
                continue
            output = self.dispatch(event.call, now)
            if output is not None:
                outputs.append(output)
            if event.call.call_id not in self.active_runs:
                # The slot was not used, so that another call may start.
                not_started = RunOutcome(RunResult.FAILED)
                pending.extend(
                    self.gate.finish_run(event.call.call_id, not_started, now),
                )
        return outputs

    def dispatch(self, call: Call, now: float) -> GateOutput | None:
        """Run, forward, hold back or refuse a call that has a slot."""
        decision = self.suspects.admit(call, now)
        if decision is SuspectAdmission.WAIT:
            self.suspects.hold_call(call)
            return None
        if isinstance(decision, Refusal):
            return self.resolve(refuse_call(call, decision), now)
        if not self.may_run(call, now):
            self.suspects.finish_run(call.call_id, now, answered=False)
            return self.resolve(refuse_call(call, RUN_RIGHT_LOST), now)
        if isinstance(decision, RunAtNode):
            return self.forward(call, decision.node, now)
        return self.start_run(call, now)

    def forward(self, call: Call, node: str, now: float) -> GateOutput:
        """Send a suspect to the one node that runs it; never twice."""
        if call.call_id.endswith(FORWARD_SUFFIX):
            return self.resolve(refuse_call(call, FORWARDED_TWICE), now)
        forward_id = call.call_id + FORWARD_SUFFIX
        self.forwarded[forward_id] = call.call_id
        moved = msgspec.structs.replace(call, call_id=forward_id)
        return ForwardCall(node, moved)

    def may_run(self, call: Call, now: float) -> bool:
        """Check a dedupe owner's call at the moment of its dispatch."""
        if self.origins[call.call_id] != DEDUPE_OWNER:
            return True
        return self.may_dispatch(call.call_id, now)

    def start_run(self, call: Call, now: float) -> CallTarget:
        """Hand a call to the target."""
        context_id = self.contexts.open(call)
        self.active_runs[call.call_id] = TargetRun(now, context_id)
        return CallTarget(call, context_id)

    def resolve(self, call_result: CallResult, now: float) -> CallResolved:
        """Address a result to the node that sent the call."""
        origin = self.origins.pop(call_result.call_id)
        return CallResolved(origin, call_result, self.gate.current_load(now))

    def build_call_result(
        self,
        call_id: str,
        target_result: TargetResult,
        closed: ClosedContext,
    ) -> CallResult:
        """Translate the target's result into the result of the call.

        A target that fails because a call of its own was refused hands on
        that refusal, so that nobody takes the target itself for broken.
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
    """Refuse a call that did not run; its whole allowance goes back."""
    return RefusedCall(call.call_id, refusal, call.retry_allowance)


def classify_run(target_result: TargetResult) -> RunResult:
    """Tell the gate how a run ended."""
    if isinstance(target_result, TargetFailure):
        if target_result.kind in TARGET_DOWN_FAILURES:
            return RunResult.TARGET_DIED
        return RunResult.FAILED
    if target_result.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return RunResult.TARGET_SHED
    if target_result.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return RunResult.FAILED
    return RunResult.SUCCEEDED
