"""Limits the calls that start at a target that is, or may be, cold.

A cold target crashes if it gets many more requests a second than its service
is configured for. All requests to a target pass the gate beside it, so this
limit alone keeps the bound, whether or not nodes reach each other or the store.
"""

import math

BURST_S = 0.1
"""A limited target may get the calls of this many seconds at once. Waiting
calls start in intervals of 25 ms, so a smaller burst would waste some of the
rate."""

MIN_BURST = 2.0

OPEN_RATE_SHARE = 0.25
MIN_OPEN_CALLS = 4
"""At most the first of these, of the calls of one second, plus the second may
run at once at a limited target. A target that stands still reads all that was
sent meanwhile in one moment; this and the calls of the next second together
stay within 1.35 times the rate plus 6."""

MAX_CONNECT_S = 0.1
"""A call whose connection took longer to open is not sent to a limited target.
Connections that wait for a target are opened in one moment, together with the
calls of later tokens."""

UNCONFIGURED_RATE_PER_S = 4.0
"""Rate before the configuration is known. It stays within the bound of each
service that has a limit, whatever its rate."""

HEARTBEAT_DELAY_S = 2.0
"""A heartbeat does not name the time at which it was sent. One that arrives
this long after the warmth became unknown was sent after that; an earlier one
may have been under way before."""

REPORT_MARGIN_S = 0.1
"""Added to the reported time until a target is warm, which may be rounded."""

RECHECK_S = 0.5
CHECK_INTERVAL_S = 1.0
"""Seconds from the first health check to the second while the warmth is not
known, and between all later ones."""

ASSUMED_SERVICE_S = 0.05
"""Service time by which the capacity of a limited target is estimated before
any call has ended there."""


