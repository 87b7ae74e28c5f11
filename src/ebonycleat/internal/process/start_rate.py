"""Limits how many calls start per second at a target that asks for it."""

BURST_S = 0.1
"""A limited target may get the calls of this many seconds at once, and at
least one."""

TRIAL_RATE_PER_S = 0.5
"""A target that asks for less still gets this many calls per second: only its
answers tell when the limit ends."""


class StartRateLimit:
    """A token bucket whose rate is what the target last asked for.

    ``rate_per_s`` is None while the target asks for no limit. Every call to
    the target must pass the same bucket.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate_per_s: float | None = None
        self.tokens: float = 1
        self.filled_at: float = 0
        self.named_at: float = 0

    @property
    def interval_s(self) -> float:
        """The seconds between two starts, 0 without a limit."""
        return 1 / self.rate_per_s if self.rate_per_s else 0

    def record_response(
        self, rate_per_s: float | None, sent_at: float, now: float
    ) -> bool:
        """Adopt the limit that a response names, None if it names none.

        Returns whether the limit has changed. A response without a limit ends
        it only if its request was sent after the limit was last named, since
        responses overtake each other.
        """
        if rate_per_s is None:
            if self.rate_per_s is None or sent_at <= self.named_at:
                return False
            self.rate_per_s = None
            return True
        self.named_at = now
        rate_per_s = max(rate_per_s, TRIAL_RATE_PER_S)
        if rate_per_s == self.rate_per_s:
            return False
        self.refill(now)
        self.rate_per_s = rate_per_s
        return True

    def reset(self) -> None:
        """Forget the limit: another incarnation of the target has started."""
        self.rate_per_s = None

    def may_start(self, now: float) -> bool:
        """Tell whether a call may start now."""
        if self.rate_per_s is None:
            return True
        self.refill(now)
        return self.tokens >= 1

    def record_start(self) -> None:
        """Take the token of a call that starts."""
        if self.rate_per_s is not None:
            self.tokens -= 1

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        if self.rate_per_s is None:
            self.tokens = 1
        else:
            earned = (now - self.filled_at) * self.rate_per_s
            capacity = max(1, self.rate_per_s * BURST_S)
            self.tokens = min(capacity, self.tokens + earned)
        self.filled_at = now

    def usable_slots(self, slots: int, service_s: float) -> float:
        """Return how many of the slots are in use at the limit's rate.

        ``service_s`` is the mean service time, 0 if it is not known.
        """
        if self.rate_per_s is None or not service_s:
            return slots
        return min(slots, self.rate_per_s * service_s)
