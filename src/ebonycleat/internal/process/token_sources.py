"""Which owner a holder should ask for tokens of one team.

The own zone comes first. Other zones lend when it has none, which is how a
team can spend its whole rate through the nodes of one zone.
"""

import dataclasses
from collections.abc import Callable, Sequence

from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

# An owner that does not answer is tried again after this; a takeover takes
# seconds, so asking more often would only add messages.
UNREACHABLE_PAUSE_S = 0.1
# A denial explains a refusal for this long after it arrived.
DENIAL_MEMORY_S = 0.1

LONG_AGO = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class TokenSource:
    """The owner of a team's tokens in one zone."""

    zone: str
    owner: str


class TokenSources:
    """What a holder knows about the owners of one team's tokens."""

    def __init__(
        self,
        zones: Callable[[], Sequence[str]],
        find_owner: Callable[[str], str | None],
    ) -> None:
        """Know nothing; ``zones`` lists the own zone first."""
        self.zones = zones
        self.find_owner = find_owner
        self.empty_until: dict[str, float] = {}
        self.empty_at: dict[str, float] = {}
        self.unreachable_until: dict[str, float] = {}
        self.last_lender = ''

    def choose(self, now: float) -> TokenSource | None:
        """Return an owner worth asking now."""
        own, *others = self.zones()
        others.sort(key=lambda zone: zone != self.last_lender)
        for zone in (own, *others):
            owner = self.find_owner(zone)
            if owner is not None and self._retry_at(zone) <= now:
                return TokenSource(zone, owner)
        return None

    def next_retry_at(self) -> float:
        """Return when an owner is worth asking; infinity without owners."""
        return min(
            (
                self._retry_at(zone)
                for zone in self.zones()
                if self.find_owner(zone) is not None
            ),
            default=float('inf'),
        )

    def record_grant(self, zone: str) -> None:
        """Note that a zone's owner answered with tokens."""
        self.unreachable_until.pop(zone, None)
        self.empty_until.pop(zone, None)
        self.last_lender = zone

    def record_empty(
        self,
        zone: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Note that a zone has no token for a while."""
        self.unreachable_until.pop(zone, None)
        self.empty_until[zone] = now + retry_after_s
        self.empty_at[zone] = now

    def record_no_answer(self, zone: str, now: float) -> None:
        """Note that a zone's owner is gone or cannot be reached."""
        self.unreachable_until[zone] = now + UNREACHABLE_PAUSE_S

    def create_refusal(self, now: float) -> Refusal:
        """Refuse as over the rate only if an owner said so just now."""
        denials = [
            zone
            for zone in self.zones()
            if now <= self._denial_counts_until(zone)
        ]
        if not denials:
            return refuse_not_run(
                Reason.BUDGET_UNAVAILABLE,
                "no owner of this team's budget can be reached",
                retry_after_s=UNREACHABLE_PAUSE_S,
            )
        due_at = min(self.empty_until.get(zone, now) for zone in denials)
        return refuse_not_run(
            Reason.OVER_RATE,
            'the team is over its rate',
            retry_after_s=max(due_at - now, 0),
        )

    def _retry_at(self, zone: str) -> float:
        return max(
            self.empty_until.get(zone, LONG_AGO),
            self.unreachable_until.get(zone, LONG_AGO),
        )

    def _denial_counts_until(self, zone: str) -> float:
        return max(
            self.empty_until.get(zone, LONG_AGO),
            self.empty_at.get(zone, LONG_AGO) + DENIAL_MEMORY_S,
        )
