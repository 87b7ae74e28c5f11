"""Tokens of one team at one ingress node, and how many it will need.

A token belongs to a grant and dies with it. The expiry counts from before
the ask was sent, so it comes before the owner stops counting the grant.
"""

import dataclasses
import math

from ebonycleat.internal.connection.grant_messages import GrantReport

# Short enough to follow a surge, long enough to smooth random arrivals.
DEMAND_TIME_CONSTANT_S = 0.3
# Unneeded tokens go back after this, so that other holders can spend them.
IDLE_RETURN_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """The right to send one call of a team, until its grant expires."""

    team: str
    grant_id: str
    number: int


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """One grant at its holder; counts are totals since it was given."""

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
        """Tell whether the owner does not know the present counts."""
        return self.reported_counts != (self.spent, self.returned)


class DemandEstimate:
    """Calls per second, as an exponentially decaying average."""

    def __init__(self) -> None:
        """Expect no demand."""
        self.rate_per_s: float = 0
        self.noted_at: float = 0

    def record_call(self, now: float) -> None:
        """Count one call."""
        self.rate_per_s = self.rate_at(now) + 1 / DEMAND_TIME_CONSTANT_S
        self.noted_at = now

    def rate_at(self, now: float) -> float:
        """Return the estimate for this moment."""
        age_s = max(now - self.noted_at, 0)
        return self.rate_per_s * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)


class TeamTokens:
    """All live grants of one team at one node."""

    def __init__(self, team: str) -> None:
        """Hold nothing."""
        self.team = team
        self.grants: dict[str, HeldGrant] = {}
        self.taken = 0

    def add(self, grant: HeldGrant) -> None:
        """Hold a grant; one that is held already is left as it is."""
        self.grants.setdefault(grant.grant_id, grant)

    def count_free(self, now: float) -> int:
        """Count the tokens that a call could take."""
        return sum(
            grant.free
            for grant in self.grants.values()
            if now < grant.expires_at
        )

    def reserve(self, now: float) -> Token | None:
        """Reserve one token, of the oldest grant that has any."""
        for grant in self.grants.values():
            if grant.free > 0 and now < grant.expires_at:
                grant.free -= 1
                self.taken += 1
                grant.reserved.add(self.taken)
                return Token(self.team, grant.grant_id, self.taken)
        return None

    def spend(self, token: Token, now: float) -> bool:
        """Use a reserved token, unless its grant has expired."""
        grant = self.grants.get(token.grant_id)
        if grant is None or now >= grant.expires_at:
            return False
        if token.number not in grant.reserved:
            return False
        grant.reserved.remove(token.number)
        grant.spent += 1
        return True

    def return_token(self, token: Token) -> None:
        """Free a reserved token that was not used."""
        grant = self.grants.get(token.grant_id)
        if grant is not None and token.number in grant.reserved:
            grant.reserved.remove(token.number)
            grant.free += 1

    def expire(self, now: float) -> None:
        """Forget expired grants; their owner forgets them a little later."""
        for grant in tuple(self.grants.values()):
            if now >= grant.expires_at:
                self.grants.pop(grant.grant_id)

    def return_surplus(self, keep: int, now: float) -> int:
        """Mark free tokens as returned, but for those soon needed.

        Returns how many there were.
        """
        surplus = max(self.count_free(now) - keep, 0)
        left = surplus
        for grant in self.grants.values():
            idle = now >= grant.received_at + IDLE_RETURN_S
            if left and idle and now < grant.expires_at:
                returned = min(grant.free, left)
                grant.free -= returned
                grant.returned += returned
                left -= returned
        return surplus - left

    def take_reports(self, owner: str) -> tuple[GrantReport, ...]:
        """Report what an owner does not know yet, and drop used grants."""
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
        """Return the owners that a report is due to."""
        owners = {
            grant.owner: None
            for grant in self.grants.values()
            if grant.needs_report
        }
        return list(owners)
