"""Fake target with slots, service time, slow cold starts and faults."""

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
    """Works for half of its time, calls the next service, and works again.

    The last service of a chain makes no call. A ``broken`` target answers
    each request at once with an error. Otherwise a ``failing_share`` of the
    runs fails after the work.
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
        self,
        call: Call,
        call_downstream: CallDownstream | None,
        run_callback: RunCallback,
    ) -> None:
        """Run one call; ``call_downstream`` makes the next call of the chain."""
        self.start_times.append(self.clock.now)
        self.starts_by_root[call.root_id] += 1
        if not self.alive:
            run_callback(RunResult.TARGET_CRASHED)
            return
        run_id = len(self.start_times)
        self.running[run_id] = run_callback
        self.most_running = max(self.most_running, len(self.running))
        if self.broken:
            fail = partial(self.finish_run, run_id, RunResult.FAILED)
            self.clock.after(FAST_FAILURE_S, fail)
            return
        half_s = self.draw_service_time_s() / 2
        self.clock.after(
            half_s,
            partial(self.continue_run, run_id, call, call_downstream, half_s),
        )

    def continue_run(
        self,
        run_id: int,
        call: Call,
        call_downstream: CallDownstream | None,
        half_s: float,
    ) -> None:
        """Call the next service, then work for the second half."""
        fails = self.rng.random() < self.failing_share
        result = RunResult.FAILED if fails else RunResult.SUCCEEDED
        finish = partial(self.finish_run, run_id, result)
        if call_downstream is None:
            self.clock.after(half_s, finish)
            return
        fail = partial(self.finish_run, run_id, RunResult.FAILED)

        def after_child(succeeded: bool) -> None:  # noqa: WPS430 - callback
            self.clock.after(
                half_s if succeeded else 0,
                finish if succeeded else fail,
            )

        call_downstream(call, after_child)

    def draw_service_time_s(self) -> float:
        """Draw the seconds that the target itself works on a run."""
        cold_factor = COLD_FACTOR if self.clock.now < self.cold_until else 1
        spread = self.rng.uniform(0.5, 1.5)
        return self.service_s * self.service_time_factor * cold_factor * spread

    def finish_run(self, run_id: int, result: RunResult) -> None:
        """Report the result of a run; runs ended by a crash are ignored."""
        run_callback = self.running.pop(run_id, None)
        if run_callback:
            run_callback(result)

    def kill(self) -> None:
        """Crash; all runs end as crashed."""
        self.alive = False
        for run_id in tuple(self.running):
            self.finish_run(run_id, RunResult.TARGET_CRASHED)

    def restart(self) -> None:
        """Restart after a crash; runs are slower for ``COLD_S``."""
        self.alive = True
        self.cold_until = self.clock.now + COLD_S
