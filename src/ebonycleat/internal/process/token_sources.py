"""Chooses the budget owner that a holder asks for tokens of one team.

The owner in the holder's own zone comes first. When it has no tokens, owners
in other zones are asked, so a team can use its whole rate through the nodes of
one zone.
"""

import dataclasses
from collections.abc import Callable, Sequence

from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
)

# An owner that does not answer is asked again after this time. A takeover of
# its slot takes seconds, so asking more often would only add messages.
NO_ANSWER_RETRY_S = 0.1
# An owner's denial justifies refusing calls as over the rate for this long.
DENIAL_VALID_S = 0.1

NEVER = float('-inf')


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
        """Start without knowledge; ``zones`` returns the holder's zone first."""
        self.zones = zones
        self.find_owner = find_owner
        self.empty_until: dict[str, float] = {}
        self.empty_at: dict[str, float] = {}
        self.unreachable_until: dict[str, float] = {}
        self.last_granting_zone = ''

    def choose(self, now: float) -> TokenSource | None:
        """Return the owner to ask now, None if no owner is worth asking."""
        own_zone, *other_zones = self.zones()
        other_zones.sort(key=lambda zone: zone != self.last_granting_zone)
        for zone in (own_zone, *other_zones):
            owner = self.find_owner(zone)
            if owner is not None and self._retry_at(zone) <= now:
                return TokenSource(zone, owner)
        return None

    def next_retry_at(self) -> float:
        """Return when an owner can be asked next, infinity without owners."""
        return min(
            (
                self._retry_at(zone)
                for zone in self.zones()
                if self.find_owner(zone) is not None
            ),
            default=float('inf'),
        )

    def record_grant(self, zone: str) -> None:
        """Record that the owner in a zone answered with tokens."""
        self.unreachable_until.pop(zone, None)
        self.empty_until.pop(zone, None)
        self.last_granting_zone = zone

    def record_empty(
        self,
        zone: str,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Record that a zone has no token for ``retry_after_s`` seconds."""
        self.unreachable_until.pop(zone, None)
        self.empty_until[zone] = now + retry_after_s
        self.empty_at[zone] = now

    def record_no_answer(self, zone: str, now: float) -> None:
        """Record that the owner in a zone is gone or cannot be reached."""
        self.unreachable_until[zone] = now + NO_ANSWER_RETRY_S

    def create_refusal(self, now: float) -> Refusal:
        """Create the refusal of a call that gets no token.

        It says that the team is over its rate only if an owner denied tokens
        just now, otherwise that the budget is unavailable.
        """
        denying_zones = [
            zone
            for zone in self.zones()
            if now <= self._denial_valid_until(zone)
        ]
        if not denying_zones:
            return refuse_not_run(
                Reason.BUDGET_UNAVAILABLE,
                'no node that grants tokens of this team can be reached; '
                'send the request again later',
                retry_after_s=NO_ANSWER_RETRY_S,
            )
        next_token_at = min(
            self.empty_until.get(zone, now) for zone in denying_zones
        )
        return refuse_not_run(
            Reason.OVER_RATE,
            'the team sends more requests than its rate allows; send the '
            'request again later',
            retry_after_s=max(next_token_at - now, 0),
        )

    def _retry_at(self, zone: str) -> float:
        return max(
            self.empty_until.get(zone, NEVER),
            self.unreachable_until.get(zone, NEVER),
        )

    def _denial_valid_until(self, zone: str) -> float:
        return max(
            self.empty_until.get(zone, NEVER),
            self.empty_at.get(zone, NEVER) + DENIAL_VALID_S,
        )
