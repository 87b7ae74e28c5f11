"""Remembers over all nodes which requests end targets that run them.

Every request whose connection closed as its target died is suspect. A node
tells the marks of its suspects in its member record, so all nodes see the sum.
A request with several deaths is refused; one that ran beside the guilty one
by chance rarely comes again while another target dies.
"""

import collections
from collections.abc import Iterable

MIN_CRASHES_TO_REFUSE = 3
"""From this number of deaths on a request is refused everywhere. With two,
a request that ran beside the guilty one twice would be refused as well."""

CRASH_WINDOW_S = 1.0
"""Connections that close within this time before a death belong to it."""

MAX_FINGERPRINTS = 64
"""Marks that a node tells; a target runs some tens of requests at a time."""

CrashCountPairs = tuple[tuple[int, int], ...]


class CrashCounts:
    """What one node saw, and what all nodes told."""

    def __init__(self) -> None:
        """Suspect nobody."""
        self.closed: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_FINGERPRINTS,
        )
        self.own_counts: dict[int, int] = {}
        self.peer_counts: collections.Counter[int] = collections.Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether there is anything to compare requests with."""
        return bool(self.own_counts or self.peer_counts)

    def record_closed_connection(self, mark: int, now: float) -> None:
        """Note a run whose connection closed without an answer."""
        self.closed.append((now, mark))

    def record_target_crash(self, now: float) -> bool:
        """Note that the target died; true if there are new suspects."""
        marks = {
            mark
            for closed_at, mark in self.closed
            if now - closed_at <= CRASH_WINDOW_S
        }
        self.closed.clear()
        for mark in marks:
            self.own_counts[mark] = self.own_counts.pop(mark, 0) + 1
        while len(self.own_counts) > MAX_FINGERPRINTS:
            self.own_counts.pop(next(iter(self.own_counts)))
        return bool(marks)

    def own_count_pairs(self) -> CrashCountPairs:
        """Own suspects with their deaths, to be told to all nodes."""
        return tuple(self.own_counts.items())

    def update_peer_counts(self, told: Iterable[CrashCountPairs]) -> None:
        """Adopt what the other nodes tell."""
        self.peer_counts = collections.Counter()
        for marks in told:
            self.peer_counts.update(dict(marks))

    def must_refuse(self, mark: int) -> bool:
        """Whether a request with this mark must not run again."""
        return self.own_counts.get(mark, 0) + self.peer_counts[mark] >= MIN_CRASHES_TO_REFUSE
