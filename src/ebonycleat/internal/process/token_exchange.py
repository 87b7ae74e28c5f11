"""Moves tokens of teams from zone leaders to nodes, and between zones.

A request of a caller whose node has no token waits a short time for one from
the leader of its zone. At most one message for a team is in flight at a time,
so a surge costs one message for each round trip and not one for each request.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence

from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    TokenExchangeReply,
    TokenExchangeRequest,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.token_pool import TOKEN_LIFETIME_S
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

EXCHANGE_INTERVAL_S = 0.2
"""Interval at which leases of parts are renewed: four times in one lease."""

MAX_TOKEN_WAIT_S = 0.05
"""How long a request may wait for a token: some round trips to the leader, and
little compared with the shortest latency objective of 120 ms."""

MAX_WAITING = 256
"""Requests of one team that may wait for tokens at a node."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
"""Limits of Retry-After for a request beyond its team's rate. The value grows
with the ratio of refused to granted requests: at the rate of the granted ones,
the requests that were refused in one second take that many seconds."""

MAX_JITTER_FACTOR = 2.0
"""Spreads the retries of requests that were refused together."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a token."""

    expires_at: float
    on_decision: Callable[[bool], None]
    is_over: bool = False


class TeamWaitQueue:
    """Requests of one team that wait for tokens at this node."""

    def __init__(self) -> None:
        """Start without waiting requests."""
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.is_request_in_flight = False
        self.granted: float = 0
        self.refused: float = 0

    def decay_counts(self, factor: float) -> None:
        """Multiply the counts by ``factor``, so that old ones lose weight."""
        self.granted *= factor
        self.refused *= factor


