"""Reserves a token of its team for each request before it is routed."""

import dataclasses
from typing import TypeAlias

from ebonycleat.internal.connection.grant_messages import (
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.process.grant_holder import GrantHolder
from ebonycleat.internal.process.team_token_queue import (
    TokenGranted,
    TokenWaiter,
)
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.request.open_request import OpenRequest
from ebonycleat.internal.request.refusal import Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReserved:
    """The request has its token and may be routed."""

    request: OpenRequest


@dataclasses.dataclass(frozen=True, slots=True)
class TokenUnavailable:
    """The team of the request has no token for it."""

    request: OpenRequest
    refusal: Refusal


TokenOutput: TypeAlias = TokenReserved | TokenUnavailable | SendToPeer


class TokenReservations:
    """Reserves tokens for requests at this node, and answers peers' asks."""

    def __init__(self, holder: GrantHolder, owner: BudgetOwner) -> None:
        """Reserve tokens from ``holder``; let ``owner`` answer asks of peers."""
        self.holder = holder
        self.owner = owner
        self.waiting: dict[tuple[str, int], OpenRequest] = {}

    def reserve(self, request: OpenRequest, now: float) -> list[TokenOutput]:
        """Reserve a token, or let the request wait for one."""
        reservation = self.holder.reserve_token(request.call.team, now)
        outputs: list[TokenOutput] = []
        if isinstance(reservation, Token):
            request.token = reservation
            outputs.append(TokenReserved(request))
        elif isinstance(reservation, TokenWaiter):
            self.waiting[reservation.team, reservation.ticket] = request
        else:
            outputs.append(TokenUnavailable(request, reservation))
        return outputs + self.process_holder_events(now)

    def spend(self, request: OpenRequest, now: float) -> bool:
        """Spend the reserved token just before the call is sent.

        Returns True if no token is reserved: the call needs none, or an
        earlier attempt of the same request has spent it.
        """
        if request.token is None:
            return True
        token = request.token
        request.token = None
        return self.holder.spend(token, now)

    def return_token(self, request: OpenRequest, now: float) -> None:
        """Return the token of a request that was never sent."""
        if request.token is not None:
            self.holder.return_token(request.token, now)
            request.token = None

    def handle_message(
        self,
        sender: str,
        message: GrantAsk | GrantGiven | GrantDenied,
        now: float,
    ) -> list[TokenOutput]:
        """Process a message about tokens from a peer or from this node."""
        if not isinstance(message, GrantAsk):
            self.holder.handle_answer(message, now)
            return self.process_holder_events(now)
        answer = self.owner.handle_ask(message, now)
        return [] if answer is None else [SendToPeer(sender, answer)]

    def tick(self, now: float) -> list[TokenOutput]:
        """Process asks and waiting requests that timed out."""
        self.holder.tick(now)
        return self.process_holder_events(now)

    def process_holder_events(self, now: float) -> list[TokenOutput]:
        """Turn the messages and decisions of the holder into outputs."""
        outputs: list[TokenOutput] = []
        for event in self.holder.drain_events():
            if isinstance(event, SendToPeer):
                outputs.append(event)
            elif isinstance(event, TokenGranted):
                outputs.extend(self.assign_token(event, now))
            else:
                request = self.waiting.pop((event.team, event.ticket), None)
                if request is not None:
                    outputs.append(TokenUnavailable(request, event.refusal))
        return outputs

    def assign_token(
        self, event: TokenGranted, now: float
    ) -> list[TokenOutput]:
        """Give a token to the request that waits for it.

        The token is returned if the request does not wait any more.
        """
        key = (event.token.team, event.ticket)
        request = self.waiting.pop(key, None)
        if request is None:
            self.holder.return_token(event.token, now)
            return []
        request.token = event.token
        return [TokenReserved(request)]
