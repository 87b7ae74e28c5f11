"""Hands peer messages and component outputs to the component they are for.

There is one method per type of message or output, so that the path of a call
through a node can be followed in this module.
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
from ebonycleat.internal.process.dedupe_ingress import (
    AskOwner,
    DedupeIngress,
    DedupeIngressOutput,
    RequestCompleted,
)
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
from ebonycleat.internal.process.id_lifecycle import OfferCall
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
    TokenOutput,
    TokenReservations,
    TokenReserved,
    TokenUnavailable,
)
from ebonycleat.internal.request.call import Answer, CallResult
from ebonycleat.internal.request.dedupe_tracker import (
    CopyNotTaken,
    OwnerAnswer,
)

ComponentOutput: TypeAlias = (
    IngressOutput
    | GateOutput
    | DedupeIngressOutput
    | TokenOutput
    | DedupeOutput
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallComponents:
    """The components through which calls pass in a node."""

    ingress: Ingress
    dedupe_ingress: DedupeIngress
    tokens: TokenReservations
    dedupe: DedupeAdapter
    gate_service: GateService
    metrics: RequestMetrics


class CallHandlers:
    """Hands each message and output to the component that it is for.

    Each method returns the outputs of that component.
    """

    def __init__(self, node: str, components: CallComponents) -> None:
        """Connect the components of the node with the id ``node``."""
        self.node = node
        self.ingress = components.ingress
        self.dedupe_ingress = components.dedupe_ingress
        self.tokens = components.tokens
        self.dedupe = components.dedupe
        self.gate_service = components.gate_service
        self.metrics = components.metrics

    def handle_peer_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Handle a peer's message about tokens, a dedupe copy or a call.

        A message that carries a call has the time that was left when it was
        sent, from which the deadline on this node's clock follows.
        """
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
                return self.dedupe_ingress.handle_answer(
                    read_reply_message(message), now
                )
            case CopyNotTaken():
                return self.dedupe_ingress.handle_not_taken(message, now)
        return self.handle_call_message(sender, message, now)

    def handle_call_message(
        self,
        sender: str,
        message: Any,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Handle a message about a call at a gate; ignore any other type."""
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
        """Handle a result from the gate of another node.

        The call was sent by this node's ingress, or it was a crash suspect
        that this node's gate had forwarded.
        """
        if call_result.call_id in self.gate_service.forwarded:
            return self.gate_service.forward_resolved(call_result, now)
        return self.ingress.handle_attempt_result(call_result, load, now)

    @functools.singledispatchmethod
    def handle_output(
        self, output: Any, now: float
    ) -> Iterable[ComponentOutput]:
        """Hand one output to the component that it is for.

        Raises ``TypeError`` for a type without a registered handler.
        """
        raise TypeError(
            f'no handler is registered for outputs of type '
            f'{type(output).__name__}',
        )

    @handle_output.register
    def place_call(
        self, output: PlaceCall, now: float
    ) -> Iterable[ComponentOutput]:
        """Offer a call to the gate of the node that was chosen for it."""
        if output.node == self.node:
            return self.gate_service.offer(output.call, OWN_INGRESS, now)
        message = PeerCall(output.call, output.call.deadline - now)
        return (SendToPeer(output.node, message),)

    @handle_output.register
    def forward_call(
        self,
        output: ForwardCall,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Send a crash suspect to the node that may run it."""
        message = PeerCall(output.call, output.call.deadline - now)
        return (SendToPeer(output.node, message),)

    @handle_output.register
    def cancel_attempt(
        self, output: CancelAttempt, now: float
    ) -> Iterable[ComponentOutput]:
        """Tell the gate that the result of a call is not needed any more."""
        if output.node == self.node:
            return self.gate_service.cancel(output.call_id, now)
        return (SendToPeer(output.node, PeerCancel(output.call_id)),)

    @handle_output.register
    def cancel_child_request(
        self, output: CancelChildRequest, now: float
    ) -> Iterable[ComponentOutput]:
        """Cancel a request of the target whose parent call has ended."""
        return self.ingress.cancel(output.request_id, now)

    @handle_output.register
    def return_result(
        self,
        output: CallResolved,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Return a result to the ingress, dedupe owner or peer of the call."""
        if output.origin == OWN_INGRESS:
            return self.ingress.handle_attempt_result(
                output.result, output.load, now
            )
        if output.origin == DEDUPE_OWNER:
            return self.dedupe.finish_run(output.result, now)
        return (SendToPeer(output.origin, _result_message(output)),)

    @handle_output.register
    def offer_dedupe_call(
        self, output: OfferCall, now: float
    ) -> Iterable[ComponentOutput]:
        """Offer a non-idempotent call to the gate of its dedupe owner's node."""
        return self.gate_service.offer(output.call, DEDUPE_OWNER, now)

    @handle_output.register
    def return_reply(
        self,
        output: ReplyToIngress,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Return the dedupe owner's reply to the ingress of the call."""
        if output.node != self.node:
            return (
                SendToPeer(output.node, create_reply_message(output.reply)),
            )
        if isinstance(output.reply, OwnerAnswer):
            return self.dedupe_ingress.handle_answer(output.reply, now)
        return self.dedupe_ingress.handle_not_taken(output.reply, now)

    @handle_output.register
    def ask_owner(
        self, output: AskOwner, now: float
    ) -> Iterable[ComponentOutput]:
        """Send a copy of a non-idempotent call to its dedupe owner."""
        if output.node == self.node:
            return self.dedupe.handle_ask(output.ask, self.node, now)
        time_left_s = output.ask.call.deadline - now
        return (SendToPeer(output.node, PeerAsk(output.ask, time_left_s)),)

    @handle_output.register
    def finish_dedupe_request(
        self, output: RequestCompleted, now: float
    ) -> Iterable[ComponentOutput]:
        """Answer a non-idempotent request."""
        return self.ingress.finish(output.request, output.result, now)

    @handle_output.register
    def send_with_token(
        self, output: TokenReserved, now: float
    ) -> Iterable[ComponentOutput]:
        """Send a request that has its token to a gate or a dedupe owner."""
        request = output.request
        if request.dedupe_tracker is None:
            return self.ingress.place_attempt(request, now)
        if not self.tokens.spend(request, now):
            return self.ingress.refuse(request, TOKEN_EXPIRED_REFUSAL, now)
        return self.dedupe_ingress.start(request, now)

    @handle_output.register
    def refuse_without_token(
        self,
        output: TokenUnavailable,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Refuse a request that got no token of its team's rate."""
        return self.ingress.refuse(output.request, output.refusal, now)

    @handle_output.register
    def close_request(
        self,
        output: RequestEnded,
        now: float,
    ) -> Iterable[ComponentOutput]:
        """Count an answered request, and return its token if unspent."""
        self.dedupe_ingress.forget(output.request)
        self.tokens.return_token(output.request, now)
        self.metrics.count_request_end(output)
        return ()


def _result_message(output: CallResolved) -> PeerAnswer | PeerRefusal:
    if isinstance(output.result, Answer):
        return PeerAnswer(output.result, output.load)
    return PeerRefusal(output.result, output.load)
