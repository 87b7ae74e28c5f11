"""Clock of the policy simulation: events run in order of time, no sleeping."""

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

Action: TypeAlias = Callable[[], None]


class SimulatedClock:
    """Runs events in order of time; equal times run in order of scheduling."""

    def __init__(self) -> None:
        """Start at zero seconds without events."""
        self.now: float = 0
        self.events: list[tuple[float, int, Action]] = []
        self.sequence = itertools.count()

    def after(self, delay_s: float, action: Action) -> None:
        """Schedule an action ``delay_s`` from now."""
        due = self.now + max(0, delay_s)
        heapq.heappush(self.events, (due, next(self.sequence), action))

    def run_until(self, end: float) -> None:
        """Run all events up to and including ``end``."""
        while self.events and self.events[0][0] <= end:
            due, _, action = heapq.heappop(self.events)
            self.now = due
            action()
        self.now = end
