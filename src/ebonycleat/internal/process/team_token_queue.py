"""Calls of one team that wait at one ingress node for tokens of its rate.

The node (the holder) gets tokens in grants, for which it sends ``GrantAsk``
messages (asks) to the team's budget owners. At most one ask is in flight per
team, so that a surge of calls costs one message per round trip instead of one
per call.
"""

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import TypeAlias

from ebonycleat.internal.connection.grant_messages import (
    DenialReason,
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.budget_owner import MAX_GRANT_LIFETIME_S
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.process.team_tokens import (
    DemandEstimate,
    HeldGrant,
    TeamTokens,
    Token,
)
from ebonycleat.internal.process.token_sources import TokenSource, TokenSources
from ebonycleat.internal.request.refusal import Refusal

TOKEN_WAIT_S = 0.02
# A round trip between zones takes 2 ms. After this timeout there is still time
# to ask another zone while the call waits.
ASK_TIMEOUT_S = 0.008
# Tokens for the demand of this time are fetched ahead. If that is less than one
# token, none is fetched ahead, so that teams with small bursts have no unused
# tokens at idle nodes.
PREFETCH_S = 0.05
# Spent tokens count towards the team's burst at the owner until they are
# reported. Busy teams report with their next ask, long before this delay.
REPORT_DELAY_S = 0.1
# Teams for which no tokens are fetched ahead may have bursts of only a few
# tokens, and each unreported token takes one of them.
SLOW_REPORT_DELAY_S = 0.02
RETURN_CHECK_INTERVAL_S = 0.05
# More waiting calls than this could not all get a token within the wait.
MAX_WAITERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWaiter:
    """A call that waits for a token until ``deadline``.

    ``ticket`` identifies the call in the event that ends the wait.
    """

    team: str
    ticket: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGranted:
    """The waiting call with this ticket gets a token."""

    ticket: int
    token: Token


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRefused:
    """The waiting call with this ticket gets no token."""

    team: str
    ticket: int
    refusal: Refusal


TokenEvent: TypeAlias = SendToPeer | TokenGranted | TokenRefused


@dataclasses.dataclass(frozen=True, slots=True)
class SentGrantAsk:
    """An ask for a grant that has not been answered."""

    source: TokenSource
    asked_at: float


class TeamTokenQueue:
    """Waiting calls, tokens and the ask in flight of one team at one node."""

    def __init__(
        self,
        node: str,
        team: str,
        sources: TokenSources,
        emit: Callable[[TokenEvent], None],
        next_ask_id: Callable[[], str],
    ) -> None:
        """Start empty.

        ``node`` is the holder's id. ``emit`` receives events and messages to
        owners; ``next_ask_id`` creates ids of asks.
        """
        self.node = node
        self.team = team
        self.sources = sources
        self.emit = emit
        self.next_ask_id = next_ask_id
        self.tokens = TeamTokens(self.team)
        self.demand = DemandEstimate()
        self.waiters: collections.deque[TokenWaiter] = collections.deque()
        self.last_ticket = 0
        # Asks that timed out are included, because late grants are used.
        self.sent_asks: dict[str, SentGrantAsk] = {}
        self.in_flight_ask_id = ''
        self.report_due_at = math.inf
        self.return_check_at = math.inf

    def reserve(self, now: float) -> Token | TokenWaiter | Refusal:
        """Reserve a token, or let the call wait for one.

        Returns a refusal if no token can be expected within the wait.
        """
        self.demand.record_call(now)
        token = None if self.waiters else self.tokens.reserve(now)
        if token is not None:
            self._prefetch(now)
            return token
        retry_at = self.sources.next_retry_at()
        no_ask_in_time = (
            not self.in_flight_ask_id and retry_at >= now + TOKEN_WAIT_S
        )
        if no_ask_in_time or len(self.waiters) >= MAX_WAITERS:
            return self.sources.create_refusal(now)
        self.last_ticket += 1
        waiter = TokenWaiter(self.team, self.last_ticket, now + TOKEN_WAIT_S)
        self.waiters.append(waiter)
        self._ask(now)
        return waiter

    def spend(self, token: Token, now: float) -> bool:
        """Spend a reserved token; return false if its grant has expired."""
        spent = self.tokens.spend(token, now)
        if spent:
            is_busy = self._prefetch_count(now) > 0
            delay_s = REPORT_DELAY_S if is_busy else SLOW_REPORT_DELAY_S
            self.report_due_at = min(self.report_due_at, now + delay_s)
        return spent

    def handle_grant(self, given: GrantGiven, now: float) -> None:
        """Add the tokens of a grant, unless its ask was answered before."""
        ask = self._pop_answered(given.ask_id)
        if ask is None:
            return
        self.sources.record_grant(ask.source.zone)
        grant = HeldGrant(
            given.grant_id,
            ask.source.owner,
            received_at=now,
            expires_at=ask.asked_at + given.lifetime_s,
            free=given.tokens,
        )
        self.tokens.add(grant)
        self.return_check_at = min(
            self.return_check_at, now + RETURN_CHECK_INTERVAL_S
        )
        self._grant_waiting(now)
        self._ask_or_refuse(now)

    def handle_denial(self, denied: GrantDenied, now: float) -> None:
        """Ask in another zone, or refuse calls that can get no token."""
        ask = self._pop_answered(denied.ask_id)
        if ask is None:
            return
        zone = ask.source.zone
        if denied.reason is DenialReason.EMPTY:
            self.sources.record_empty(zone, denied.retry_after_s, now)
        else:
            self.sources.record_no_answer(zone, now)
        self._ask_or_refuse(now)

    def tick(self, now: float) -> None:
        """Time out asks and waiting calls; report and return tokens."""
        ask = self.sent_asks.get(self.in_flight_ask_id)
        if ask is not None and now >= ask.asked_at + ASK_TIMEOUT_S:
            self.in_flight_ask_id = ''
            self.sources.record_no_answer(ask.source.zone, now)
        for ask_id, sent in tuple(self.sent_asks.items()):
            if now >= sent.asked_at + MAX_GRANT_LIFETIME_S:
                self.sent_asks.pop(ask_id)
        self.tokens.expire(now)
        self._grant_waiting(now)
        while self.waiters and now >= self.waiters[0].deadline:
            self._refuse_first(now)
        self._ask_or_refuse(now)
        self._return_and_report(now)

    def next_tick_at(self, now: float) -> float:
        """Return the time at which ``tick`` is next due."""
        due_times = [self.report_due_at, self.return_check_at]
        ask = self.sent_asks.get(self.in_flight_ask_id)
        if ask is not None:
            due_times.append(ask.asked_at + ASK_TIMEOUT_S)
        if self.waiters:
            due_times.append(self.waiters[0].deadline)
            if ask is None:
                due_times.append(max(self.sources.next_retry_at(), now))
        return min(due_times)

    def _pop_answered(self, ask_id: str) -> SentGrantAsk | None:
        if ask_id == self.in_flight_ask_id:
            self.in_flight_ask_id = ''
        return self.sent_asks.pop(ask_id, None)

    def _ask_or_refuse(self, now: float) -> None:
        if not self.waiters or self.in_flight_ask_id:
            return
        self._ask(now)
        if self.in_flight_ask_id:
            return
        # A slow owner may still answer while these calls wait.
        if any(
            now < sent.asked_at + TOKEN_WAIT_S
            for sent in self.sent_asks.values()
        ):
            return
        retry_at = self.sources.next_retry_at()
        while self.waiters and self.waiters[0].deadline <= retry_at:
            self._refuse_first(now)

    def _prefetch(self, now: float) -> None:
        if 2 * self.tokens.count_free(now) < self._prefetch_count(now):
            self._ask(now)

    def _ask(self, now: float) -> None:
        wanted = (
            len(self.waiters)
            + self._prefetch_count(now)
            - self.tokens.count_free(now)
        )
        if self.in_flight_ask_id or wanted <= 0:
            return
        source = self.sources.choose(now)
        if source is None:
            return
        self.in_flight_ask_id = self.next_ask_id()
        self.sent_asks[self.in_flight_ask_id] = SentGrantAsk(source, now)
        self._send(source.owner, self.in_flight_ask_id, wanted)

    def _send(self, owner: str, ask_id: str, wanted: int) -> None:
        reports = self.tokens.take_reports(owner)
        ask = GrantAsk(ask_id, self.node, self.team, wanted, reports)
        self.emit(SendToPeer(owner, ask))

    def _prefetch_count(self, now: float) -> int:
        return math.floor(self.demand.rate_at(now) * PREFETCH_S)

    def _grant_waiting(self, now: float) -> None:
        while self.waiters:
            token = self.tokens.reserve(now)
            if token is None:
                return
            waiter = self.waiters.popleft()
            self.emit(TokenGranted(waiter.ticket, token))

    def _refuse_first(self, now: float) -> None:
        waiter = self.waiters.popleft()
        refusal = self.sources.create_refusal(now)
        self.emit(TokenRefused(self.team, waiter.ticket, refusal))

    def _return_and_report(self, now: float) -> None:
        if now >= self.return_check_at:
            self.return_check_at = math.inf
            if self.tokens.return_surplus(self._prefetch_count(now), now):
                self.report_due_at = now
            if self.tokens.count_free(now):
                self.return_check_at = now + RETURN_CHECK_INTERVAL_S
        if now >= self.report_due_at:
            self.report_due_at = math.inf
            for owner in self.tokens.owners_to_report():
                self._send(owner, '', 0)
