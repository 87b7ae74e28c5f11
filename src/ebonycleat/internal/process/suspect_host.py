"""Crash suspects of a node: what waits, what runs, and who is told.

A broken connection alone does not prove that the target died. Only when a
probe finds that it refuses connections do the calls that were running
become suspects.
"""

from collections.abc import Callable, Sequence

from ebonycleat.internal.process.crash_suspects import (
    CrashSuspects,
    SuspectDecision,
)
from ebonycleat.internal.process.effects import Effect, ProbeTarget
from ebonycleat.internal.request.call import Call

NodesOf = Callable[[float], Sequence[str]]


class SuspectHost:
    """Connects the crash suspects to the gate of the node."""

    def __init__(self, suspects: CrashSuspects, live_nodes: NodesOf) -> None:
        """Serve one node; ``live_nodes`` lists the nodes of its service."""
        self.suspects = suspects
        self.live_nodes = live_nodes
        self.held: list[Call] = []
        self.broken: list[str] = []

    def admit(self, call: Call, now: float) -> SuspectDecision:
        """Decide on a call at the moment of its dispatch."""
        return self.suspects.admit(call, self.live_nodes(now), now)

    def hold(self, call: Call) -> None:
        """Keep a suspect until the one that runs has finished."""
        self.held.append(call)

    def take_held(self) -> list[Call]:
        """Return the calls that may be offered to the gate again."""
        held = self.held
        self.held = []
        return held

    def finished(
        self,
        call_id: str,
        now: float,
        *,
        answered: bool,
    ) -> list[Effect]:
        """End a run; an answer clears the request."""
        return self.suspects.finished(
            call_id,
            self.live_nodes(now),
            now,
            answered=answered,
        )

    def connection_broke(self, call_id: str) -> list[ProbeTarget]:
        """Keep a call in doubt until a probe has shown what happened."""
        self.broken.append(call_id)
        return [ProbeTarget()] if len(self.broken) == 1 else []

    def target_probed(self, now: float, *, alive: bool) -> list[Effect]:
        """Suspect what was running if the target is dead."""
        broken = self.broken
        self.broken = []
        if not alive:
            return self.suspects.target_died(self.live_nodes(now), now)
        effects: list[Effect] = []
        for call_id in broken:
            effects.extend(self.finished(call_id, now, answered=False))
        return effects
