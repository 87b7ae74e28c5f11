"""Small fake of a target: slots, service time, cold start and faults."""

import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import TypeAlias

from bench.policy_clock import SimulatedClock

from ebonycleat.internal.process.run_outcome import RunResult
from ebonycleat.internal.request.call import Call

RunCallback: TypeAlias = Callable[[RunResult], None]
CallDownstream: TypeAlias = Callable[[Call, Callable[[bool], None]], None]

COLD_S = 3
COLD_FACTOR = 3
FAST_FAILURE_S = 0.002


class FakeTarget:
    """Works for half its time, calls on if the chain goes on, and ends.

    ``broken`` answers every request at once with an error; without that,
    ``failing_share`` of the runs fail after their work.
    """

    def __init__(
        self,
        clock: SimulatedClock,
        rng: random.Random,
        slots: int,
        service_s: float,
    ) -> None:
        """Start warm and idle."""
        self.clock = clock
        self.rng = rng
        self.slots = slots
        self.service_s = service_s
        self.service_time_factor: float = 1
        self.alive = True
        self.broken = False
        self.failing_share: float = 0
        self.cold_until: float = 0
        self.running: dict[int, RunCallback] = {}
        self.start_times: list[float] = []
        self.starts_by_root: Counter[str] = Counter()
        self.most_running = 0
        self.attempt_times: list[float] = []

    def run(
        self, call: Call, call_on: CallDownstream | None, on_end: RunCallback
    ) -> None:
        """Run one call; ``call_on`` makes the next call of the chain."""
        self.start_times.append(self.clock.now)
        self.starts_by_root[call.root_id] += 1
        if not self.alive:
            on_end(RunResult.TARGET_CRASHED)
            return
        run_id = len(self.start_times)
        self.running[run_id] = on_end
        self.most_running = max(self.most_running, len(self.running))
        if self.broken:
            fail = partial(self.end, run_id, RunResult.FAILED)
            self.clock.after(FAST_FAILURE_S, fail)
            return
        half_s = self.own_time_s() / 2
        self.clock.after(
            half_s,
            partial(self.continue_run, run_id, call, call_on, half_s),
        )

    def continue_run(
        self,
        run_id: int,
        call: Call,
        call_on: CallDownstream | None,
        half_s: float,
    ) -> None:
        """Call the next service, then work for the second half."""
        fails = self.rng.random() < self.failing_share
        how = RunResult.FAILED if fails else RunResult.SUCCEEDED
        finish = partial(self.end, run_id, how)
        if call_on is None:
            self.clock.after(half_s, finish)
            return
        fail = partial(self.end, run_id, RunResult.FAILED)

        def after_child(succeeded: bool) -> None:  # noqa: WPS430 - callback
            self.clock.after(
                half_s if succeeded else 0,
                finish if succeeded else fail,
            )

        call_on(call, after_child)

    def own_time_s(self) -> float:
        """Draw the seconds of own work."""
        cold = COLD_FACTOR if self.clock.now < self.cold_until else 1
        spread = self.rng.uniform(0.5, 1.5)
        return self.service_s * self.service_time_factor * cold * spread

    def end(self, run_id: int, how: RunResult) -> None:
        """Report the end once; runs that died have been reported."""
        on_end = self.running.pop(run_id, None)
        if on_end:
            on_end(how)

    def kill(self) -> None:
        """Die with everything that runs."""
        self.alive = False
        for run_id in tuple(self.running):
            self.end(run_id, RunResult.TARGET_CRASHED)

    def restart(self) -> None:
        """Come back cold."""
        self.alive = True
        self.cold_until = self.clock.now + COLD_S
