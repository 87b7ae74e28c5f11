"""Single tokens, and the demand for them."""

import collections
import dataclasses
from typing import NamedTuple

DEMAND_AVERAGING_S = 1.0
"""Over how long demand is averaged; shorter follows noise, longer strands
tokens when callers move."""


@dataclasses.dataclass(slots=True)
class TokenBatch:
    """Single tokens that expire."""

    tokens: float
    expires_at: float


class TokenStore:
    """Tokens that were drawn from a pool, the oldest first."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.batches: collections.deque[TokenBatch] = collections.deque()

    def add(self, tokens: float, expires_at: float) -> None:
        """Add tokens until they expire."""
        self.batches.append(TokenBatch(tokens, expires_at))

    def count(self, now: float) -> float:
        """Tokens that have not expired."""
        while self.batches and self.batches[0].expires_at <= now:
            self.batches.popleft()
        return sum(parcel.tokens for parcel in self.batches)

    def take(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` tokens and return how many."""
        drawn = min(wanted, self.count(now))
        rest = drawn
        while rest > 0 and self.batches:
            parcel = self.batches[0]
            part = min(parcel.tokens, rest)
            parcel.tokens -= part
            rest -= part
            if parcel.tokens <= 0:
                self.batches.popleft()
        return drawn


class TokenRequest(NamedTuple):
    """Tokens that a node needs now, and those it could use soon."""

    team: str
    wanted: float
    prefetch: float


class DemandMean:
    """Moving mean of what is asked for, in tokens a second."""

    def __init__(self, now: float) -> None:
        """Start with nothing asked."""
        self.rate_per_s: float = 0
        self.asked: float = 0
        self.measured_at = now

    def record(self, tokens: float = 1) -> None:
        """Count what is asked for."""
        self.asked += tokens

    def update(self, now: float) -> None:
        """Update the mean from what was asked since the last time."""
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        share = min(1.0, elapsed_s / DEMAND_AVERAGING_S)
        self.rate_per_s += (self.asked / elapsed_s - self.rate_per_s) * share
        self.asked = 0
        self.measured_at = now
