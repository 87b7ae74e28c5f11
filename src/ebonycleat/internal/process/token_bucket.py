"""One team's tokens in one zone, as their owner counts them.

Tokens that are granted and unspent stay within the burst: if they did not
count, a team could collect grants, let the level refill, and be paid its
burst twice.
"""

import dataclasses
import math

from ebonycleat.internal.connection.grant_messages import GrantReport
from ebonycleat.internal.process.lease import MAX_CLOCK_DRIFT

# A zone without tokens to give must not be asked again at once.
NO_BUDGET_RETRY_S = 1.0
# Tokens are all out at holders; reports free room at least this often.
ROOM_RETRY_S = 0.02
# Sums of fractions miss a whole token by rounding errors of this size.
ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class Grant:
    """Tokens lent to a holder until ``expires_at`` on the owner's clock."""

    tokens: int
    expires_at: float
    spent: int = 0
    returned: int = 0

    @property
    def unspent(self) -> int:
        """Tokens that the holder may still spend."""
        return self.tokens - self.spent - self.returned


class TokenBucket:
    """Level and outstanding grants of one team."""

    def __init__(
        self,
        part: tuple[float, float],
        level: float,
        now: float,
    ) -> None:
        """Start with a level that is within the burst of ``part``.

        ``part`` is the rate in tokens/s and the burst in tokens.
        """
        self.part = part
        self.level = level
        self.refilled_at = now
        self.outstanding = 0
        self.grants: dict[str, Grant] = {}

    def refill(self, now: float, part: tuple[float, float]) -> None:
        """Bring the level up to date and adopt a possibly changed part.

        Nobody knows when within the elapsed time the part changed, so the
        lower rate and the lower burst count for all of it. The rate is cut
        by the drift, because this clock may be fast.
        """
        rate_per_s = min(self.part[0], part[0]) / (1 + MAX_CLOCK_DRIFT)
        burst = min(self.part[1], part[1])
        elapsed_s = max(now - self.refilled_at, 0)
        self.expire(now)
        self.level += rate_per_s * elapsed_s
        # A start in the future stays: nothing is credited before it.
        self.refilled_at = max(now, self.refilled_at)
        self.part = part
        self._cap_level(burst)

    def grant(self, grant_id: str, wanted: int, expires_at: float) -> int:
        """Take up to ``wanted`` whole tokens and return how many.

        Half of the level is left to other holders, so that the first asker
        does not strand the tokens that a team's other calls need.
        """
        available = math.floor(self.level + ROUNDING)
        tokens = min(wanted, (available + 1) // 2)
        if tokens > 0:
            self.level = max(self.level - tokens, 0)
            self.outstanding += tokens
            self.grants[grant_id] = Grant(tokens, expires_at)
        return tokens

    def apply_report(self, report: GrantReport) -> None:
        """Apply a holder's totals; old and repeated totals change nothing."""
        grant = self.grants.get(report.grant_id)
        if grant is None:
            return
        spent = max(report.spent - grant.spent, 0)
        returned = max(report.returned - grant.returned, 0)
        # A report beyond the grant is wrong; it must not create tokens.
        if spent + returned > grant.unspent:
            return
        grant.spent += spent
        grant.returned += returned
        self.outstanding -= spent + returned
        self.level += returned
        self._cap_level(self.part[1])
        if grant.unspent == 0:
            self.grants.pop(report.grant_id)

    def expire(self, now: float) -> None:
        """Drop expired grants; their unspent tokens are lost."""
        expired = [
            grant_id
            for grant_id, grant in self.grants.items()
            if now >= grant.expires_at
        ]
        for grant_id in expired:
            self.outstanding -= self.grants.pop(grant_id).unspent

    def seconds_to_next_token(self) -> float:
        """Return the seconds until the next token is due."""
        rate_per_s, burst = self.part
        if rate_per_s <= 0 or burst < 1:
            return NO_BUDGET_RETRY_S
        if burst - self.outstanding < 1:
            return ROOM_RETRY_S
        missing = max(1 - self.level, 0)
        return missing * (1 + MAX_CLOCK_DRIFT) / rate_per_s

    def _cap_level(self, burst: float) -> None:
        self.level = min(self.level, max(burst - self.outstanding, 0))


def divide_over_zones(
    rate_per_s: float,
    burst: int,
    weights: dict[str, float],
) -> dict[str, tuple[float, int]]:
    """Divide a team's rate and burst over zones; the parts sum to the whole.

    Bursts are whole tokens, because less than one token can never be given.
    A zone whose part of the burst is zero gives nothing and its rate is
    lost, so a configuration with such a zone should be rejected.

    When the whole grows, no part shrinks (d'Hondt's method). So while nodes
    still have different versions, the parts in use never sum to more than
    the larger whole.
    """
    whole = sum(weights.values())
    shares = {zone: weight / whole for zone, weight in weights.items()}
    parts = {zone: math.floor(burst * shares[zone]) for zone in weights}
    while sum(parts.values()) < burst:
        quotients = [
            (share / (parts[zone] + 1), zone) for zone, share in shares.items()
        ]
        parts[max(quotients)[1]] += 1
    return {zone: (rate_per_s * shares[zone], parts[zone]) for zone in weights}
