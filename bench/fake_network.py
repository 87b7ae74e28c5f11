"""A fake network that delays, loses, duplicates, reorders and cuts."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from bench.simulated_clock import SimulatedClock


@dataclasses.dataclass(slots=True)
class LinkConditions:
    """The probabilities and the delay of faults on all links."""

    loss_probability: float = 0
    duplicate_probability: float = 0
    extra_delay_s: float = 0


class FakeNetwork:
    """Delivers messages with delays, losses and duplicates."""

    def __init__(
        self,
        clock: SimulatedClock,
        rng: random.Random,
        delay_s: Callable[[str, str], float],
    ) -> None:
        """Connect all nodes; ``delay_s(sender, receiver)`` is the one-way delay."""
        self.clock = clock
        self.rng = rng
        self.delay_s = delay_s
        self.conditions = LinkConditions()
        self.cuts: list[frozenset[str]] = []

    def is_reachable(self, sender: str, receiver: str) -> bool:
        """Tell whether no cut separates two nodes."""
        return all((sender in cut) == (receiver in cut) for cut in self.cuts)

    def send(
        self,
        sender: str,
        receiver: str,
        deliver: Callable[[str, Any], None],
        message: Any,
    ) -> None:
        """Deliver a message zero times, once or twice."""
        conditions = self.conditions
        if self.rng.random() < conditions.loss_probability:
            return
        copies = (
            2 if self.rng.random() < conditions.duplicate_probability else 1
        )
        for _ in range(copies):
            delay_s = self.delay_s(sender, receiver)
            self.clock.call_later(
                delay_s + self.rng.random() * conditions.extra_delay_s,
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
        # A message that is in transit when a cut begins is lost as well.
        if self.is_reachable(*link):
            deliver(link[0], message)
