"""Remembers over all nodes which requests end targets that run them.

Every request whose connection closed as its target died is suspect. A node
tells the marks of its suspects in its member record, so all nodes see the sum.
A request with several deaths is refused; one that ran beside the guilty one
by chance rarely comes again while another target dies.
"""

import collections
from collections.abc import Iterable

FATAL_DEATHS = 3
"""From this number of deaths on a request is refused everywhere. With two,
a request that ran beside the guilty one twice would be refused as well."""

DEATH_WINDOW_S = 1.0
"""Connections that close within this time before a death belong to it."""

MAX_MARKS = 64
"""Marks that a node tells; a target runs some tens of requests at a time."""

SuspectMarks = tuple[tuple[int, int], ...]


class CrashMemory:
    """What one node saw, and what all nodes told."""

    def __init__(self) -> None:
        """Suspect nobody."""
        self.closed: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MAX_MARKS,
        )
        self.own: dict[int, int] = {}
        self.told: collections.Counter[int] = collections.Counter()

    @property
    def has_suspects(self) -> bool:
        """Whether there is anything to compare requests with."""
        return bool(self.own or self.told)

    def note_closed(self, mark: int, now: float) -> None:
        """Note a run whose connection closed without an answer."""
        self.closed.append((now, mark))

    def note_death(self, now: float) -> bool:
        """Note that the target died; true if there are new suspects."""
        marks = {
            mark
            for closed_at, mark in self.closed
            if now - closed_at <= DEATH_WINDOW_S
        }
        self.closed.clear()
        for mark in marks:
            self.own[mark] = self.own.pop(mark, 0) + 1
        while len(self.own) > MAX_MARKS:
            self.own.pop(next(iter(self.own)))
        return bool(marks)

    def marks(self) -> SuspectMarks:
        """Own suspects with their deaths, to be told to all nodes."""
        return tuple(self.own.items())

    def hear(self, told: Iterable[SuspectMarks]) -> None:
        """Adopt what the other nodes tell."""
        self.told = collections.Counter()
        for marks in told:
            self.told.update(dict(marks))

    def is_fatal(self, mark: int) -> bool:
        """Whether a request with this mark must not run again."""
        return self.own.get(mark, 0) + self.told[mark] >= FATAL_DEATHS
