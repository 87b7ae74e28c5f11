"""Calls of one team at one ingress node, in the order of their arrival.

There is at most one ask in flight, so a surge of calls costs one message per
round trip and not one per call.
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
# A round trip between zones takes 2 ms; a longer silence leaves time to ask
# another zone within the wait of a call.
ASK_TIMEOUT_S = 0.008
# Demand covered ahead of need. Below one token nothing is fetched ahead, so
# teams with small bursts have no tokens stranded at idle nodes.
PREFETCH_S = 0.05
# Spent tokens fill the burst until they are reported; busy teams report with
# their next ask, long before this.
REPORT_DELAY_S = 0.1
# Teams that are not fetched ahead for may have bursts of a few tokens, of
# which each unreported one is missing.
SLOW_REPORT_DELAY_S = 0.02
RETURN_CHECK_INTERVAL_S = 0.05
# More calls than this cannot all be served within the wait.
MAX_WAITERS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWaiter:
    """The call may be answered until ``deadline`` under this ticket."""

    team: str
    ticket: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGranted:
    """The call that waits under the ticket has its token."""

    ticket: int
    token: Token


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRefused:
    """The call that waits under the ticket gets no token."""

    team: str
    ticket: int
    refusal: Refusal


TokenEvent: TypeAlias = SendToPeer | TokenGranted | TokenRefused


@dataclasses.dataclass(frozen=True, slots=True)
class SentGrantAsk:
    """An ask without an answer so far."""

    source: TokenSource
    asked_at: float


class TeamTokenQueue:
    """Waiting calls, tokens and the ask in flight of one team."""

    def __init__(
        self,
        node: str,
        team: str,
        sources: TokenSources,
        emit: Callable[[TokenEvent], None],
        next_ask_id: Callable[[], str],
    ) -> None:
        """Start empty; ``node`` is the holder."""
        self.node = node
        self.team = team
        self.sources = sources
        self.emit = emit
        self.next_ask_id = next_ask_id
        self.tokens = TeamTokens(self.team)
        self.demand = DemandEstimate()
        self.waiters: collections.deque[TokenWaiter] = collections.deque()
        self.last_ticket = 0
        # Includes abandoned asks, whose late answers are still welcome.
        self.sent_asks: dict[str, SentGrantAsk] = {}
        self.in_flight_ask_id = ''
        self.report_due_at = math.inf
        self.return_check_at = math.inf

    def reserve(self, now: float) -> Token | TokenWaiter | Refusal:
        """Reserve a token or queue the call, if it can be served in time."""
        self.demand.record_call(now)
        token = None if self.waiters else self.tokens.reserve(now)
        if token is not None:
            self._ask_ahead(now)
            return token
        retry_at = self.sources.next_retry_at()
        hopeless = not self.in_flight_ask_id and retry_at >= now + TOKEN_WAIT_S
        if hopeless or len(self.waiters) >= MAX_WAITERS:
            return self.sources.create_refusal(now)
        self.last_ticket += 1
        waiter = TokenWaiter(self.team, self.last_ticket, now + TOKEN_WAIT_S)
        self.waiters.append(waiter)
        self._ask(now)
        return waiter

    def spend(self, token: Token, now: float) -> bool:
        """Use a reserved token."""
        spent = self.tokens.spend(token, now)
        if spent:
            fast = self._prefetch(now) > 0
            delay_s = REPORT_DELAY_S if fast else SLOW_REPORT_DELAY_S
            self.report_due_at = min(self.report_due_at, now + delay_s)
        return spent

    def handle_grant(self, given: GrantGiven, now: float) -> None:
        """Hold a grant; an ask that was answered before yields no second."""
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
        """Ask elsewhere, or refuse the calls that cannot be served."""
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
        """Give up on asks and waits that took too long; report and return."""
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
        """Return when ``tick`` has something to do."""
        wakes = [self.report_due_at, self.return_check_at]
        ask = self.sent_asks.get(self.in_flight_ask_id)
        if ask is not None:
            wakes.append(ask.asked_at + ASK_TIMEOUT_S)
        if self.waiters:
            wakes.append(self.waiters[0].deadline)
            if ask is None:
                wakes.append(max(self.sources.next_retry_at(), now))
        return min(wakes)

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
        # A slow owner may still answer within the wait of these calls.
        if any(
            now < sent.asked_at + TOKEN_WAIT_S
            for sent in self.sent_asks.values()
        ):
            return
        retry_at = self.sources.next_retry_at()
        while self.waiters and self.waiters[0].deadline <= retry_at:
            self._refuse_first(now)

    def _ask_ahead(self, now: float) -> None:
        if 2 * self.tokens.count_free(now) < self._prefetch(now):
            self._ask(now)

    def _ask(self, now: float) -> None:
        wanted = (
            len(self.waiters)
            + self._prefetch(now)
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

    def _prefetch(self, now: float) -> int:
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
            if self.tokens.return_surplus(self._prefetch(now), now):
                self.report_due_at = now
            if self.tokens.count_free(now):
                self.return_check_at = now + RETURN_CHECK_INTERVAL_S
        if now >= self.report_due_at:
            self.report_due_at = math.inf
            for owner in self.tokens.owners_to_report():
                self._send(owner, '', 0)
