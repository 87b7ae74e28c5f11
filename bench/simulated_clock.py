"""A clock that only moves from one scheduled event to the next.

It stands in for the event loop, so that hundreds of simulated seconds of a
whole fleet take a moment and repeat exactly.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

Event = tuple[float, int, Callable[..., object], Any]


class SimulatedClock:
    """Events in the order of their time; equal times keep their order."""

    def __init__(self) -> None:
        """Start at zero with nothing scheduled."""
        self.now: float = 0
        self.events: list[Event] = []
        self.order = itertools.count()

    def call_at(
        self,
        when: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Run an action at a time, or now if that time is past."""
        event = (max(when, self.now), next(self.order), action, args)
        heapq.heappush(self.events, event)

    def call_later(
        self,
        delay_s: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Run an action after a delay in seconds."""
        self.call_at(self.now + delay_s, action, *args)

    def run_until(self, end: float) -> None:
        """Run all events up to and including ``end``."""
        while self.events and self.events[0][0] <= end:
            when, _, action, args = heapq.heappop(self.events)
            self.now = when
            action(*args)
        self.now = end
