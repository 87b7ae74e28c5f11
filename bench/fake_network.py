"""Links between nodes that delay, lose, duplicate, reorder and cut."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from bench.paused_clock import PausedClock


@dataclasses.dataclass(slots=True)
class LinkConditions:
    """How all links behave at the moment; delays are in seconds."""

    lose: float = 0
    duplicate: float = 0
    extra_delay_s: float = 0


class FakeNetwork:
    """Decides when, how often and whether a message arrives."""

    def __init__(
        self,
        clock: PausedClock,
        rng: random.Random,
        delay_s: Callable[[str, str], float],
    ) -> None:
        """Connect everybody; ``delay_s`` is one way, sender first."""
        self.clock = clock
        self.rng = rng
        self.delay_s = delay_s
        self.conditions = LinkConditions()
        self.cuts: list[frozenset[str]] = []

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Tell whether no cut lies between two nodes."""
        return all(
            (sender in island) == (receiver in island) for island in self.cuts
        )

    def send(
        self,
        sender: str,
        receiver: str,
        deliver: Callable[[str, Any], None],
        message: Any,
    ) -> None:
        """Deliver a message zero times, once or twice."""
        weather = self.conditions
        if self.rng.random() < weather.lose:
            return
        copies = 2 if self.rng.random() < weather.duplicate else 1
        for _ in range(copies):
            delay_s = self.delay_s(sender, receiver)
            self.clock.call_later(
                delay_s + self.rng.random() * weather.extra_delay_s,
                self._arrive,
                (sender, receiver),
                deliver,
                message,
            )

    def _arrive(
        self,
        link: tuple[str, str],
        deliver: Callable[[str, Any], None],
        message: Any,
    ) -> None:
        # A message that is on its way when a cut begins is lost as well.
        if self.is_reachable(*link):
            deliver(link[0], message)
