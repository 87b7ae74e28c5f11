"""Carries out the decisions of a gate one after the other."""

import collections
import contextlib
from collections.abc import Callable, Iterable

from ebonycleat.internal.process.gate_decisions import GateDecision


class DecisionQueue:
    """Carries out decisions, and those that follow from them, in order.

    Those that follow from a decision are carried out after it and not within
    it: a whole queue of calls may be refused one by one, each refusal the
    consequence of the one before.
    """

    def __init__(self, carry_out: Callable[[GateDecision], None]) -> None:
        """Pass each decision to ``carry_out``, which may add others."""
        self.carry_out = carry_out
        self.waiting: collections.deque[GateDecision] = collections.deque()
        self.is_active = False

    def add(self, decisions: Iterable[GateDecision]) -> None:
        """Carry out decisions, after those that are being carried out."""
        self.waiting.extend(decisions)
        if self.is_active:
            return
        self.is_active = True
        with contextlib.ExitStack() as stack:
            stack.callback(self.deactivate)
            while self.waiting:
                self.carry_out(self.waiting.popleft())

    def deactivate(self) -> None:
        """Let the next decision be carried out at once."""
        self.is_active = False
