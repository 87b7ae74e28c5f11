"""The tokens of one team in one zone, as counted by their owner.

Granted tokens that have not been spent count towards the burst. Otherwise a
team could collect grants, wait for the level to refill, and get its burst
twice.
"""

import dataclasses
import math

from ebonycleat.internal.connection.grant_messages import GrantReport
from ebonycleat.internal.process.lease import MAX_CLOCK_DRIFT

# A zone in which the team has no budget must not be asked again at once.
NO_BUDGET_RETRY_AFTER_S = 1.0
# All tokens are granted to holders, whose reports make room at least this
# often.
ALL_GRANTED_RETRY_AFTER_S = 0.02
# Sums of fractions can fall short of a whole token by rounding errors of this
# size.
ROUNDING_ERROR = 1e-9


@dataclasses.dataclass(slots=True)
class Grant:
    """Tokens given to a holder until ``expires_at`` on the owner's clock."""

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
        zone_share: tuple[float, float],
        level: float,
        now: float,
    ) -> None:
        """Start with a level that is within the burst of ``zone_share``.

        ``zone_share`` is the rate in tokens per second and the burst in tokens
        that the team has in this zone.
        """
        self.zone_share = zone_share
        self.level = level
        self.refilled_at = now
        self.outstanding = 0
        self.grants: dict[str, Grant] = {}

    def refill(self, now: float, zone_share: tuple[float, float]) -> None:
        """Add tokens for the elapsed time, and adopt a possibly changed share.

        It is not known when within the elapsed time the share changed, so the
        lower rate and the lower burst count for all of it. The rate is reduced
        by the largest clock drift, because the clock of this node may be fast.
        """
        rate_per_s = min(self.zone_share[0], zone_share[0]) / (
            1 + MAX_CLOCK_DRIFT
        )
        burst = min(self.zone_share[1], zone_share[1])
        elapsed_s = max(now - self.refilled_at, 0)
        self.expire(now)
        self.level += rate_per_s * elapsed_s
        # A refill time in the future is kept: no tokens are added before it.
        self.refilled_at = max(now, self.refilled_at)
        self.zone_share = zone_share
        self._cap_level(burst)

    def grant(self, grant_id: str, wanted: int, expires_at: float) -> int:
        """Grant up to ``wanted`` whole tokens, and return how many.

        At most half of the level is granted at once, rounded up, so that the
        first holder that asks does not take the tokens that the team's calls
        at other nodes need.
        """
        available = math.floor(self.level + ROUNDING_ERROR)
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
        # A report of more tokens than were granted is invalid and must not
        # create any.
        if spent + returned > grant.unspent:
            return
        grant.spent += spent
        grant.returned += returned
        self.outstanding -= spent + returned
        self.level += returned
        self._cap_level(self.zone_share[1])
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
        """Return the seconds until the next token can be granted."""
        rate_per_s, burst = self.zone_share
        if rate_per_s <= 0 or burst < 1:
            return NO_BUDGET_RETRY_AFTER_S
        if burst - self.outstanding < 1:
            return ALL_GRANTED_RETRY_AFTER_S
        missing = max(1 - self.level, 0)
        return missing * (1 + MAX_CLOCK_DRIFT) / rate_per_s

    def _cap_level(self, burst: float) -> None:
        self.level = min(self.level, max(burst - self.outstanding, 0))


def divide_over_zones(
    rate_per_s: float,
    burst: int,
    weights: dict[str, float],
) -> dict[str, tuple[float, int]]:
    """Divide a team's rate and burst over zones in proportion to weights.

    The divided rates and bursts sum to the whole. Bursts are whole tokens,
    because less than one token can never be granted. A zone whose burst is
    zero grants nothing and its rate is lost, so a configuration with such a
    zone should be rejected.

    When the burst grows, no zone's burst shrinks (d'Hondt's method). While
    nodes still use different versions of the configuration, the bursts in use
    therefore never sum to more than the larger whole.
    """
    weight_sum = sum(weights.values())
    weight_shares = {
        zone: weight / weight_sum for zone, weight in weights.items()
    }
    bursts = {zone: math.floor(burst * weight_shares[zone]) for zone in weights}
    while sum(bursts.values()) < burst:
        quotients = [
            (weight_share / (bursts[zone] + 1), zone)
            for zone, weight_share in weight_shares.items()
        ]
        bursts[max(quotients)[1]] += 1
    return {
        zone: (rate_per_s * weight_shares[zone], bursts[zone])
        for zone in weights
    }
