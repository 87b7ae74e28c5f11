"""Moves calls between the ingress, the gate and the peers of one node.

The outputs of one part are the inputs of another until only effects for the
shell are left.
"""

import collections
import dataclasses
import functools
from collections.abc import Iterable
from typing import Any, TypeAlias

from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.connection.messages import (
    PeerAnswer,
    PeerAsk,
    PeerAskAnswer,
    PeerAskRefusal,
    PeerCall,
    PeerCancel,
    PeerRefusal,
    split_copy_id,
)
from ebonycleat.internal.connection.target_client import TargetResult
from ebonycleat.internal.process.dedupe_host import (
    DedupeHost,
    HostOutput,
    WordForIngress,
    message_of_word,
    word_of_message,
)
from ebonycleat.internal.process.dedupe_runs import RunCall
from ebonycleat.internal.process.effects import (
    AnswerRequest,
    AppendToLog,
    CallTarget,
    NodeEffect,
    ReadLog,
    SendToPeer,
)
from ebonycleat.internal.process.gate_service import (
    DEDUPE_OWNER,
    OWN_INGRESS,
    CallResolved,
    CancelChild,
    GateOutput,
    GateService,
)
from ebonycleat.internal.process.idempotent_ingress import (
    AskOwner,
    IdempotentIngress,
    SendEnded,
    SendOutput,
    create_send,
)
from ebonycleat.internal.process.ingress import (
    TOKEN_EXPIRED,
    CancelCall,
    Ingress,
    IngressOutput,
    PlaceCall,
    RequestEnded,
    create_open_request,
)
from ebonycleat.internal.process.request_metrics import RequestMetrics
from ebonycleat.internal.process.token_desk import (
    Admitted,
    DeskOutput,
    NotAdmitted,
    TokenDesk,
)
from ebonycleat.internal.request.call import Answer
from ebonycleat.internal.request.call_builder import build_call
from ebonycleat.internal.request.context import RequestContext
from ebonycleat.internal.request.idempotent_send import (
    AskAnswered,
    CopyNotTaken,
)
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.outgoing import render_refusal
from ebonycleat.internal.request.refusal import Refusal
from ebonycleat.internal.version.view import ConfigurationView

FlowStep: TypeAlias = (
    IngressOutput | GateOutput | SendOutput | DeskOutput | HostOutput
)


@dataclasses.dataclass(frozen=True, slots=True)
class FlowParts:
    """The parts of a node that calls pass through."""

    ingress: Ingress
    sends: IdempotentIngress
    tokens: TokenDesk
    dedupe: DedupeHost
    gate_service: GateService
    metrics: RequestMetrics