class WarmUpLimit:
    """A token bucket for a target that is cold or whose warmth is not known.

    ``rate_per_s`` is 0 for services without a limit. ``cold_until`` is
    infinite while the warmth is not known. ``evidence_at`` is the time of the
    last sign that the target may be or is cold, and ``evidence_count`` the
    number of such signs. ``open_calls`` has the ids of
    the calls that started under the limit and have not ended.

    The bucket is empty when the limit begins: what an earlier process of this
    node or an earlier phase has sent within the last second is not known.
    """

    def __init__(self) -> None:
        """Start without a limit, and without knowledge of the target."""
        self.rate_per_s: float = 0
        self.cold_until = math.inf
        self.evidence_at = -math.inf
        self.evidence_count = 0
        self.reported_at = -math.inf
        self.checked_at = -math.inf
        self.check_due_at = -math.inf
        self.is_rechecking = False
        self.is_active = False
        self.tokens: float = 0
        self.filled_at: float = 0
        self.open_calls: set[str] = set()
        self.limited_starts = 0

    @property
    def is_known(self) -> bool:
        """Whether a report says how long the target stays cold."""
        return self.cold_until < math.inf

    @property
    def interval_s(self) -> float:
        """The seconds between two starts, 0 without a limit."""
        return 1 / self.rate_per_s if self.is_active else 0

    def configure(self, rate_per_s: float, now: float) -> None:
        """Set the rate of the service, 0 if it has no limit."""
        if rate_per_s == self.rate_per_s:
            return
        if self.is_limited(now):
            self.refill(now)
        self.rate_per_s = rate_per_s
        self.tokens = min(self.tokens, self.capacity())
        self.is_limited(now)

    def record_unknown(self, now: float) -> None:
        """Record that the target may have become cold at this moment."""
        if self.is_known:
            self.is_rechecking = False
            self.check_due_at = max(now, self.checked_at + RECHECK_S)
        self.evidence_at = now
        self.evidence_count += 1
        self.cold_until = math.inf
        self.is_limited(now)

    def record_heartbeat(self, left_s: float, now: float) -> None:
        """Adopt how long the target stays cold, as its heartbeat says.

        A heartbeat that may be older than the last sign of a cold target can
        only prolong the known time.
        """
        cold_until = _end_of(left_s, now)
        may_shorten = now - self.evidence_at >= HEARTBEAT_DELAY_S
        if may_shorten or cold_until > self.cold_until:
            self.adopt(cold_until, now)
        elif self.is_known:
            self.reported_at = now

    def record_health(
        self, left_s: float, evidence_count: int, now: float
    ) -> None:
        """Adopt how long the target stays cold, as a health response says.

        ``evidence_count`` is from the time when the request was sent. With a
        newer sign of a cold target, it can only prolong the known time.
        """
        cold_until = _end_of(left_s, now)
        is_newest = evidence_count == self.evidence_count
        if is_newest or cold_until > self.cold_until:
            self.adopt(cold_until, now)

    def adopt(self, cold_until: float, now: float) -> None:
        """Take over a report."""
        self.reported_at = now
        self.cold_until = cold_until
        if cold_until > now:
            self.evidence_at = now
            self.evidence_count += 1
        self.is_limited(now)

    def is_limited(self, now: float) -> bool:
        """Tell whether the limit is in force; begin or end it."""
        is_limited = self.rate_per_s > 0 and now < self.cold_until
        if is_limited and not self.is_active:
            self.tokens = 0
            self.filled_at = now
        self.is_active = is_limited
        return is_limited

    def may_start(self, now: float) -> bool:
        """Tell whether a call may start now."""
        if not self.rate_per_s or not self.is_limited(now):
            return True
        if len(self.open_calls) >= self.max_open_calls():
            return False
        self.refill(now)
        return self.tokens >= 1

    def record_start(self, call_id: str) -> bool:
        """Take the token of a call that starts; False without a limit.

        ``may_start`` was asked for the same call at the same time.
        """
        if not self.is_active:
            return False
        self.tokens -= 1
        self.limited_starts += 1
        self.open_calls.add(call_id)
        return True

    def record_end(self, call_id: str) -> None:
        """Record that a call has ended."""
        if self.open_calls:
            self.open_calls.discard(call_id)

    def may_send(
        self, started_at: float, now: float, *, has_token: bool
    ) -> bool:
        """Tell whether a call that started may still be written now.

        The limit may have begun since, or the connection opened late.
        """
        if not self.rate_per_s or not self.is_limited(now):
            return True
        return has_token and now - started_at <= MAX_CONNECT_S

    def is_check_due(self, now: float) -> bool:
        """Tell whether to send a health check.

        While the warmth is known, heartbeats keep it so.
        """
        if not self.rate_per_s:
            return False
        if not self.is_known:
            return now >= self.check_due_at
        last = max(self.reported_at, self.checked_at)
        return now - last >= CHECK_INTERVAL_S

    def record_check(self, now: float) -> None:
        """Record that a health check is sent, which counts as a call."""
        self.checked_at = now
        pause_s = CHECK_INTERVAL_S if self.is_rechecking else RECHECK_S
        self.check_due_at = now + pause_s
        self.is_rechecking = True
        if self.is_limited(now):
            self.refill(now)
            self.tokens -= 1

    def usable_slots(self, slots: float, service_s: float) -> float:
        """Return how many of the slots are in use at the limit's rate.

        ``service_s`` is the mean service time, 0 if it is not known. At least
        one slot is usable: none would say that the target is down.
        """
        if not self.is_active:
            return slots
        used = self.rate_per_s * (service_s or ASSUMED_SERVICE_S)
        return min(slots, max(1, min(used, self.max_open_calls())))

    def capacity(self) -> float:
        """Return how many calls may start at once."""
        return max(MIN_BURST, self.rate_per_s * BURST_S)

    def max_open_calls(self) -> int:
        """Return how many calls may run at once."""
        return MIN_OPEN_CALLS + int(self.rate_per_s * OPEN_RATE_SHARE)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        earned = (now - self.filled_at) * self.rate_per_s
        self.tokens = min(self.capacity(), self.tokens + earned)
        self.filled_at = now


def _end_of(left_s: float, now: float) -> float:
    """Return when a target is warm that says how long it stays cold."""
    return now + left_s + REPORT_MARGIN_S if left_s > 0 else now
