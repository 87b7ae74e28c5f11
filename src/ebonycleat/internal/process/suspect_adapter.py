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


class SuspectAdapter:
    """Connects the crash suspects to the gate of the node."""

    def __init__(self, suspects: CrashSuspects, live_nodes: NodesOf) -> None:
        """Serve one node; ``live_nodes`` lists the nodes of its service."""
        self.suspects = suspects
        self.live_nodes = live_nodes
        self.held_calls: list[Call] = []
        self.doubtful_calls: list[str] = []

    def admit(self, call: Call, now: float) -> SuspectDecision:
        """Decide on a call at the moment of its dispatch."""
        return self.suspects.admit(call, self.live_nodes(now), now)

    def hold_call(self, call: Call) -> None:
        """Keep a suspect until the one that runs has finished."""
        self.held_calls.append(call)

    def take_held_calls(self) -> list[Call]:
        """Return the calls that may be offered to the gate again."""
        held = self.held_calls
        self.held_calls = []
        return held

    def finish_run(
        self,
        call_id: str,
        now: float,
        *,
        answered: bool,
    ) -> list[Effect]:
        """End a run; an answer clears the request."""
        return self.suspects.finish_run(
            call_id,
            self.live_nodes(now),
            now,
            answered=answered,
        )

    def handle_broken_connection(self, call_id: str) -> list[ProbeTarget]:
        """Keep a call in doubt until a probe has shown what happened."""
        self.doubtful_calls.append(call_id)
        return [ProbeTarget()] if len(self.doubtful_calls) == 1 else []

    def handle_probe_result(self, now: float, *, alive: bool) -> list[Effect]:
        """Suspect what was running if the target is dead."""
        broken = self.doubtful_calls
        self.doubtful_calls = []
        if not alive:
            return self.suspects.handle_target_crash(self.live_nodes(now), now)
        effects: list[Effect] = []
        for call_id in broken:
            effects.extend(self.finish_run(call_id, now, answered=False))
        return effects
