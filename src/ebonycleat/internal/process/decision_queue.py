"""Carries out the decisions of a gate one after the other."""

import collections
from collections.abc import Callable, Iterable

from ebonycleat.internal.process.gate_decisions import GateDecision


class DecisionQueue:
    """Carries out decisions, and those that follow from them, in order.

    Those that follow from a decision are carried out after it and not within
    it: a whole queue of calls may be refused one by one, each refusal the
    consequence of the one before.
    """

    def __init__(
        self,
        carry_out: Callable[[GateDecision], None],
        on_error: Callable[[GateDecision, Exception], None],
    ) -> None:
        """Pass each decision to ``carry_out``, which may add others.

        ``on_error`` gets the decisions that could not be carried out; the
        others go on.
        """
        self.carry_out = carry_out
        self.on_error = on_error
        self.waiting: collections.deque[GateDecision] = collections.deque()
        self.is_active = False

    def add(self, decisions: Iterable[GateDecision]) -> None:
        """Carry out decisions, after those that are being carried out."""
        self.waiting.extend(decisions)
        if self.is_active:
            return
        with self:
            while self.waiting:
                decision = self.waiting.popleft()
                try:
                    self.carry_out(decision)
                except Exception as error:
                    self.on_error(decision, error)

    def __enter__(self) -> None:
        """Keep back decisions that follow from others.

        An ``ExitStack`` in ``add`` instead took 1 us for each call of a gate.
        """
        self.is_active = True

    def __exit__(self, *exception: object) -> None:
        """Let the next decision be carried out at once, also after an error."""
        self.is_active = False
