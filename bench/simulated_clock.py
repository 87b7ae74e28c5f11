"""Clock of a discrete-event simulation.

It replaces the event loop: time jumps from one scheduled event to the next.
Hundreds of simulated seconds of a whole fleet thus take little real time,
and each run with the same input gives the same result.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

Event = tuple[float, int, Callable[..., object], Any]


class SimulatedClock:
    """Runs events in order of time; equal times run in order of scheduling."""

    def __init__(self) -> None:
        """Start at time 0 without events."""
        self.now: float = 0
        self.events: list[Event] = []
        self.sequence = itertools.count()

    def call_at(
        self,
        when: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Schedule an action; a time in the past means now."""
        event = (max(when, self.now), next(self.sequence), action, args)
        heapq.heappush(self.events, event)

    def call_later(
        self,
        delay_s: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Schedule an action after a delay in seconds."""
        self.call_at(self.now + delay_s, action, *args)

    def run_until(self, end: float) -> None:
        """Run all events up to and including ``end``."""
        while self.events and self.events[0][0] <= end:
            when, _, action, args = heapq.heappop(self.events)
            self.now = when
            action(*args)
        self.now = end
