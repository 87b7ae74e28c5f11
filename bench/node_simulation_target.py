"""A fake target with slots, a service time, crashes and counters."""

import collections
from collections.abc import Callable

from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.connection.target_client import (
    TargetFailure,
    TargetFailureKind,
    TargetResponse,
    TargetResult,
)
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Outcome

RESTART_S = 2.0
CRASH_MARKER = b'crash'

ResultCallback = Callable[[TargetResult], None]


class SimulatedTarget:
    """Runs calls for the service time; restarts after a crash."""

    def __init__(
        self,
        clock: SimulatedClock,
        slots: int,
        service_s: float,
    ) -> None:
        """Start without running calls."""
        self.clock = clock
        self.slots = slots
        self.service_s = service_s
        self.down_until: float = 0
        self.crash_count = 0
        self.max_running = 0
        self.running: dict[str, ResultCallback] = {}
        self.runs: list[tuple[float, Call]] = []
        self.runs_by_key: collections.Counter[str] = collections.Counter()

    def is_up(self) -> bool:
        """Tell whether the target accepts connections."""
        return self.clock.now >= self.down_until

    def run(self, call: Call, report: ResultCallback) -> None:
        """Run a call, or refuse the connection while the target is down."""
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
        self.max_running = max(self.max_running, len(self.running))
        if CRASH_MARKER in call.body:
            self.clock.call_later(self.service_s / 2, self.crash)
        else:
            self.clock.call_later(self.service_s, self.finish, call)

    def finish(self, call: Call) -> None:
        """Answer a call unless the target has crashed meanwhile."""
        report = self.running.pop(call.call_id, None)
        if report is not None:
            body = f'{call.path} {len(self.runs)}'.encode()
            report(TargetResponse(200, (('Content-Type', 'text/plain'),), body))

    def crash(self) -> None:
        """Crash, which resets the connections of all running calls."""
        if not self.is_up():
            return
        self.crash_count += 1
        self.down_until = self.clock.now + RESTART_S
        connection_reset = TargetFailure(
            TargetFailureKind.BROKEN,
            Outcome.UNKNOWN,
            'connection reset',
        )
        for report in tuple(self.running.values()):
            report(connection_reset)
        self.running.clear()
