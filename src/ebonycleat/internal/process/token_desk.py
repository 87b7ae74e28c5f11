"""Reserves a team's token for each request before it is placed."""

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
class Admitted:
    """The request has its token and may be placed."""

    request: OpenRequest


@dataclasses.dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The request's team has no token for it."""

    request: OpenRequest
    refusal: Refusal


DeskOutput: TypeAlias = Admitted | NotAdmitted | SendToPeer


class TokenDesk:
    """Tokens of this node's ingress, and the asks that it answers."""

    def __init__(self, holder: GrantHolder, owner: BudgetOwner) -> None:
        """Take tokens from ``holder``; answer peers through ``owner``."""
        self.holder = holder
        self.owner = owner
        self.waiting: dict[tuple[str, int], OpenRequest] = {}

    def reserve(self, request: OpenRequest, now: float) -> list[DeskOutput]:
        """Reserve a token, or let the request wait for one."""
        taken = self.holder.take_token(request.call.team, now)
        outputs: list[DeskOutput] = []
        if isinstance(taken, Token):
            request.token = taken
            outputs.append(Admitted(request))
        elif isinstance(taken, TokenWaiter):
            self.waiting[taken.team, taken.ticket] = request
        else:
            outputs.append(NotAdmitted(request, taken))
        return outputs + self.take_events(now)

    def spend(self, request: OpenRequest, now: float) -> bool:
        """Use the reserved token just before the call is sent.

        True when no token is reserved: the call needs none, or an earlier
        attempt of the same request has spent it.
        """
        if request.token is None:
            return True
        token = request.token
        request.token = None
        return self.holder.spend(token, now)

    def give_back(self, request: OpenRequest, now: float) -> None:
        """Return the token of a request that was never sent."""
        if request.token is not None:
            self.holder.give_back(request.token, now)
            request.token = None

    def receive(
        self,
        sender: str,
        message: GrantAsk | GrantGiven | GrantDenied,
        now: float,
    ) -> list[DeskOutput]:
        """Take a message about tokens from a peer, or from this node."""
        if not isinstance(message, GrantAsk):
            self.holder.receive(message, now)
            return self.take_events(now)
        answer = self.owner.receive(message, now)
        return [] if answer is None else [SendToPeer(sender, answer)]

    def tick(self, now: float) -> list[DeskOutput]:
        """Let asks and waits time out."""
        self.holder.tick(now)
        return self.take_events(now)

    def take_events(self, now: float) -> list[DeskOutput]:
        """Collect what the holder decided."""
        outputs: list[DeskOutput] = []
        for event in self.holder.drain():
            if isinstance(event, SendToPeer):
                outputs.append(event)
            elif isinstance(event, TokenGranted):
                outputs.extend(self.token_ready(event, now))
            else:
                request = self.waiting.pop((event.team, event.ticket), None)
                if request is not None:
                    outputs.append(NotAdmitted(request, event.refusal))
        return outputs

    def token_ready(self, event: TokenGranted, now: float) -> list[DeskOutput]:
        """Give a token to the request that waits for it."""
        key = (event.token.team, event.ticket)
        request = self.waiting.pop(key, None)
        if request is None:
            self.holder.give_back(event.token, now)
            return []
        request.token = event.token
        return [Admitted(request)]
