"""Tokens of one team at one ingress node, and the team's demand.

A token belongs to a grant and expires with it. The expiry counts from before
the ask was sent, so the tokens expire at the holder before the owner stops
counting them.
"""

import dataclasses
import math

from ebonycleat.internal.connection.grant_messages import GrantReport

# Short enough to follow a surge, long enough to average out random arrivals.
DEMAND_TIME_CONSTANT_S = 0.3
# Unneeded tokens are returned after this time, so that other holders can use
# them.
IDLE_RETURN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The right to send one call of a team before its grant expires."""

    team: str
    grant_id: str
    number: int


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant at its holder; the counts are totals since it was received."""

    grant_id: str
    owner: str
    received_at: float
    expires_at: float
    free: int
    reserved: set[int] = dataclasses.field(default_factory=set)
    spent: int = 0
    returned: int = 0
    reported_counts: tuple[int, int] = (0, 0)

    @property
    def needs_report(self) -> bool:
        """Tell whether the owner has not been sent the present counts."""
        return self.reported_counts != (self.spent, self.returned)


class DemandEstimate:
    """Calls per second, as an exponentially decaying average."""

    def __init__(self) -> None:
        """Start with no demand."""
        self.rate_per_s: float = 0
        self.recorded_at: float = 0

    def record_call(self, now: float) -> None:
        """Count one call."""
        self.rate_per_s = self.rate_at(now) + 1 / DEMAND_TIME_CONSTANT_S
        self.recorded_at = now

    def rate_at(self, now: float) -> float:
        """Return the estimate at this moment, in calls per second."""
        age_s = max(now - self.recorded_at, 0)
        return self.rate_per_s * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)


class TeamTokens:
    """All grants of one team at one node that have not expired."""

    def __init__(self, team: str) -> None:
        """Start without grants."""
        self.team = team
        self.grants: dict[str, HeldGrant] = {}
        self.last_token_number = 0

    def add(self, grant: HeldGrant) -> None:
        """Add a grant; a repeated one changes nothing."""
        self.grants.setdefault(grant.grant_id, grant)

    def count_free(self, now: float) -> int:
        """Return the number of tokens that calls could reserve."""
        return sum(
            grant.free
            for grant in self.grants.values()
            if now < grant.expires_at
        )

    def reserve(self, now: float) -> Token | None:
        """Reserve one token of the oldest grant that has any."""
        for grant in self.grants.values():
            if grant.free > 0 and now < grant.expires_at:
                grant.free -= 1
                self.last_token_number += 1
                grant.reserved.add(self.last_token_number)
                return Token(self.team, grant.grant_id, self.last_token_number)
        return None

    def spend(self, token: Token, now: float) -> bool:
        """Spend a reserved token; return False if its grant has expired."""
        grant = self.grants.get(token.grant_id)
        if grant is None or now >= grant.expires_at:
            return False
        if token.number not in grant.reserved:
            return False
        grant.reserved.remove(token.number)
        grant.spent += 1
        return True

    def return_token(self, token: Token) -> None:
        """Make a reserved token that was not spent available again."""
        grant = self.grants.get(token.grant_id)
        if grant is not None and token.number in grant.reserved:
            grant.reserved.remove(token.number)
            grant.free += 1

    def expire(self, now: float) -> None:
        """Drop expired grants; their owner drops them a little later."""
        for grant in tuple(self.grants.values()):
            if now >= grant.expires_at:
                self.grants.pop(grant.grant_id)

    def return_surplus(self, keep: int, now: float) -> int:
        """Mark free tokens as returned, except for ``keep`` of them.

        Grants that arrived only recently are left alone. Returns the number of
        tokens that were returned.
        """
        surplus = max(self.count_free(now) - keep, 0)
        left = surplus
        for grant in self.grants.values():
            is_idle = now >= grant.received_at + IDLE_RETURN_S
            if left and is_idle and now < grant.expires_at:
                returned = min(grant.free, left)
                grant.free -= returned
                grant.returned += returned
                left -= returned
        return surplus - left

    def take_reports(self, owner: str) -> tuple[GrantReport, ...]:
        """Report counts that an owner does not know, and drop used up grants."""
        reports = []
        for grant in tuple(self.grants.values()):
            if grant.owner == owner and grant.needs_report:
                grant.reported_counts = (grant.spent, grant.returned)
                reports.append(
                    GrantReport(grant.grant_id, grant.spent, grant.returned),
                )
                if not grant.free and not grant.reserved:
                    self.grants.pop(grant.grant_id)
        return tuple(reports)

    def owners_to_report(self) -> list[str]:
        """Return the owners that need a report."""
        owners = {
            grant.owner: None
            for grant in self.grants.values()
            if grant.needs_report
        }
        return list(owners)
