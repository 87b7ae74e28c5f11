"""Where each message and each output within a node goes next.

One method for each type keeps the whole path of a call on one page.
"""

import dataclasses
import functools
from collections.abc import Iterable
from typing import Any, TypeAlias

import msgspec

from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.connection.peer_messages import (
    PeerAnswer,
    PeerAsk,
    PeerAskAnswer,
    PeerAskRefusal,
    PeerCall,
    PeerCancel,
    PeerRefusal,
)
from ebonycleat.internal.process.dedupe_adapter import (
    DedupeAdapter,
    DedupeOutput,
    ReplyToIngress,
    create_reply_message,
    read_reply_message,
)
from ebonycleat.internal.process.id_lifecycle import OfferCall
from ebonycleat.internal.process.effects import (
    SendToPeer,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.gate_outputs import (
    CallResolved,
    CancelChildRequest,
    ForwardCall,
    GateOutput,
)
from ebonycleat.internal.process.gate_service import (
    DEDUPE_OWNER,
    OWN_INGRESS,
    GateService,
)
from ebonycleat.internal.process.dedupe_ingress import (
    AskOwner,
    DedupeIngress,
    SendCompleted,
    SendOutput,
)
from ebonycleat.internal.process.ingress import (
    TOKEN_EXPIRED_REFUSAL,
    CancelAttempt,
    Ingress,
    IngressOutput,
    PlaceCall,
    RequestEnded,
)
from ebonycleat.internal.process.request_metrics import RequestMetrics
from ebonycleat.internal.process.token_reservations import (
    TokenReserved,
    TokenOutput,
    TokenUnavailable,
    TokenReservations,
)
from ebonycleat.internal.request.call import Answer, CallResult
from ebonycleat.internal.request.dedupe_tracker import (
    OwnerAnswer,
    CopyNotTaken,
)

ComponentOutput: TypeAlias = (
    IngressOutput | GateOutput | SendOutput | TokenOutput | DedupeOutput
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallComponents:
    """The parts of a node that calls pass through."""

    ingress: Ingress
    dedupe_sends: DedupeIngress
    tokens: TokenReservations
    dedupe: DedupeAdapter
    gate_service: GateService
    metrics: RequestMetrics


class CallHandlers:
    """Hands each message and each output to the part that it is for."""

    def __init__(self, node: str, parts: CallComponents) -> None:
        """Connect the parts of ``node``."""
        self.node = node
        self.ingress = parts.ingress
        self.dedupe_sends = parts.dedupe_sends
        self.tokens = parts.tokens
        self.dedupe = parts.dedupe
        self.gate_service = parts.gate_service
        self.metrics = parts.metrics

    def handle_peer_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Hand a message to the part that it is for."""
        match message:
            case GrantAsk() | GrantGiven() | GrantDenied():
                return self.tokens.handle_message(sender, message, now)
            case PeerAsk():
                deadline = now + message.time_left_s
                call = msgspec.structs.replace(
                    message.ask.call, deadline=deadline
                )
                ask = dataclasses.replace(message.ask, call=call)
                return self.dedupe.handle_ask(ask, sender, now)
            case PeerAskAnswer() | PeerAskRefusal():
                return self.dedupe_sends.handle_answer(
                    read_reply_message(message), now
                )
            case CopyNotTaken():
                return self.dedupe_sends.handle_not_taken(message, now)
        return self.handle_call_message(sender, message, now)

    def handle_call_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Hand a message about an idempotent call to its part."""
        match message:
            case PeerCall():
                deadline = now + message.time_left_s
                call = msgspec.structs.replace(message.call, deadline=deadline)
                return self.gate_service.offer(call, sender, now)
            case PeerAnswer():
                return self.handle_peer_result(
                    message.answer, message.load, now
                )
            case PeerRefusal():
                return self.handle_peer_result(
                    message.refused, message.load, now
                )
            case PeerCancel():
                return self.gate_service.cancel(message.call_id, now)
        return ()

    def handle_peer_result(
        self,
        call_result: CallResult,
        load: GateLoad,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Hand a peer's result to the side that sent the call."""
        if call_result.call_id in self.gate_service.forwarded:
            return self.gate_service.forward_resolved(call_result, now)
        return self.ingress.handle_attempt_result(call_result, load, now)

    @functools.singledispatchmethod
    def handle_output(self, step: Any, now: float) -> Iterable[ComponentOutput]:
        """Hand one output to the part that it is for."""
        raise TypeError(f'no part takes {type(step).__name__}')

    @handle_output.register
    def place_call(
        self, step: PlaceCall, now: float
    ) -> Iterable[ComponentOutput]:
        """Hand a call to the chosen gate."""
        if step.node == self.node:
            return self.gate_service.offer(step.call, OWN_INGRESS, now)
        message = PeerCall(step.call, step.call.deadline - now)
        return (SendToPeer(step.node, message),)

    @handle_output.register
    def forward_call(
        self,
        step: ForwardCall,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Let another node run a suspect."""
        message = PeerCall(step.call, step.call.deadline - now)
        return (SendToPeer(step.node, message),)

    @handle_output.register
    def cancel_call(
        self, step: CancelAttempt, now: float
    ) -> Iterable[ComponentOutput]:
        """Tell the gate that nobody waits for a call."""
        if step.node == self.node:
            return self.gate_service.cancel(step.call_id, now)
        return (SendToPeer(step.node, PeerCancel(step.call_id)),)

    @handle_output.register
    def cancel_child(
        self, step: CancelChildRequest, now: float
    ) -> Iterable[ComponentOutput]:
        """End a request that a target made and no longer waits for."""
        return self.ingress.cancel(step.request_id, now)

    @handle_output.register
    def call_resolved(
        self,
        step: CallResolved,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Send a result back to where the call came from."""
        if step.origin == OWN_INGRESS:
            return self.ingress.handle_attempt_result(
                step.result, step.load, now
            )
        if step.origin == DEDUPE_OWNER:
            return self.dedupe.finish_run(step.result, now)
        return (SendToPeer(step.origin, _result_message(step)),)

    @handle_output.register
    def run_call(
        self, step: OfferCall, now: float
    ) -> Iterable[ComponentOutput]:
        """Offer a non-idempotent call to the gate beside its owner."""
        return self.gate_service.offer(step.call, DEDUPE_OWNER, now)

    @handle_output.register
    def word_for_ingress(
        self,
        step: ReplyToIngress,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Bring the owner's word to the ingress of the call."""
        if step.node != self.node:
            return (SendToPeer(step.node, create_reply_message(step.reply)),)
        if isinstance(step.reply, OwnerAnswer):
            return self.dedupe_sends.handle_answer(step.reply, now)
        return self.dedupe_sends.handle_not_taken(step.reply, now)

    @handle_output.register
    def ask_owner(
        self, step: AskOwner, now: float
    ) -> Iterable[ComponentOutput]:
        """Hand a copy of a call to its dedupe owner."""
        if step.node == self.node:
            return self.dedupe.handle_ask(step.ask, self.node, now)
        time_left_s = step.ask.call.deadline - now
        return (SendToPeer(step.node, PeerAsk(step.ask, time_left_s)),)

    @handle_output.register
    def send_ended(
        self, step: SendCompleted, now: float
    ) -> Iterable[ComponentOutput]:
        """Answer a non-idempotent request."""
        return self.ingress.finish(step.request, step.result, now)

    @handle_output.register
    def admitted(
        self, step: TokenReserved, now: float
    ) -> Iterable[ComponentOutput]:
        """Place a request that has its token."""
        request = step.request
        if request.dedupe_tracker is None:
            return self.ingress.place_attempt(request, now)
        if not self.tokens.spend(request, now):
            return self.ingress.refuse(request, TOKEN_EXPIRED_REFUSAL, now)
        return self.dedupe_sends.start(request, now)

    @handle_output.register
    def not_admitted(
        self,
        step: TokenUnavailable,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Refuse a request whose team has no token for it."""
        return self.ingress.refuse(step.request, step.refusal, now)

    @handle_output.register
    def request_ended(
        self,
        step: RequestEnded,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Count a request and free what was held for it."""
        self.dedupe_sends.forget(step.request)
        self.tokens.return_token(step.request, now)
        self.metrics.count_request_end(step)
        return ()


def _result_message(step: CallResolved) -> PeerAnswer | PeerRefusal:
    if isinstance(step.result, Answer):
        return PeerAnswer(step.result, step.load)
    return PeerRefusal(step.result, step.load)
