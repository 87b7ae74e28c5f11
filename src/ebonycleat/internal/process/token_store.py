"""Stores single tokens at a node, and measures the demand for them."""

import collections
import dataclasses
from typing import NamedTuple

DEMAND_AVERAGING_S = 1.0
"""Time over which demand is averaged. A shorter time follows random
fluctuations; a longer one leaves tokens unused at a node when its callers move
to another."""


@dataclasses.dataclass(slots=True)
class TokenBatch:
    """Tokens that expire together."""

    tokens: float
    expires_at: float


class TokenStore:
    """Tokens that were drawn from a pool, the oldest first."""

    def __init__(self) -> None:
        """Start without tokens."""
        self.batches: collections.deque[TokenBatch] = collections.deque()

    def add(self, tokens: float, expires_at: float) -> None:
        """Add tokens that expire at ``expires_at``."""
        self.batches.append(TokenBatch(tokens, expires_at))

    def count(self, now: float) -> float:
        """Return the tokens that have not expired."""
        while self.batches and self.batches[0].expires_at <= now:
            self.batches.popleft()
        return sum(batch.tokens for batch in self.batches)

    def take(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` tokens and return how many."""
        taken = min(wanted, self.count(now))
        remaining = taken
        while remaining > 0 and self.batches:
            batch = self.batches[0]
            taken_from_batch = min(batch.tokens, remaining)
            batch.tokens -= taken_from_batch
            remaining -= taken_from_batch
            if batch.tokens <= 0:
                self.batches.popleft()
        return taken

    def take_expiring(self, before: float) -> float:
        """Take the tokens that expire before a time, and return how many."""
        taken: float = 0
        while self.batches and self.batches[0].expires_at <= before:
            taken += self.batches.popleft().tokens
        return taken


class TokenRequest(NamedTuple):
    """Tokens of one team that a node wants from a pool.

    ``wanted`` are for requests that wait now, ``prefetch`` for those expected
    soon.
    """

    team: str
    wanted: float
    prefetch: float


class DemandMean:
    """Moving average of the tokens that are wanted per second."""

    def __init__(self, now: float) -> None:
        """Start without demand."""
        self.rate_per_s: float = 0
        self.wanted: float = 0
        self.measured_at = now

    def record(self, tokens: float = 1) -> None:
        """Count tokens that are wanted."""
        self.wanted += tokens

    def update(self, now: float) -> None:
        """Update the average with what was counted since the last update."""
        elapsed_s = now - self.measured_at
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / DEMAND_AVERAGING_S)
        self.rate_per_s += (self.wanted / elapsed_s - self.rate_per_s) * weight
        self.wanted = 0
        self.measured_at = now
