"""Moves calls between the ingress, the gate and the peers of one node.

The outputs of one part are the inputs of another until only effects for the
shell are left.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.messages import (
    PeerAnswer,
    PeerCall,
    PeerCancel,
    PeerRefusal,
)
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    CallTarget,
    NodeEffect,
    SendToPeer,
)
from ebonycleat.internal.process.gate_service import (
    OWN_INGRESS,
    CallResolved,
    CancelChild,
    GateOutput,
    GateService,
)
from ebonycleat.internal.process.ingress import (
    CancelCall,
    Ingress,
    IngressOutput,
    PlaceCall,
    RequestEnded,
    create_open_request,
)
from ebonycleat.internal.process.request_metrics import RequestMetrics
from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.call_builder import build_call
from ebonycleat.internal.request.context import RequestContext
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.outgoing import render_refusal
from ebonycleat.internal.request.refusal import Refusal
from ebonycleat.internal.version.view import ConfigurationView

FlowStep: TypeAlias = IngressOutput | GateOutput
CallMessage: TypeAlias = PeerCall | PeerAnswer | PeerRefusal | PeerCancel


class CallFlow:
    """The path of calls through one node."""

    def __init__(
        self,
        node: str,
        ingress: Ingress,
        gate_service: GateService,
        metrics: RequestMetrics,
    ) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.ingress = ingress
        self.gate_service = gate_service
        self.metrics = metrics

    def request_received(
        self,
        request: IncomingRequest,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Admit a caller's request, or refuse it at once."""
        contexts = self.gate_service.contexts
        context = contexts.resolve(request.context, now)
        built = build_call(request, view, context, now)
        if isinstance(built, Refusal):
            self.metrics.count_early_refusal(built)
            answer = render_refusal(request.request_id, built)
            return [AnswerRequest(request.request_id, answer)]
        parent = context if isinstance(context, RequestContext) else None
        opened = create_open_request(built.call, parent, now)
        return self.settle(self.ingress.start(opened, now), now)

    def peer_message(
        self,
        sender: str,
        message: CallMessage,
        now: float,
    ) -> list[NodeEffect]:
        """Take a message about a call from a peer."""
        match message:
            case PeerCall():
                call = dataclasses.replace(
                    message.call,
                    deadline=now + message.time_left_s,
                )
                steps = self.gate_service.offer(call, sender, now)
                return self.settle(steps, now)
            case PeerAnswer():
                outputs = self.ingress.result_arrived(
                    message.answer,
                    message.load,
                    now,
                )
                return self.settle(outputs, now)
            case PeerRefusal():
                outputs = self.ingress.result_arrived(
                    message.refused,
                    message.load,
                    now,
                )
                return self.settle(outputs, now)
            case PeerCancel():
                steps = self.gate_service.cancel(message.call_id, now)
                return self.settle(steps, now)

    def call_lost(
        self,
        call_id: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call whose link closed."""
        outputs = self.ingress.call_lost(call_id, now, sent=sent)
        return self.settle(outputs, now)

    def target_finished(
        self,
        call_id: str,
        target_result: TargetResult,
        now: float,
    ) -> list[NodeEffect]:
        """Take the result of a call that this node's target ran."""
        steps = self.gate_service.finished(call_id, target_result, now)
        return self.settle(steps, now)

    def configuration_changed(
        self,
        view: ConfigurationView,
        now: float,
    ) -> list[NodeEffect]:
        """Apply a new version to queued calls and to the gate."""
        gate = self.gate_service.gate
        gate.set_team_weights({
            name: team.rate_per_s for name, team in view.teams.pairs()
        })
        digests = {entry.call.key_digest for entry in gate.queue}
        effects: list[NodeEffect] = []
        for digest in sorted(digests - {''}):
            if isinstance(view.team_of_key(digest), Refusal):
                steps = self.gate_service.withdraw_key(digest, now)
                effects += self.settle(steps, now)
        return effects

    def tick(self, now: float) -> list[NodeEffect]:
        """Let retries, deadlines and the queue advance."""
        steps = (*self.ingress.tick(now), *self.gate_service.tick(now))
        return self.settle(steps, now)

    def drain(self, now: float) -> list[NodeEffect]:
        """Refuse queued and new calls at the gate."""
        return self.settle(self.gate_service.drain(now), now)

    def is_idle(self) -> bool:
        """Tell whether no request waits here and no call runs here."""
        return not (self.ingress.requests or self.gate_service.origins)

    def settle(
        self,
        steps: Iterable[FlowStep],
        now: float,
    ) -> list[NodeEffect]:
        """Pass outputs on within the node until only effects are left."""
        effects: list[NodeEffect] = []
        waiting = collections.deque(steps)
        while waiting:
            step = waiting.popleft()
            if isinstance(step, (CallTarget, AnswerRequest)):
                effects.append(step)
            elif isinstance(step, RequestEnded):
                self.metrics.request_ended(step)
            else:
                self.pass_on(step, waiting, effects, now)
        return effects

    def pass_on(
        self,
        step: PlaceCall | CancelCall | CallResolved | CancelChild,
        waiting: collections.deque[FlowStep],
        effects: list[NodeEffect],
        now: float,
    ) -> None:
        """Hand one output to its receiver, here or at a peer."""
        match step:
            case PlaceCall(node=node, call=call) if node == self.node:
                waiting += self.gate_service.offer(call, OWN_INGRESS, now)
            case PlaceCall(node=node, call=call):
                time_left_s = call.deadline - now
                effects.append(SendToPeer(node, PeerCall(call, time_left_s)))
            case CancelCall(node=node, call_id=call_id) if node == self.node:
                waiting += self.gate_service.cancel(call_id, now)
            case CancelCall(node=node, call_id=call_id):
                effects.append(SendToPeer(node, PeerCancel(call_id)))
            case CancelChild(request_id=request_id):
                waiting += self.ingress.cancel(request_id, now)
            case CallResolved(origin=origin) if origin == OWN_INGRESS:
                waiting += self.ingress.result_arrived(
                    step.result,
                    step.load,
                    now,
                )
            case CallResolved(origin=origin):
                effects.append(SendToPeer(origin, _message_of(step)))


def _message_of(step: CallResolved) -> PeerAnswer | PeerRefusal:
    if isinstance(step.result, Answer):
        return PeerAnswer(step.result, step.load)
    return PeerRefusal(step.result, step.load)
