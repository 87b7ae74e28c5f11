"""Tokens at the ingress: taken by calls, asked for ahead of need.

The driver passes in calls, answers of owners and ticks, and then carries
out what ``drain`` returns: messages to owners and decisions on calls that
waited.
"""

import itertools
from collections.abc import Callable, Sequence

from ebonycleat.internal.connection.grant_messages import (
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.team_queue import (
    HolderEvent,
    TeamQueue,
    WaitForToken,
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
        """Hold nothing.

        ``zones`` lists the zones with the node's own first, and
        ``owner_in(zone, team)`` names the owner of a team's budget there.
        """
        self.node = node
        self.zones = zones
        self.find_owner = find_owner
        self.outbox: list[HolderEvent] = []
        self.queues: dict[str, TeamQueue] = {}
        self.ask_numbers = itertools.count(1)
        self.ask_prefix = f'{node}/{incarnation}/'

    def reserve_token(
        self,
        team: str,
        now: float,
    ) -> Token | WaitForToken | Refusal:
        """Reserve a token for one call, or let it wait for 20 ms at most.

        ``drain`` later returns ``TokenReady`` or ``TokenRefused`` with the
        ticket of a call that waits.
        """
        return self._queue_of(team).take(now)

    def spend(self, token: Token, now: float) -> bool:
        """Use a token just before its call is sent.

        When this says False the token has expired: the call must not be
        sent, and may take another token.
        """
        return self._queue_of(token.team).spend(token, now)

    def return_token(self, token: Token, now: float) -> None:
        """Return a reserved token whose call is not going to be sent."""
        queue = self._queue_of(token.team)
        queue.tokens.return_token(token)
        queue.tick(now)

    def handle_answer(self, message: GrantGiven | GrantDenied, now: float) -> None:
        """Take an owner's answer; copies and late ones do no harm."""
        queue = self._queue_of(message.team)
        if isinstance(message, GrantGiven):
            queue.given(message, now)
        else:
            queue.denied(message, now)

    def tick(self, now: float) -> None:
        """Do what is due; call it every few milliseconds, or by ``next_wake``."""
        for queue in self.queues.values():
            queue.tick(now)

    def next_tick_at(self, now: float) -> float:
        """Return when ``tick`` is needed next; infinity when idle."""
        return min(
            (queue.next_wake(now) for queue in self.queues.values()),
            default=float('inf'),
        )

    def drain_events(self) -> list[HolderEvent]:
        """Return messages and decisions since the last call, in order."""
        events = self.outbox.copy()
        self.outbox.clear()
        return events

    def _queue_of(self, team: str) -> TeamQueue:
        queue = self.queues.get(team)
        if queue is None:
            sources = TokenSources(
                self.zones,
                lambda zone: self.find_owner(zone, team),
            )
            queue = TeamQueue(
                self.node,
                team,
                sources,
                self.outbox.append,
                self._next_ask_id,
            )
            self.queues[team] = queue
        return queue

    def _next_ask_id(self) -> str:
        return f'{self.ask_prefix}{next(self.ask_numbers)}'