class CallFlow:
    """The path of calls through one node."""

    def __init__(self, node: str, parts: FlowParts) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.ingress = parts.ingress
        self.sends = parts.sends
        self.tokens = parts.tokens
        self.dedupe = parts.dedupe
        self.gate_service = parts.gate_service
        self.metrics = parts.metrics

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
        if not built.call.idempotent:
            opened.send = create_send(opened, request.attempt)
        self.ingress.open(opened)
        if not built.spends_token:
            return self.settle([Admitted(opened)], now)
        return self.settle(self.tokens.reserve(opened, now), now)

    def peer_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> list[NodeEffect]:
        """Take a message about a call or about tokens from a peer."""
        return self.settle(self.take_message(sender, message, now), now)

    def take_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[FlowStep]:
        """Hand a message to the part that it is for."""
        match message:
            case GrantAsk() | GrantGiven() | GrantDenied():
                return self.tokens.receive(sender, message, now)
            case PeerAsk():
                deadline = now + message.time_left_s
                call = dataclasses.replace(message.ask.call, deadline=deadline)
                ask = dataclasses.replace(message.ask, call=call)
                return self.dedupe.ask(ask, sender, now)
            case PeerAskAnswer() | PeerAskRefusal():
                return self.sends.answered(word_of_message(message), now)
            case CopyNotTaken():
                return self.sends.not_taken(message, now)
        return self.take_call_message(sender, message, now)

    def take_call_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[FlowStep]:
        """Hand a message about an idempotent call to its part."""
        arrived = self.ingress.result_arrived
        match message:
            case PeerCall():
                deadline = now + message.time_left_s
                call = dataclasses.replace(message.call, deadline=deadline)
                return self.gate_service.offer(call, sender, now)
            case PeerAnswer():
                return arrived(message.answer, message.load, now)
            case PeerRefusal():
                return arrived(message.refused, message.load, now)
            case PeerCancel():
                return self.gate_service.cancel(message.call_id, now)
        return ()

    def call_lost(
        self,
        tracked: str,
        now: float,
        *,
        sent: bool,
    ) -> list[NodeEffect]:
        """Resolve a call, or a copy of one, whose link closed."""
        call_id, copy_number = split_copy_id(tracked)
        if copy_number:
            return self.settle(
                self.sends.copy_lost(call_id, copy_number, now, sent=sent),
                now,
            )
        return self.settle(
            self.ingress.call_lost(call_id, now, sent=sent),
            now,
        )

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
        """Let retries, deadlines, tokens and the queue advance."""
        steps: list[FlowStep] = [
            *self.ingress.tick(now),
            *self.sends.tick(now),
            *self.tokens.tick(now),
            *self.dedupe.tick(now),
            *self.gate_service.tick(now),
        ]
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
            if isinstance(step, SendToPeer) and step.node == self.node:
                waiting += self.take_message(self.node, step.message, now)
            elif isinstance(step, EFFECTS):
                effects.append(step)
            else:
                waiting += self.next_steps(step, now)
        return effects

    @functools.singledispatchmethod
    def next_steps(self, step: Any, now: float) -> Iterable[FlowStep]:
        """Hand one output to the part that it is for."""
        raise TypeError(f'no part takes {type(step).__name__}')

    @next_steps.register
    def place_call(self, step: PlaceCall, now: float) -> Iterable[FlowStep]:
        """Hand a call to the chosen gate."""
        if step.node == self.node:
            return self.gate_service.offer(step.call, OWN_INGRESS, now)
        message = PeerCall(step.call, step.call.deadline - now)
        return (SendToPeer(step.node, message),)

    @next_steps.register
    def cancel_call(self, step: CancelCall, now: float) -> Iterable[FlowStep]:
        """Tell the gate that nobody waits for a call."""
        if step.node == self.node:
            return self.gate_service.cancel(step.call_id, now)
        return (SendToPeer(step.node, PeerCancel(step.call_id)),)

    @next_steps.register
    def cancel_child(self, step: CancelChild, now: float) -> Iterable[FlowStep]:
        """End a request that a target made and no longer waits for."""
        return self.ingress.cancel(step.request_id, now)

    @next_steps.register
    def call_resolved(
        self,
        step: CallResolved,
        now: float,
    ) -> Iterable[FlowStep]:
        """Send a result back to where the call came from."""
        if step.origin == OWN_INGRESS:
            return self.ingress.result_arrived(step.result, step.load, now)
        if step.origin == DEDUPE_OWNER:
            return self.dedupe.finished(step.result, now)
        return (SendToPeer(step.origin, _message_of(step)),)

    @next_steps.register
    def run_call(self, step: RunCall, now: float) -> Iterable[FlowStep]:
        """Offer a non-idempotent call to the gate beside its owner."""
        return self.gate_service.offer(step.call, DEDUPE_OWNER, now)

    @next_steps.register
    def word_for_ingress(
        self,
        step: WordForIngress,
        now: float,
    ) -> Iterable[FlowStep]:
        """Bring the owner's word to the ingress of the call."""
        if step.node != self.node:
            return (SendToPeer(step.node, message_of_word(step.word)),)
        if isinstance(step.word, AskAnswered):
            return self.sends.answered(step.word, now)
        return self.sends.not_taken(step.word, now)

    @next_steps.register
    def ask_owner(self, step: AskOwner, now: float) -> Iterable[FlowStep]:
        """Hand a copy of a call to its dedupe owner."""
        if step.node == self.node:
            return self.dedupe.ask(step.ask, self.node, now)
        time_left_s = step.ask.call.deadline - now
        return (SendToPeer(step.node, PeerAsk(step.ask, time_left_s)),)

    @next_steps.register
    def send_ended(self, step: SendEnded, now: float) -> Iterable[FlowStep]:
        """Answer a non-idempotent request."""
        return self.ingress.end(step.request, step.result, now)

    @next_steps.register
    def admitted(self, step: Admitted, now: float) -> Iterable[FlowStep]:
        """Place a request that has its token."""
        request = step.request
        if request.send is None:
            return self.ingress.place(request, now)
        if not self.tokens.spend(request, now):
            return self.ingress.refuse(request, TOKEN_EXPIRED, now)
        return self.sends.start(request, now)

    @next_steps.register
    def not_admitted(
        self,
        step: NotAdmitted,
        now: float,
    ) -> Iterable[FlowStep]:
        """Refuse a request whose team has no token for it."""
        return self.ingress.refuse(step.request, step.refusal, now)

    @next_steps.register
    def request_ended(
        self,
        step: RequestEnded,
        now: float,
    ) -> Iterable[FlowStep]:
        """Count a request and free what was held for it."""
        self.sends.forget(step.request)
        self.tokens.give_back(step.request, now)
        self.metrics.request_ended(step)
        return ()


EFFECTS = (AnswerRequest, CallTarget, SendToPeer, AppendToLog, ReadLog)


def _message_of(step: CallResolved) -> PeerAnswer | PeerRefusal:
    if isinstance(step.result, Answer):
        return PeerAnswer(step.result, step.load)
    return PeerRefusal(step.result, step.load)
