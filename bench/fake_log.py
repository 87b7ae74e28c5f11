"""A fake of the platform's log that can be slow, down or lose answers."""

import dataclasses
import random
from collections.abc import Callable

from bench.simulated_clock import SimulatedClock
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendResult,
    AppendToLog,
)

LATENCY_S = 0.01
PAGE_LIMIT = 50
APPEND_TIMEOUT_S = 0.5

RecordPage = tuple[list[tuple[int, object]], bool]


@dataclasses.dataclass(slots=True)
class LogConditions:
    """The faults of the log that are in effect now."""

    down: bool = False
    lose_answers: float = 0
    late_append_s: float = 0


class FakeLog:
    """One stream, kept in memory and without retention."""

    def __init__(self, clock: SimulatedClock, rng: random.Random) -> None:
        """Start empty and without faults."""
        self.clock = clock
        self.rng = rng
        self.records: list[object] = []
        self.conditions = LogConditions()

    def append(
        self,
        effect: AppendToLog,
        report: Callable[[AppendResult], None],
    ) -> None:
        """Append after a delay; the result may leave open whether it succeeded."""
        failed = AppendFailed(effect.operation_id, may_have_taken_effect=False)
        unknown = AppendFailed(effect.operation_id, may_have_taken_effect=True)
        if self.conditions.down:
            # Half of the failures leave open whether the append took effect.
            lost = self.rng.choice((failed, unknown))
            self.clock.call_later(LATENCY_S, report, lost)
            return
        delay_s = self.rng.uniform(0, LATENCY_S)
        if self.rng.random() < self.conditions.lose_answers:
            self.clock.call_later(APPEND_TIMEOUT_S, report, unknown)
            delay_s += self.rng.uniform(0, self.conditions.late_append_s)
            self.clock.call_later(delay_s, self._write, effect, _drop_result)
            return
        self.clock.call_later(delay_s, self._write, effect, report)

    def read(
        self,
        offset: int,
        report: Callable[[RecordPage], None],
    ) -> None:
        """Read a page from an offset; never report while the log is down."""
        if self.conditions.down:
            return
        delay_s = self.rng.uniform(0, LATENCY_S)
        self.clock.call_later(delay_s, self._serve, offset, report)

    def _serve(
        self,
        offset: int,
        report: Callable[[RecordPage], None],
    ) -> None:
        end = offset - 1 + PAGE_LIMIT
        page = list(enumerate(self.records[offset - 1 : end], offset))
        at_end = end >= len(self.records)
        delay_s = self.rng.uniform(0, LATENCY_S)
        self.clock.call_later(delay_s, report, (page, at_end))

    def _write(
        self,
        effect: AppendToLog,
        report: Callable[[AppendResult], None],
    ) -> None:
        self.records.append(effect.record)
        report(AppendConfirmed(effect.operation_id, len(self.records)))


def _drop_result(outcome: AppendResult) -> None:
    """Drop the result of an append whose answer is lost."""
