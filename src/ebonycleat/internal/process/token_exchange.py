"""Moves tokens of teams: nodes to their zone's leader, and between zones.

A request whose node has no token waits a moment for one from the leader. One
question is on its way for each team at a time, so a surge costs a question
for each round trip and not one for each request.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Mapping, Sequence

from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    TokenExchangeRequest,
    TokenExchangeReply,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.node_quotas import NodeQuotas
from ebonycleat.internal.process.token_pool import TOKEN_LIFETIME_S
from ebonycleat.internal.process.token_store import TokenRequest
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

EXCHANGE_INTERVAL_S = 0.2
"""How often leases are renewed: four times within one."""

MAX_TOKEN_WAIT_S = 0.05
"""How long a request may wait for a token: some round trips to the leader,
and little against the shortest objective of 120 ms."""

MAX_WAITING = 256
"""Requests of one team that may wait for tokens at a node."""

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0
"""Retry-After of a request beyond its team's rate. It grows with the ratio
of refused to granted requests, which is the time that the excess of a second
takes to be worked off."""

MAX_JITTER_FACTOR = 2.0
"""Requests refused together must not come back together."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a token."""

    expires_at: float
    on_decision: Callable[[bool], None]
    is_over: bool = False


class TeamWaitQueue:
    """Requests of one team that wait at this node."""

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.is_asking = False
        self.granted: float = 0
        self.refused: float = 0

    def decay_counts(self, share: float) -> None:
        """Let old counts fade."""
        self.granted *= share
        self.refused *= share


