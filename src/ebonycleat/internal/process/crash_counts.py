"""Counts target crashes by the requests that were running, over all nodes.

Used by ``ebonycleat-mesh-node``; ``ebonycleat-node`` uses ``crash_suspects``
instead.

Every request whose connection closed when a target crashed is a suspect. A
node publishes the fingerprints of its suspects in its member record, so every
node knows the sum over all nodes. A request that is suspected of several
crashes is refused. An innocent request that ran beside the cause of a crash is
cleared by its next answer from the same target.
"""

import collections
from collections.abc import Iterable

MIN_CRASHES_TO_REFUSE = 3
"""A request that is suspected of this number of crashes is refused on all
nodes. With two, a request that ran twice beside the cause of a crash would be
refused as well. ``crash_suspects`` can refuse after two, because it runs
suspects one at a time."""

LIFE_AFTER_CLOSE_S = 1.0
"""A target that is heard of this long after a connection closed did not crash
then. What it sent before a crash may arrive a little later."""

MAX_CLOSED_AGE_S = 60.0
"""Connections that closed longer ago are not counted for a crash, even if the
target was not heard of since."""

MAX_FINGERPRINTS = 64
"""Maximum number of fingerprints that a node publishes; a target runs some tens
of requests at a time."""

CrashCountPairs = tuple[tuple[int, int], ...]


class CrashCounts:
    """Crash counts of this node, and the sum that all other nodes published.

    ``has_cleared`` is true if own counts were cleared that are still published.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self.closed_connections: collections.deque[tuple[float, int]] = (
            collections.deque(
                maxlen=MAX_FINGERPRINTS,
            )
        )
        self.own_counts: dict[int, int] = {}
        self.has_cleared = False
        self.peer_counts: collections.Counter[int] = collections.Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether any request is a suspect."""
        return bool(self.own_counts or self.peer_counts)

    def record_closed_connection(self, fingerprint: int, now: float) -> None:
        """Record a request whose connection closed without an answer."""
        self.closed_connections.append((now, fingerprint))

    def record_sign_of_life(self, now: float) -> None:
        """Record that the target has sent something and still runs."""
        closed = self.closed_connections
        while closed and now - closed[0][0] > LIFE_AFTER_CLOSE_S:
            closed.popleft()

    def record_answer(self, fingerprint: int) -> None:
        """Clear a request that the target has answered.

        It only ran beside the cause of the crashes that it was counted for.
        """
        if self.own_counts.pop(fingerprint, 0):
            self.has_cleared = True

    def record_target_crash(self, now: float) -> bool:
        """Count a crash of the target; return True if it has any suspects.

        The connections that it closed are those that have closed since it was
        last heard of. A quiet node notices the crash only by the successor's
        first heartbeat, some seconds later.
        """
        fingerprints = {
            fingerprint
            for closed_at, fingerprint in self.closed_connections
            if now - closed_at <= MAX_CLOSED_AGE_S
        }
        self.closed_connections.clear()
        for fingerprint in fingerprints:
            self.own_counts[fingerprint] = (
                self.own_counts.pop(fingerprint, 0) + 1
            )
        self.drop_oldest()
        return bool(fingerprints)

    def adopt_own_counts(self, stored: CrashCountPairs) -> None:
        """Take over the counts that an earlier process of this node stored."""
        for fingerprint, count in stored:
            known = self.own_counts.get(fingerprint, 0)
            self.own_counts[fingerprint] = max(known, count)
        self.drop_oldest()

    def drop_oldest(self) -> None:
        """Drop the counts that are more than a node publishes."""
        while len(self.own_counts) > MAX_FINGERPRINTS:
            self.own_counts.pop(next(iter(self.own_counts)))

    def own_count_pairs(self) -> CrashCountPairs:
        """Return fingerprints with their crash counts, for the member record."""
        return tuple(self.own_counts.items())

    def update_peer_counts(self, published: Iterable[CrashCountPairs]) -> None:
        """Replace the sum of what the other nodes published."""
        self.peer_counts = collections.Counter()
        for count_pairs in published:
            self.peer_counts.update(dict(count_pairs))

    def must_refuse(self, fingerprint: int) -> bool:
        """Tell whether a request with this fingerprint must not run again."""
        return (
            self.own_counts.get(fingerprint, 0) + self.peer_counts[fingerprint]
            >= MIN_CRASHES_TO_REFUSE
        )
