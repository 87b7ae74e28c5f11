"""Moves tokens of teams between their holders and the nodes with callers.

A request of a caller whose node has no token waits a short time for one from
the holder of its team's group. At most one message for a team is in flight at
a time, so a surge costs one message for each round trip and not one for each
request.
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
from ebonycleat.internal.process.team_groups import (
    GROUP_COUNT,
    group_of_team,
)
from ebonycleat.internal.process.token_holders import TokenHolders
from ebonycleat.internal.process.token_pool import (
    PART_LEASE_S,
    TOKEN_LIFETIME_S,
)
from ebonycleat.internal.process.token_store import TokenRequest

EXCHANGE_INTERVAL_S = 0.25
"""Interval at which leases of parts are renewed: four times in one lease."""

MAX_TOKEN_WAIT_S = 0.3
"""How long a request may wait for a token if its team keeps to its rate. A
token is there sooner than a refused caller would return."""

MIN_TOKEN_WAIT_S = 0.05
"""How long a request of a team beyond its rate may wait: some round trips to
the holder. Most of its requests would wait in vain, and are told so soon."""

MAX_REFUSED_RATIO = 0.25
"""A team with more refused requests for each granted one is beyond its rate."""

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

    def max_wait_s(self) -> float:
        """Return how long the next request may wait."""
        if self.refused > self.granted * MAX_REFUSED_RATIO:
            return MIN_TOKEN_WAIT_S
        return MAX_TOKEN_WAIT_S

    def pop_expired(self, now: float) -> list[Waiter]:
        """Take the requests that have waited long enough out of the queue."""
        expired = [one for one in self.waiters if one.expires_at <= now]
        if expired:
            self.waiters = collections.deque(
                one for one in self.waiters if one.expires_at > now
            )
        return expired

    def decay_counts(self, factor: float) -> None:
        """Multiply the counts by ``factor``, so that old ones lose weight."""
        self.granted *= factor
        self.refused *= factor


class TokenExchanger:
    """Exchanges tokens for one node, and for all if it is a holder."""

    def __init__(
        self,
        quotas: NodeQuotas,
        holders: TokenHolders,
        links: LinkPool,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Exchange the tokens of ``quotas``; ``rng`` spreads retries."""
        self.quotas = quotas
        self.holders = holders
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
        queue.waiters.append(Waiter(now + queue.max_wait_s(), on_decision))
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

    def find_holder(self, team: str) -> str:
        """Return the node that the tokens of a team are drawn from now."""
        return self.holders.find_holder(group_of_team(team), self.clock())

    def request_for_waiters(self, team: str, queue: TeamWaitQueue) -> None:
        """Request tokens for waiting requests, unless a request is in flight."""
        if queue.is_request_in_flight or not queue.waiters:
            return
        now = self.clock()
        queue.is_request_in_flight = True
        request = self.quotas.create_request(team, len(queue.waiters), now)
        self.exchange_with(self.find_holder(team), (), [request], now)

    def exchange(self) -> None:
        """Renew the leases, and draw tokens ahead of need."""
        now = self.clock()
        for queue in self.wait_queues.values():
            queue.decay_counts(1 - EXCHANGE_INTERVAL_S)
        self.quotas.update_demands(now)
        self.holders.avoid_silent_holders(now)
        requests_by_holder: dict[str, list[TokenRequest]] = {}
        for request in self.quotas.create_prefetch_requests(now):
            holder = self.holders.find_holder(group_of_team(request.team), now)
            requests_by_holder.setdefault(holder, []).append(request)
        groups_by_holder = self.holders.choose_lent_groups(now)
        for holder in groups_by_holder | requests_by_holder:
            self.exchange_with(
                holder,
                groups_by_holder.get(holder, ()),
                requests_by_holder.get(holder, ()),
                now,
            )

    def exchange_with(
        self,
        holder: str,
        groups: Sequence[int],
        requests: Sequence[TokenRequest],
        now: float,
    ) -> None:
        """Lend groups to a holder and draw tokens from its pool."""
        if holder == self.holders.node:
            granted_tokens = self.serve_locally(groups, requests, now)
            self.receive_tokens(granted_tokens, requests, now)
            return
        link = self.links.find_open_link(holder)
        if link is None:
            self.receive_tokens({}, requests, now)
            return
        lent_groups, levels = self.holders.lend(link, groups, now)
        number = next(link.request_numbers)
        link.expect_reply(
            number,
            lambda reply: self.handle_reply(link, reply, requests, now),
        )
        self.holders.record_sent(link, now)
        link.send(
            TokenExchangeRequest(
                number,
                tuple(levels.items()),
                tuple(requests),
                groups=lent_groups,
                holder_time_s=self.holders.holder_time_s(link),
            ),
        )

    def serve_locally(
        self,
        groups: Sequence[int],
        requests: Sequence[TokenRequest],
        now: float,
    ) -> dict[str, float]:
        """Lend to and draw from the pool of this node, which is the holder."""
        pool = self.quotas.pool
        node = self.holders.node
        for group in groups:
            levels = self.quotas.lend(group, node, now)
            if levels is not None:
                pool.hold(group, node, levels, now + PART_LEASE_S, now)
        return {request.team: pool.draw(request, now) for request in requests}

    def handle_reply(
        self,
        link: MeshLink,
        reply: AnyMeshMessage | None,
        requests: Sequence[TokenRequest],
        requested_at: float,
    ) -> None:
        """Record what a reply says about its sender, and take the tokens."""
        granted_tokens: dict[str, float] = {}
        if isinstance(reply, TokenExchangeReply):
            self.holders.record_reply(link, reply, self.clock())
            granted_tokens.update(reply.granted)
        else:
            self.holders.record_closed(link, self.clock())
        self.receive_tokens(granted_tokens, requests, requested_at)

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
            self.serve_waiters(team, queue)
            for expired in queue.pop_expired(now):
                queue.refused += 1
                expired.on_decision(False)
            self.request_for_waiters(team, queue)

    def refuse_waiting(self) -> None:
        """Refuse all requests that wait for a token, because the node ends."""
        for queue in self.wait_queues.values():
            while queue.waiters:
                queue.waiters.popleft().on_decision(False)

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
        granted_tokens: tuple[tuple[str, float], ...] = ()
        is_leaving = self.holders.is_leaving
        if not is_leaving:
            self.hold_parts(link.node, message, now)
            granted_tokens = tuple(
                (request[0], self.quotas.pool.draw(TokenRequest(*request), now))
                for request in message.wanted
            )
        link.send(
            TokenExchangeReply(message.number, granted_tokens, now, is_leaving)
        )

    def hold_parts(
        self, node: str, message: TokenExchangeRequest, now: float
    ) -> None:
        """Hold the parts that a node lends.

        The lease counts from this node's own earlier reply, which the lender
        had received before it lent the parts. The lender's lease therefore
        ends later, however long the message was on its way.
        """
        holder_time_s = message.holder_time_s
        if holder_time_s is None or holder_time_s > now:
            return
        for group in message.groups:
            if 0 <= group < GROUP_COUNT:
                levels = {
                    team: level
                    for team, level in message.lent
                    if group_of_team(team) == group
                }
                self.quotas.pool.hold(
                    group, node, levels, holder_time_s + PART_LEASE_S, now
                )

    def stop_holding(self) -> None:
        """Give up the parts of other nodes, because this node stops.

        Their next exchange is answered with this, and they lend to another
        node at once instead of after the end of their leases.
        """
        self.holders.is_leaving = True
        self.quotas.pool.release_all()
        self.quotas.take_back_from(self.holders.node, self.clock())
