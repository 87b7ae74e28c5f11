"""The platform's log of a node world: all streams, outages, retention."""

import bisect
import random
from typing import TYPE_CHECKING

from bench.paused_clock import PausedClock
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogRecord,
    LogStream,
)
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendResult,
    AppendToLog,
    LogPageRead,
    LogReadFailed,
    ReadLog,
    LogReadResult,
    StreamExpired,
)

if TYPE_CHECKING:
    from bench.node_simulation import SimulatedNode

LATENCY_S = 0.003


class SimulatedLog:
    """Streams in memory; ``first_offsets`` move on when records expire."""

    def __init__(self, clock: PausedClock, rng: random.Random) -> None:
        """Start empty and up."""
        self.clock = clock
        self.rng = rng
        self.records: dict[LogStream, list[bytes]] = {
            stream: [] for stream in LogStream
        }
        self.first_offsets = dict.fromkeys(LogStream, 1)
        self.down = False
        self.cut_off: set[str] = set()
        self.latency_s = LATENCY_S
        self.lose_next_answers = 0

    def expire(self, stream: LogStream) -> None:
        """Forget all records of a stream that stand in it now."""
        self.first_offsets[stream] = len(self.records[stream]) + 1

    def append(
        self,
        node: 'SimulatedNode',
        effect: AppendToLog,
        encoded: bytes,
    ) -> None:
        """Append a record and report, unless the log is out of reach."""
        operation_id = effect.operation_id
        if self.down or node.name in self.cut_off:
            failed = AppendFailed(operation_id, may_have_taken_effect=False)
            node.later(self.latency_s, self.report_append, node, failed)
            return
        stream = self.records[effect.stream]
        stream.append(encoded)
        result: AppendResult = AppendConfirmed(operation_id, len(stream))
        if self.lose_next_answers:
            self.lose_next_answers -= 1
            result = AppendFailed(operation_id, may_have_taken_effect=True)
        node.later(self.latency_s, self.report_append, node, result)

    def read(self, node: 'SimulatedNode', wanted: ReadLog) -> None:
        """Read a page; with nothing there, look again when the wait ends."""
        started_at = self.clock.now
        node.later(
            self.latency_s,
            self.serve,
            node,
            wanted,
            started_at,
            started_at + wanted.wait_s,
        )

    def serve(
        self,
        node: 'SimulatedNode',
        wanted: ReadLog,
        started_at: float,
        wait_until: float,
    ) -> None:
        """Answer a read, or look again a little later."""
        read_result = self.look(node, wanted, started_at)
        is_empty = isinstance(read_result, LogPageRead) and (
            not read_result.page.records
        )
        if is_empty and self.clock.now < wait_until:
            node.later(
                self.latency_s * 2,
                self.serve,
                node,
                wanted,
                started_at,
                wait_until,
            )
            return
        now = self.clock.now
        node.perform(node.core.handle_read_result(read_result, now))

    def look(
        self,
        node: 'SimulatedNode',
        wanted: ReadLog,
        started_at: float,
    ) -> LogReadResult:
        """Say what a read finds now."""
        if self.down or node.name in self.cut_off:
            return LogReadFailed(wanted)
        first = self.first_offsets[wanted.stream]
        if wanted.offset < first:
            return StreamExpired(wanted, first)
        records = self.records[wanted.stream]
        numbered = range(1, len(records) + 1)
        start = bisect.bisect_left(numbered, wanted.offset)
        found = tuple(
            LogRecord(offset, records[offset - 1])
            for offset in numbered[start : start + wanted.limit]
        )
        next_offset = found[-1].offset + 1 if found else wanted.offset
        page = LogPage(found, next_offset, first, next_offset > len(records))
        return LogPageRead(wanted, started_at, page)

    def report_append(
        self, node: 'SimulatedNode', result: AppendResult
    ) -> None:
        """Report the result of an append to the node."""
        now = self.clock.now
        node.perform(node.core.handle_append_result(result, now))
