"""Grants tokens for the teams whose budget slots this node owns.

A token is the right to send one call of a team. The owner of a slot keeps a
token bucket for each team in it, with the share of the team's rate and burst
that belongs to the owner's zone. Ingress nodes ask for grants of tokens and
report what they spent and returned.
"""

import itertools
from collections.abc import Callable, Iterable

from ebonycleat.internal.connection.grant_messages import (
    DenialReason,
    GrantAnswer,
    GrantAsk,
    GrantDenied,
    GrantGiven,
)
from ebonycleat.internal.process.lease import MAX_CLOCK_DRIFT, LeaseQueries
from ebonycleat.internal.process.ownership import ClaimBasis, SlotId
from ebonycleat.internal.process.slot_ownership import SlotGained
from ebonycleat.internal.process.token_bucket import TokenBucket

MAX_GRANT_LIFETIME_S = 1.0

FindZoneShare = Callable[[str], tuple[float, float]]


class BudgetSlot:
    """The token buckets of the teams in one slot, since this node gained it."""

    def __init__(self, gained: SlotGained, now: float) -> None:
        """Add tokens only for the time after the slot became usable here.

        A released slot is usable at once, so grants of the previous owner may
        still be valid for their whole lifetime. Until they have expired, they
        may amount to the entire burst, so this owner must not add tokens.
        """
        self.epoch = gained.epoch
        self.starts_full = gained.basis is ClaimBasis.FIRST
        self.credit_from = max(gained.usable_from, now)
        if gained.basis is ClaimBasis.RELEASED:
            self.credit_from += MAX_GRANT_LIFETIME_S * (1 + MAX_CLOCK_DRIFT)
        self.buckets: dict[str, TokenBucket] = {}
        self.share_changed_at: dict[str, float] = {}
        self.last_asks: dict[tuple[str, str], str] = {}

    def bucket_of(
        self,
        team: str,
        zone_share: tuple[float, float],
        now: float,
    ) -> TokenBucket:
        """Return the bucket of a team, refilled up to ``now``."""
        bucket = self.buckets.get(team)
        if bucket is None:
            bucket = self._create_bucket(team, zone_share)
            self.buckets[team] = bucket
        bucket.refill(now, zone_share)
        return bucket

    def is_repeated(self, ask: GrantAsk) -> bool:
        """Remember an ask; tell whether it repeats the holder's last one.

        A holder ignores a second grant for the same ask, so its tokens would
        be lost until they expire.
        """
        holder = (ask.holder, ask.team)
        is_repeat = self.last_asks.get(holder) == ask.ask_id
        self.last_asks[holder] = ask.ask_id
        return is_repeat

    def _create_bucket(
        self,
        team: str,
        zone_share: tuple[float, float],
    ) -> TokenBucket:
        changed_at = self.share_changed_at.get(team)
        if changed_at is not None:
            return TokenBucket(zone_share, 0, max(changed_at, self.credit_from))
        level = zone_share[1] if self.starts_full else 0
        return TokenBucket(zone_share, level, self.credit_from)


class BudgetOwner:
    """Answers the asks of grant holders."""

    def __init__(
        self,
        leases: LeaseQueries,
        slot_of: Callable[[str], SlotId],
        find_zone_share: FindZoneShare,
    ) -> None:
        """Start without slots.

        ``slot_of`` maps a team to its slot in this node's zone.
        ``find_zone_share`` returns the rate per second and the burst that a
        team has in this zone by the configuration in force, zeros for an
        unknown team.
        """
        self.leases = leases
        self.slot_of = slot_of
        self.find_zone_share = find_zone_share
        self.owned_slots: dict[SlotId, BudgetSlot] = {}
        self.grant_numbers = itertools.count(1)

    def handle_slot_gained(self, gained: SlotGained, now: float) -> None:
        """Start to grant tokens for a slot, with new buckets."""
        self.owned_slots[gained.slot] = BudgetSlot(gained, now)

    def handle_slot_lost(self, slot: SlotId) -> None:
        """Stop granting tokens for a slot."""
        self.owned_slots.pop(slot, None)

    def update_zone_shares(self, teams: Iterable[str], now: float) -> None:
        """Apply changed rates and bursts to the buckets of these teams.

        Without this call a bucket adopts a change when it is next used. A team
        that has no bucket yet must not be credited at the new rate for the
        time before the change, so the time of the change is kept for it.
        """
        for team in teams:
            budget_slot = self.owned_slots.get(self.slot_of(team))
            if budget_slot is None:
                continue
            budget_slot.share_changed_at[team] = now
            if team in budget_slot.buckets:
                budget_slot.bucket_of(team, self.find_zone_share(team), now)

    def handle_ask(self, ask: GrantAsk, now: float) -> GrantAnswer | None:
        """Apply the reports in an ask, and answer it.

        Returns None if no tokens were wanted, or if the ask is a repeat.
        """
        slot = self.slot_of(ask.team)
        budget_slot = self.owned_slots.get(slot)
        if budget_slot is None or budget_slot.epoch != self.leases.gained_epoch(
            slot
        ):
            denial = _deny(ask, DenialReason.NOT_OWNER, 0)
            return denial if ask.wanted > 0 else None
        bucket = budget_slot.bucket_of(
            ask.team, self.find_zone_share(ask.team), now
        )
        for report in ask.reports:
            bucket.apply_report(report)
        if ask.wanted <= 0 or budget_slot.is_repeated(ask):
            return None
        if not self.leases.is_usable(slot, now):
            return _deny(ask, DenialReason.NOT_OWNER, 0)
        return self._grant(ask, budget_slot.epoch, bucket, now)

    def _grant(
        self,
        ask: GrantAsk,
        epoch: int,
        bucket: TokenBucket,
        now: float,
    ) -> GrantAnswer:
        lease_ends_at = self.leases.lease_ends_at(self.slot_of(ask.team), now)
        lifetime_s = min(MAX_GRANT_LIFETIME_S, lease_ends_at - now)
        grant_id = f'{epoch}.{next(self.grant_numbers)}'
        tokens = bucket.grant(
            grant_id,
            ask.wanted,
            now + lifetime_s * (1 + MAX_CLOCK_DRIFT),
        )
        if tokens > 0:
            return GrantGiven(
                ask.ask_id,
                grant_id,
                ask.team,
                tokens,
                lifetime_s,
            )
        return _deny(ask, DenialReason.EMPTY, bucket.seconds_to_next_token())


def _deny(
    ask: GrantAsk,
    reason: DenialReason,
    retry_after_s: float,
) -> GrantDenied:
    return GrantDenied(ask.ask_id, ask.team, reason, retry_after_s)
