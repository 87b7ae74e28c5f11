"""Connects the crash suspects of a node to its gate.

A broken connection alone does not prove that the target crashed. Only when a
probe finds that the target refuses connections do the calls that were running
become suspects.
"""

from collections.abc import Callable, Sequence

from ebonycleat.internal.process.crash_suspects import (
    CrashSuspects,
    SuspectDecision,
)
from ebonycleat.internal.process.effects import Effect, ProbeTarget
from ebonycleat.internal.request.call import Call

ListLiveNodes = Callable[[float], Sequence[str]]


class SuspectAdapter:
    """Decides on suspect calls, and holds those that must wait."""

    def __init__(
        self, suspects: CrashSuspects, live_nodes: ListLiveNodes
    ) -> None:
        """Serve one node; ``live_nodes`` returns the nodes of its service."""
        self.suspects = suspects
        self.live_nodes = live_nodes
        self.held_calls: list[Call] = []
        self.calls_awaiting_probe: list[str] = []

    def admit(self, call: Call, now: float) -> SuspectDecision:
        """Decide on a call at the moment of its dispatch."""
        return self.suspects.admit(call, self.live_nodes(now), now)

    def hold_call(self, call: Call) -> None:
        """Keep a suspect call until the one that runs has finished."""
        self.held_calls.append(call)

    def take_held_calls(self) -> list[Call]:
        """Return the calls that may be offered to the gate again."""
        held_calls = self.held_calls
        self.held_calls = []
        return held_calls

    def finish_run(
        self,
        call_id: str,
        now: float,
        *,
        answered: bool,
    ) -> list[Effect]:
        """End the run of a call; an answer clears its request."""
        return self.suspects.finish_run(
            call_id,
            self.live_nodes(now),
            now,
            answered=answered,
        )

    def handle_broken_connection(self, call_id: str) -> list[ProbeTarget]:
        """Record a call that lost its connection; probe the target if needed.

        Only the first of these calls starts a probe.
        """
        self.calls_awaiting_probe.append(call_id)
        return [ProbeTarget()] if len(self.calls_awaiting_probe) == 1 else []

    def handle_probe_result(self, now: float, *, alive: bool) -> list[Effect]:
        """Make the running calls suspects if the target has crashed.

        Otherwise only the runs of the calls that waited for the probe end.
        """
        probed_calls = self.calls_awaiting_probe
        self.calls_awaiting_probe = []
        if not alive:
            return self.suspects.handle_target_crash(self.live_nodes(now), now)
        effects: list[Effect] = []
        for call_id in probed_calls:
            effects.extend(self.finish_run(call_id, now, answered=False))
        return effects