class TokenExchanger:
    """The tokens of one node, and the pool of its zone if it leads it."""

    def __init__(
        self,
        quota: NodeQuotas,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Exchange the tokens of ``quota``; ``rng`` spreads retries."""
        self.quota = quota
        self.leader = leader
        self.links = links
        self.clock = clock
        self.rng = rng
        self.wait_queues: dict[str, TeamWaitQueue] = {}
        self.on_waiting: Callable[[], None] = do_nothing

    async def exchange_until_cancelled(self) -> None:
        """Exchange at the interval."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def acquire(self, team: str, on_decision: Callable[[bool], None]) -> None:
        """Decide now or soon whether a request of a team has a token."""
        if not self.quota.is_limited(team):
            on_decision(True)
            return
        now = self.clock()
        self.quota.record_demand(team)
        desk = self.wait_queues.setdefault(team, TeamWaitQueue())
        if not desk.waiters and self.quota.spend_token(team, now):
            desk.granted += 1
            on_decision(True)
            return
        if len(desk.waiters) >= MAX_WAITING:
            desk.refused += 1
            on_decision(False)
            return
        desk.waiters.append(Waiter(now + MAX_TOKEN_WAIT_S, on_decision))
        self.on_waiting()
        self.request_for_waiters(team, desk)

    def return_token(self, team: str, held_s: float) -> None:
        """Return the token of a request that has not run.

        One that was held for longer would add to a later window.
        """
        if held_s < TOKEN_LIFETIME_S:
            self.quota.add_tokens(team, 1, self.clock())

    def retry_after_s(self, team: str) -> float:
        """Seconds after which a refused request has a fair chance."""
        desk = self.wait_queues.get(team)
        excess: float = 0
        if desk is not None:
            excess = desk.refused / max(1.0, desk.granted)
        wait_s = MIN_RETRY_AFTER_S + excess
        wait_s *= self.rng.uniform(1, MAX_JITTER_FACTOR)
        return min(wait_s, MAX_RETRY_AFTER_S)

    def request_for_waiters(self, team: str, desk: TeamWaitQueue) -> None:
        """Ask for the requests that wait, unless a question is out."""
        if desk.is_asking or not desk.waiters:
            return
        now = self.clock()
        desk.is_asking = True
        want = self.quota.create_request(team, len(desk.waiters), now)
        self.exchange_with_leader({}, [want], now)

    def exchange(self) -> None:
        """Renew the leases, draw ahead, and balance the zones."""
        now = self.clock()
        for desk in self.wait_queues.values():
            desk.decay_counts(1 - EXCHANGE_INTERVAL_S)
        lent = self.quota.lend_all(now)
        self.exchange_with_leader(
            lent, self.quota.create_prefetch_requests(now), now
        )
        if self.leader.is_own_node(now):
            self.balance_zones(now)

    def exchange_with_leader(
        self,
        lent: Mapping[str, float],
        wants: Sequence[TokenRequest],
        now: float,
    ) -> None:
        """Lend to the leader and draw from it."""
        leader = self.leader.choose_leader(now)
        if leader == self.leader.node:
            given = self.serve_locally(lent, wants, now)
            self.receive_tokens(given, wants, now)
            return
        link = self.links.find_open_link(leader)
        if link is None:
            self.connect_to_leader(leader)
            self.receive_tokens({}, wants, now)
            return
        number = next(link.request_numbers)
        if wants:
            link.expect_reply(
                number,
                lambda reply: self.receive_tokens(
                    dict(_given_in(reply)),
                    wants,
                    now,
                ),
            )
        link.send(
            TokenExchangeRequest(
                number,
                tuple(lent.items()),
                tuple(wants),
                is_same_zone=True,
            ),
        )

    def connect_to_leader(self, leader: str) -> None:
        """Connect to a leader; one that accepts none is passed over."""
        self.links.request_link(
            leader,
            lambda link: self.handle_leader_connection(leader, link),
        )

    def handle_leader_connection(
        self, leader: str, link: MeshLink | None
    ) -> None:
        """Pass over a leader that accepts no connection."""
        if link is None:
            self.leader.record_no_answer(leader, self.clock())

    def serve_locally(
        self,
        lent: Mapping[str, float],
        wants: Sequence[TokenRequest],
        now: float,
    ) -> dict[str, float]:
        """Lend to and draw from the pool at this node."""
        pool = self.quota.pool
        for team, level in lent.items():
            pool.hold_part(team, self.leader.node, level, now)
        return {want.team: pool.draw(want, now) for want in wants}

    def receive_tokens(
        self,
        given: Mapping[str, float],
        wants: Sequence[TokenRequest],
        asked_at: float,
    ) -> None:
        """Hold what the pool gave, and decide on those that wait."""
        for team, wanted, _ in wants:
            self.quota.add_tokens(team, given.get(team, 0), asked_at)
            desk = self.wait_queues.get(team)
            if desk is not None:
                desk.is_asking = desk.is_asking and not wanted
                self.serve_waiters(team, desk)

    def serve_waiters(self, team: str, desk: TeamWaitQueue) -> None:
        """Give tokens to those that wait, in their order."""
        now = self.clock()
        while desk.waiters:
            if not self.quota.spend_token(team, now):
                break
            desk.granted += 1
            desk.waiters.popleft().on_decision(True)

    def has_waiters(self) -> bool:
        """Whether a request waits for a token."""
        return any(desk.waiters for desk in self.wait_queues.values())

    def tick(self) -> None:
        """Refuse those that waited too long; ask again for the others."""
        now = self.clock()
        for team, desk in self.wait_queues.items():
            while desk.waiters and desk.waiters[0].expires_at <= now:
                desk.refused += 1
                desk.waiters.popleft().on_decision(False)
            self.serve_waiters(team, desk)
            self.request_for_waiters(team, desk)

    def balance_zones(self, now: float) -> None:
        """Draw from other zones' pools what this zone is short of."""
        missing = self.quota.pool.create_requests(now)
        others = self.leader.choose_leaders_of_other_zones(now)
        if not missing or not others:
            return
        wants = tuple(
            want._replace(wanted=want.wanted / len(others)) for want in missing
        )
        for leader in others:
            self.request_from_zone(leader, wants, now)

    def request_from_zone(
        self,
        leader: str,
        wants: tuple[TokenRequest, ...],
        now: float,
    ) -> None:
        """Ask the leader of another zone for tokens."""
        link = self.links.find_open_link(leader)
        if link is None:
            self.connect_to_leader(leader)
            return
        number = next(link.request_numbers)
        link.expect_reply(
            number,
            lambda reply: self.receive_zone_tokens(reply, now),
        )
        link.send(TokenExchangeRequest(number, (), wants, is_same_zone=False))

    def receive_zone_tokens(
        self,
        reply: AnyMeshMessage | None,
        asked_at: float,
    ) -> None:
        """Add another zone's tokens to the pool."""
        for team, tokens in _given_in(reply):
            self.quota.pool.add_zone_tokens(team, tokens, asked_at)

    def message_received(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Handle the messages of the exchange."""
        if isinstance(message, TokenExchangeReply):
            link.resolve_reply(message.number, message)
        elif isinstance(message, TokenExchangeRequest):
            self.serve_exchange(link, message)

    def serve_exchange(
        self, link: MeshLink, message: TokenExchangeRequest
    ) -> None:
        """Hold the parts that are lent and give what is wanted."""
        now = self.clock()
        pool = self.quota.pool
        for team, level in message.lent:
            pool.hold_part(team, link.node, level, now)
        if not message.wanted:
            return
        give = pool.draw if message.is_same_zone else pool.draw_for_zone
        given = tuple(
            (want[0], give(TokenRequest(*want), now)) for want in message.wanted
        )
        link.send(TokenExchangeReply(message.number, given))


def _given_in(reply: AnyMeshMessage | None) -> tuple[tuple[str, float], ...]:
    return reply.granted if isinstance(reply, TokenExchangeReply) else ()
