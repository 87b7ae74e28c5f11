"""When the follower of the configuration may read, ask and write."""

import math
import random
from typing import Final

READ_RETRY_S: Final = 0.25
# A worker thread that hangs must not stop the following for good.
READ_LOST_S: Final = 15.0
OFFER_WAIT_S: Final = 0.5
OFFER_ROUND_S: Final = 2.0
SNAPSHOT_INTERVAL_RECORDS: Final = 2000
SNAPSHOT_INTERVAL_S: Final = 3600.0
SNAPSHOT_RETRY_S: Final = 10.0
# Each zone has a writer, and all see at once that a snapshot is due; the
# first to write saves the others the work.
SNAPSHOT_SPREAD_S: Final = 30.0
# A live writer may be cut off from the log; then the next in rank takes over.
SNAPSHOT_WRITERS: Final = 3
SNAPSHOT_TAKEOVER_S: Final = 60.0


class ReadPacer:
    """At most one read in flight; waits longer after each failure."""

    def __init__(self, now: float) -> None:
        """Allow the first read at once."""
        self.started_at = now
        self.in_flight = False
        self.consecutive_failures = 0
        self.not_before = now

    def may_start(self, now: float) -> bool:
        """Tell whether a read may start; an unanswered one is given up."""
        if self.in_flight:
            return now - self.started_at >= READ_LOST_S
        return now >= self.not_before

    def record_start(self, now: float) -> None:
        """Note a read."""
        self.in_flight = True
        self.started_at = now

    def record_success(self) -> None:
        """Note an answer, which ends the waiting."""
        self.in_flight = False
        self.consecutive_failures = 0

    def record_failure(
        self, now: float, limit_s: float, rng: random.Random
    ) -> None:
        """Note a failure; the jitter keeps the nodes of a zone apart."""
        self.in_flight = False
        pause = min(
            READ_RETRY_S * 2 ** min(self.consecutive_failures, 10), limit_s
        )
        self.not_before = now + pause * rng.uniform(0.5, 1)
        self.consecutive_failures += 1


class SnapshotOffers:
    """Finds the peer with the newest configuration before fetching it."""

    def __init__(self) -> None:
        """Start without offers."""
        self.asked_at = -OFFER_ROUND_S
        self.offset_by_peer: dict[str, int] = {}

    def may_query(self, now: float) -> bool:
        """Tell whether the last round is long enough ago."""
        return now - self.asked_at >= OFFER_ROUND_S

    def record_query(self, now: float) -> None:
        """Note that all peers were asked."""
        self.asked_at = now
        self.offset_by_peer = {}

    def add(self, peer: str, offset: int) -> None:
        """Note an offer."""
        self.offset_by_peer[peer] = offset

    def choose_if_due(self, now: float, next_offset: int) -> str:
        """Name the newest peer once all had time to answer, else ''."""
        if now - self.asked_at < OFFER_WAIT_S or not self.offset_by_peer:
            return ''
        ranked = sorted(
            (offset, peer) for peer, offset in self.offset_by_peer.items()
        )
        self.offset_by_peer = {}
        offset, peer = ranked[-1]
        return peer if offset >= next_offset else ''


class SnapshotPacer:
    """Decides when the log needs a new snapshot."""

    def __init__(self, rng: random.Random, now: float) -> None:
        """Count the first interval from the start of the node."""
        self.rng = rng
        self.newest_offset = 0
        self.seen_when = now
        self.first_offset = 1
        self.in_flight = False
        self.due_from = math.inf

    def record_snapshot(self, offset: int, now: float) -> None:
        """Note a snapshot that stands in the log at an offset."""
        if offset > self.newest_offset:
            self.newest_offset = offset
            self.seen_when = now
            self.due_from = math.inf

    def set_log_start(self, first_offset: int) -> None:
        """Note the oldest offset that the log still keeps."""
        self.first_offset = max(self.first_offset, first_offset)

    def may_start(self, now: float, offset: int, rank: int) -> bool:
        """Tell whether the node of this rank writes the state at an offset."""
        if rank >= SNAPSHOT_WRITERS or not self._is_wanted(now, offset):
            return False
        if math.isinf(self.due_from):
            self.due_from = now + self.rng.uniform(0, SNAPSHOT_SPREAD_S)
        is_due = now >= self.due_from + rank * SNAPSHOT_TAKEOVER_S
        return is_due and not self.in_flight

    def record_start(self) -> None:
        """Note an append in flight."""
        self.in_flight = True

    def record_end(self, now: float) -> None:
        """Note its end; unless seen in the log, it is tried again later."""
        self.in_flight = False
        self.due_from = max(self.due_from, now) + SNAPSHOT_RETRY_S

    def _is_wanted(self, now: float, offset: int) -> bool:
        # Once the log forgets records, the newest snapshot has to stand in
        # the younger half of what is kept.
        is_old = self.first_offset > 1 and (
            2 * self.newest_offset < self.first_offset + offset
        )
        is_time = now - self.seen_when >= SNAPSHOT_INTERVAL_S
        is_long = offset - self.newest_offset >= SNAPSHOT_INTERVAL_RECORDS
        return offset > 0 and (is_old or is_time or is_long)
