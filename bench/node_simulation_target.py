"""A target of a node world: slots, service time, crashes, counts."""

import collections
from collections.abc import Callable

from bench.paused_clock import PausedClock
from ebonycleat.internal.connection.target_client import (
    TargetFailureKind,
    TargetResponse,
    TargetFailure,
    TargetResult,
)
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Outcome

RESTART_S = 2.0
CRASH_MARK = b'crash'

ResultCallback = Callable[[TargetResult], None]


class SimulatedTarget:
    """Runs calls for their service time; restarts after a crash."""

    def __init__(
        self,
        clock: PausedClock,
        slots: int,
        service_s: float,
    ) -> None:
        """Start idle."""
        self.clock = clock
        self.slots = slots
        self.service_s = service_s
        self.down_until: float = 0
        self.crash_count = 0
        self.most_running = 0
        self.running: dict[str, ResultCallback] = {}
        self.runs: list[tuple[float, Call]] = []
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def is_up(self) -> bool:
        """Tell whether connections are accepted."""
        return self.clock.now >= self.down_until

    def run(self, call: Call, report: ResultCallback) -> None:
        """Run a call, or refuse the connection while down."""
        if not self.is_up():
            report(
                TargetFailure(
                    TargetFailureKind.NOT_CONNECTED,
                    Outcome.NOT_RUN,
                    'connection refused',
                ),
            )
            return
        self.runs.append((self.clock.now, call))
        if call.idempotency_key:
            self.runs_by_key[f'{call.team}/{call.idempotency_key}'] += 1
        self.running[call.call_id] = report
        self.most_running = max(self.most_running, len(self.running))
        if CRASH_MARK in call.body:
            self.clock.call_later(self.service_s / 2, self.crash)
        else:
            self.clock.call_later(self.service_s, self.finish, call)

    def finish(self, call: Call) -> None:
        """Answer a call, unless the target died meanwhile."""
        report = self.running.pop(call.call_id, None)
        if report is not None:
            body = f'{call.path} {len(self.runs)}'.encode()
            report(TargetResponse(200, (('Content-Type', 'text/plain'),), body))

    def crash(self) -> None:
        """Die: every running call loses its connection."""
        if not self.is_up():
            return
        self.crash_count += 1
        self.down_until = self.clock.now + RESTART_S
        broken = TargetFailure(
            TargetFailureKind.BROKEN,
            Outcome.UNKNOWN,
            'connection reset',
        )
        for report in tuple(self.running.values()):
            report(broken)
        self.running.clear()
