"""Single tokens, and the demand for them."""

import collections
import dataclasses
from typing import NamedTuple

DEMAND_MEMORY_S = 1.0
"""Over how long demand is averaged; shorter follows noise, longer strands
tokens when callers move."""


@dataclasses.dataclass(slots=True)
class Parcel:
    """Single tokens that expire."""

    tokens: float
    expires_at: float


class ParcelStore:
    """Tokens that were drawn from a pool, the oldest first."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.parcels: collections.deque[Parcel] = collections.deque()

    def add(self, tokens: float, expires_at: float) -> None:
        """Add tokens until they expire."""
        self.parcels.append(Parcel(tokens, expires_at))

    def total(self, now: float) -> float:
        """Tokens that have not expired."""
        while self.parcels and self.parcels[0].expires_at <= now:
            self.parcels.popleft()
        return sum(parcel.tokens for parcel in self.parcels)

    def draw(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` tokens and return how many."""
        drawn = min(wanted, self.total(now))
        rest = drawn
        while rest > 0 and self.parcels:
            parcel = self.parcels[0]
            part = min(parcel.tokens, rest)
            parcel.tokens -= part
            rest -= part
            if parcel.tokens <= 0:
                self.parcels.popleft()
        return drawn


class TokenWant(NamedTuple):
    """Tokens that a node needs now, and those it could use soon."""

    team: str
    wanted: float
    ahead: float


class Demand:
    """Moving mean of what is asked for, in tokens a second."""

    def __init__(self, now: float) -> None:
        """Start with nothing asked."""
        self.per_s: float = 0
        self.asked: float = 0
        self.measured_at = now

    def note(self, tokens: float = 1) -> None:
        """Count what is asked for."""
        self.asked += tokens

    def measure(self, now: float) -> None:
        """Update the mean from what was asked since the last time."""
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        share = min(1.0, elapsed_s / DEMAND_MEMORY_S)
        self.per_s += (self.asked / elapsed_s - self.per_s) * share
        self.asked = 0
        self.measured_at = now