class TokenExchanger:
    """Exchanges tokens for one node, and for its zone if it is the leader."""

    def __init__(
        self,
        quotas: NodeQuotas,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Exchange the tokens of ``quotas``; ``rng`` spreads retries."""
        self.quotas = quotas
        self.leader = leader
        self.links = links
        self.clock = clock
        self.rng = rng
        self.wait_queues: dict[str, TeamWaitQueue] = {}
        # Called when a request begins to wait for a token.
        self.on_waiting: Callable[[], None] = do_nothing

    async def exchange_until_cancelled(self) -> None:
        """Exchange tokens and parts at the interval."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def acquire(self, team: str, on_decision: Callable[[bool], None]) -> None:
        """Spend a token for a request of a team, or let the request wait.

        ``on_decision`` is called with whether there is a token, at once or
        after ``MAX_TOKEN_WAIT_S`` at the latest.
        """
        if not self.quotas.is_limited(team):
            on_decision(True)
            return
        now = self.clock()
        self.quotas.record_demand(team)
        queue = self.wait_queues.setdefault(team, TeamWaitQueue())
        if not queue.waiters and self.quotas.spend_token(team, now):
            queue.granted += 1
            on_decision(True)
            return
        if len(queue.waiters) >= MAX_WAITING:
            queue.refused += 1
            on_decision(False)
            return
        queue.waiters.append(Waiter(now + MAX_TOKEN_WAIT_S, on_decision))
        self.on_waiting()
        self.request_for_waiters(team, queue)

    def return_token(self, team: str, held_s: float) -> None:
        """Return the token of a request that has not run.

        A token that was held for longer than its lifetime is dropped, as it
        would add to the burst of a later window.
        """
        if held_s < TOKEN_LIFETIME_S:
            self.quotas.add_tokens(team, 1, self.clock())

    def retry_after_s(self, team: str) -> float:
        """Return the seconds after which a refused request may get a token."""
        queue = self.wait_queues.get(team)
        excess: float = 0
        if queue is not None:
            excess = queue.refused / max(1.0, queue.granted)
        wait_s = MIN_RETRY_AFTER_S + excess
        wait_s *= self.rng.uniform(1, MAX_JITTER_FACTOR)
        return min(wait_s, MAX_RETRY_AFTER_S)

    def request_for_waiters(self, team: str, queue: TeamWaitQueue) -> None:
        """Request tokens for waiting requests, unless a request is in flight."""
        if queue.is_request_in_flight or not queue.waiters:
            return
        now = self.clock()
        queue.is_request_in_flight = True
        request = self.quotas.create_request(team, len(queue.waiters), now)
        self.exchange_with_leader({}, [request], now)

    def exchange(self) -> None:
        """Renew the leases, draw tokens ahead of need, and balance the zones."""
        now = self.clock()
        for queue in self.wait_queues.values():
            queue.decay_counts(1 - EXCHANGE_INTERVAL_S)
        lent = self.quotas.lend_all(now)
        self.exchange_with_leader(
            lent, self.quotas.create_prefetch_requests(now), now
        )
        if self.leader.is_own_node(now):
            self.balance_zones(now)

    def exchange_with_leader(
        self,
        lent: Mapping[str, float],
        requests: Sequence[TokenRequest],
        now: float,
    ) -> None:
        """Lend parts to the leader and draw tokens from its pool."""
        leader = self.leader.choose_leader(now)
        if leader == self.leader.node:
            granted_tokens = self.serve_locally(lent, requests, now)
            self.receive_tokens(granted_tokens, requests, now)
            return
        link = self.links.find_open_link(leader)
        if link is None:
            self.connect_to_leader(leader)
            self.receive_tokens({}, requests, now)
            return
        number = next(link.request_numbers)
        if requests:
            link.expect_reply(
                number,
                lambda reply: self.receive_tokens(
                    dict(_read_granted(reply)),
                    requests,
                    now,
                ),
            )
        link.send(
            TokenExchangeRequest(
                number,
                tuple(lent.items()),
                tuple(requests),
                is_same_zone=True,
            ),
        )

    def connect_to_leader(self, leader: str) -> None:
        """Connect to a leader, and record it as unreachable on a failure."""
        self.links.request_link(
            leader,
            lambda link: self.handle_leader_connection(leader, link),
        )

    def handle_leader_connection(
        self, leader: str, link: MeshLink | None
    ) -> None:
        """Record that a leader accepted no connection, to avoid it."""
        if link is None:
            self.leader.record_no_answer(leader, self.clock())

    def serve_locally(
        self,
        lent: Mapping[str, float],
        requests: Sequence[TokenRequest],
        now: float,
    ) -> dict[str, float]:
        """Lend to and draw from the pool of this node, which is the leader."""
        pool = self.quotas.pool
        for team, level in lent.items():
            pool.hold_part(team, self.leader.node, level, now)
        return {request.team: pool.draw(request, now) for request in requests}

    def receive_tokens(
        self,
        granted_tokens: Mapping[str, float],
        requests: Sequence[TokenRequest],
        requested_at: float,
    ) -> None:
        """Add the tokens that the pool gave, and decide on waiting requests."""
        for team, wanted, _ in requests:
            self.quotas.add_tokens(
                team, granted_tokens.get(team, 0), requested_at
            )
            queue = self.wait_queues.get(team)
            if queue is not None:
                queue.is_request_in_flight = (
                    queue.is_request_in_flight and not wanted
                )
                self.serve_waiters(team, queue)

    def serve_waiters(self, team: str, queue: TeamWaitQueue) -> None:
        """Give tokens to waiting requests, the oldest first."""
        now = self.clock()
        while queue.waiters:
            if not self.quotas.spend_token(team, now):
                break
            queue.granted += 1
            queue.waiters.popleft().on_decision(True)

    def has_waiters(self) -> bool:
        """Tell whether a request waits for a token."""
        return any(queue.waiters for queue in self.wait_queues.values())

    def tick(self) -> None:
        """Refuse requests that waited too long; request tokens for the others."""
        now = self.clock()
        for team, queue in self.wait_queues.items():
            while queue.waiters and queue.waiters[0].expires_at <= now:
                queue.refused += 1
                queue.waiters.popleft().on_decision(False)
            self.serve_waiters(team, queue)
            self.request_for_waiters(team, queue)

    def balance_zones(self, now: float) -> None:
        """Draw what this zone is short of from the pools of other zones."""
        shortages = self.quotas.pool.create_requests(now)
        other_leaders = self.leader.choose_leaders_of_other_zones(now)
        if not shortages or not other_leaders:
            return
        requests = tuple(
            shortage._replace(wanted=shortage.wanted / len(other_leaders))
            for shortage in shortages
        )
        for leader in other_leaders:
            self.request_from_other_zone(leader, requests, now)

    def request_from_other_zone(
        self,
        leader: str,
        requests: tuple[TokenRequest, ...],
        now: float,
    ) -> None:
        """Request tokens from the leader of another zone."""
        link = self.links.find_open_link(leader)
        if link is None:
            self.connect_to_leader(leader)
            return
        number = next(link.request_numbers)
        link.expect_reply(
            number,
            lambda reply: self.receive_other_zone_tokens(reply, now),
        )
        link.send(
            TokenExchangeRequest(number, (), requests, is_same_zone=False)
        )

    def receive_other_zone_tokens(
        self,
        reply: AnyMeshMessage | None,
        requested_at: float,
    ) -> None:
        """Add another zone's tokens to the pool."""
        for team, tokens in _read_granted(reply):
            self.quotas.pool.add_other_zone_tokens(team, tokens, requested_at)

    def message_received(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Process the messages of the exchange."""
        if isinstance(message, TokenExchangeReply):
            link.resolve_reply(message.number, message)
        elif isinstance(message, TokenExchangeRequest):
            self.serve_exchange(link, message)

    def serve_exchange(
        self, link: MeshLink, message: TokenExchangeRequest
    ) -> None:
        """Hold the parts that are lent, and give the tokens that are wanted."""
        now = self.clock()
        pool = self.quotas.pool
        for team, level in message.lent:
            pool.hold_part(team, link.node, level, now)
        if not message.wanted:
            return
        draw = pool.draw if message.is_same_zone else pool.draw_for_other_zone
        granted_tokens = tuple(
            (request[0], draw(TokenRequest(*request), now))
            for request in message.wanted
        )
        link.send(TokenExchangeReply(message.number, granted_tokens))


def _read_granted(
    reply: AnyMeshMessage | None,
) -> tuple[tuple[str, float], ...]:
    return reply.granted if isinstance(reply, TokenExchangeReply) else ()
