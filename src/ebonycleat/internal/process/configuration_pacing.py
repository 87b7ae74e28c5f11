"""Decides when a node may read the log, query peers and write snapshots."""

import math
import random
from typing import Final

READ_INITIAL_BACKOFF_S: Final = 0.25
# A read without a result is given up after this time, so that a worker thread
# that hangs does not stop the node from following the stream.
READ_TIMEOUT_S: Final = 15.0
# Time that peers have to answer a query, and the interval between queries.
OFFER_WAIT_S: Final = 0.5
QUERY_INTERVAL_S: Final = 2.0
# A snapshot is due after this many records or this much time.
SNAPSHOT_INTERVAL_RECORDS: Final = 2000
SNAPSHOT_INTERVAL_S: Final = 3600.0
SNAPSHOT_RETRY_S: Final = 10.0
# The first writers of all zones see at the same time that a snapshot is due.
# Each waits for a random part of this time; the first one to write saves the
# others the work.
SNAPSHOT_SPREAD_S: Final = 30.0
# Number of writers in a zone. A writer may be live but unable to reach the log.
# The writers of the next ranks take over, each one ``SNAPSHOT_TAKEOVER_S``
# later than the one before.
SNAPSHOT_WRITERS: Final = 3
SNAPSHOT_TAKEOVER_S: Final = 60.0


class ReadPacer:
    """Allows one read at a time, with exponential backoff after failures."""

    def __init__(self, now: float) -> None:
        """Allow the first read immediately."""
        self.started_at = now
        self.in_flight = False
        self.consecutive_failures = 0
        self.not_before = now

    def may_start(self, now: float) -> bool:
        """Tell whether a read may start.

        A read in flight for ``READ_TIMEOUT_S`` no longer prevents another.
        """
        if self.in_flight:
            return now - self.started_at >= READ_TIMEOUT_S
        return now >= self.not_before

    def record_start(self, now: float) -> None:
        """Record that a read was started."""
        self.in_flight = True
        self.started_at = now

    def record_success(self) -> None:
        """Record that a read got an answer, which resets the backoff."""
        self.in_flight = False
        self.consecutive_failures = 0

    def record_failure(
        self, now: float, limit_s: float, rng: random.Random
    ) -> None:
        """Record a failed read and set the pause before the next one.

        The pause doubles with each failure up to ``limit_s``. Jitter keeps
        the nodes of a zone from retrying at the same time.
        """
        self.in_flight = False
        backoff_s = min(
            READ_INITIAL_BACKOFF_S * 2 ** min(self.consecutive_failures, 10),
            limit_s,
        )
        self.not_before = now + backoff_s * rng.uniform(0.5, 1)
        self.consecutive_failures += 1


class SnapshotOffers:
    """Finds the peer with the newest configuration, to fetch it from there.

    Snapshots are large. All peers are therefore asked only for the offset of
    their configuration, and one snapshot is fetched.
    """

    def __init__(self) -> None:
        """Allow the first query immediately."""
        self.asked_at = -QUERY_INTERVAL_S
        self.offset_by_peer: dict[str, int] = {}

    def may_query(self, now: float) -> bool:
        """Tell whether the last query is long enough ago."""
        return now - self.asked_at >= QUERY_INTERVAL_S

    def record_query(self, now: float) -> None:
        """Record that all peers were queried; earlier offers are dropped."""
        self.asked_at = now
        self.offset_by_peer = {}

    def add(self, peer: str, offset: int) -> None:
        """Record the offset that a peer offers."""
        self.offset_by_peer[peer] = offset

    def choose_if_due(self, now: float, next_offset: int) -> str:
        """Return the peer with the newest offer, or '' if there is none.

        Offers count only after ``OFFER_WAIT_S``, when all peers had time to
        answer, and only if they contain the record at ``next_offset``.
        """
        if now - self.asked_at < OFFER_WAIT_S or not self.offset_by_peer:
            return ''
        ranked = sorted(
            (offset, peer) for peer, offset in self.offset_by_peer.items()
        )
        self.offset_by_peer = {}
        offset, peer = ranked[-1]
        return peer if offset >= next_offset else ''


class SnapshotPacer:
    """Decides when this node appends a snapshot to the log.

    Starting nodes read the newest snapshot and the records after it. A newer
    snapshot must be appended before the log deletes those records.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        """Count the first interval from ``now``, the start of the node."""
        self.rng = rng
        self.newest_offset = 0
        self.newest_seen_at = now
        self.first_offset = 1
        self.in_flight = False
        self.due_at = math.inf

    def record_snapshot(self, offset: int, now: float) -> None:
        """Record that the log has a snapshot at an offset."""
        if offset > self.newest_offset:
            self.newest_offset = offset
            self.newest_seen_at = now
            self.due_at = math.inf

    def set_log_start(self, first_offset: int) -> None:
        """Record the oldest offset that the log still has."""
        self.first_offset = max(self.first_offset, first_offset)

    def may_start(self, now: float, offset: int, rank: int) -> bool:
        """Tell whether to write a snapshot of the configuration at ``offset``.

        ``rank`` is this node's place among the snapshot writers of its zone.
        """
        if rank >= SNAPSHOT_WRITERS or not self._is_snapshot_due(now, offset):
            return False
        if math.isinf(self.due_at):
            self.due_at = now + self.rng.uniform(0, SNAPSHOT_SPREAD_S)
        is_due = now >= self.due_at + rank * SNAPSHOT_TAKEOVER_S
        return is_due and not self.in_flight

    def record_start(self) -> None:
        """Record that an append is in flight."""
        self.in_flight = True

    def record_end(self, now: float) -> None:
        """Record the end of the append, whatever its result.

        Another attempt follows after ``SNAPSHOT_RETRY_S`` unless the snapshot
        shows up in the log before.
        """
        self.in_flight = False
        self.due_at = max(self.due_at, now) + SNAPSHOT_RETRY_S

    def _is_snapshot_due(self, now: float, offset: int) -> bool:
        # Once the log deletes old records, the newest snapshot must lie in the
        # newer half of the offsets that it still has.
        is_near_log_start = self.first_offset > 1 and (
            2 * self.newest_offset < self.first_offset + offset
        )
        is_interval_over = now - self.newest_seen_at >= SNAPSHOT_INTERVAL_S
        has_many_records = (
            offset - self.newest_offset >= SNAPSHOT_INTERVAL_RECORDS
        )
        return offset > 0 and (
            is_near_log_start or is_interval_over or has_many_records
        )
