"""Tokens at an ingress node, taken by calls and requested ahead of need.

The driver passes in calls, answers of budget owners and ticks. It then carries
out what ``drain_events`` returns: messages to owners, and decisions on calls
that waited.
"""

import itertools
from collections.abc import Callable, Sequence

from ebonycleat.internal.connection.grant_messages import (
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.team_token_queue import (
    TeamTokenQueue,
    TokenEvent,
    TokenWaiter,
)
from ebonycleat.internal.process.team_tokens import Token
from ebonycleat.internal.process.token_sources import TokenSources
from ebonycleat.internal.request.refusal import Refusal


class GrantHolder:
    """The tokens of all teams at one ingress node."""

    def __init__(
        self,
        node: str,
        incarnation: int,
        zones: Callable[[], Sequence[str]],
        find_owner: Callable[[str, str], str | None],
    ) -> None:
        """Start without tokens.

        ``zones`` returns all zones, the node's own first. ``find_owner(zone,
        team)`` returns the node that owns the team's budget there, if any.
        """
        self.node = node
        self.zones = zones
        self.find_owner = find_owner
        self.events: list[TokenEvent] = []
        self.queues: dict[str, TeamTokenQueue] = {}
        self.ask_numbers = itertools.count(1)
        self.ask_prefix = f'{node}/{incarnation}/'

    def reserve_token(
        self,
        team: str,
        now: float,
    ) -> Token | TokenWaiter | Refusal:
        """Reserve a token for one call, or let the call wait for at most 20 ms.

        For a call that waits, ``drain_events`` later returns ``TokenGranted``
        or ``TokenRefused`` with its ticket.
        """
        return self._find_or_create_queue(team).reserve(now)

    def spend(self, token: Token, now: float) -> bool:
        """Spend a reserved token just before its call is sent.

        Returns False if the token has expired: then the call must not be sent,
        but may reserve another token.
        """
        return self._find_or_create_queue(token.team).spend(token, now)

    def return_token(self, token: Token, now: float) -> None:
        """Return a reserved token whose call will not be sent."""
        queue = self._find_or_create_queue(token.team)
        queue.tokens.return_token(token)
        queue.tick(now)

    def handle_answer(
        self, message: GrantGiven | GrantDenied, now: float
    ) -> None:
        """Process an owner's answer; repeated and late answers do no harm."""
        queue = self._find_or_create_queue(message.team)
        if isinstance(message, GrantGiven):
            queue.handle_grant(message, now)
        else:
            queue.handle_denial(message, now)

    def tick(self, now: float) -> None:
        """Do what is due; call it every few ms, or at ``next_tick_at``."""
        for queue in self.queues.values():
            queue.tick(now)

    def next_tick_at(self, now: float) -> float:
        """Return when ``tick`` must be called next, infinity when idle."""
        return min(
            (queue.next_tick_at(now) for queue in self.queues.values()),
            default=float('inf'),
        )

    def drain_events(self) -> list[TokenEvent]:
        """Return the messages and decisions since the last call, in order."""
        events = self.events.copy()
        self.events.clear()
        return events

    def _find_or_create_queue(self, team: str) -> TeamTokenQueue:
        queue = self.queues.get(team)
        if queue is None:
            sources = TokenSources(
                self.zones,
                lambda zone: self.find_owner(zone, team),
            )
            queue = TeamTokenQueue(
                self.node,
                team,
                sources,
                self.events.append,
                self._next_ask_id,
            )
            self.queues[team] = queue
        return queue

    def _next_ask_id(self) -> str:
        return f'{self.ask_prefix}{next(self.ask_numbers)}'
