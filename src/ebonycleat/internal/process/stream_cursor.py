"""Where a node stands in a stream that it follows by itself."""

import random

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    LogPageRead,
    LogReadFailed,
    ReadLog,
    LogReadResult,
    StreamExpired,
)

# A read is evidence only from the moment it began, so a long poll that keeps
# leases alive must be shorter than their hold time. Other streams wait
# longer: a new record ends the wait, and each read costs about 1 ms.
EVIDENCE_POLL_S = 0.5
LONG_POLL_S = 2.0
PAGE_RECORDS = 256
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class StreamCursor:
    """At most one read in flight; waits longer after each failure."""

    def __init__(self, stream: LogStream, rng: random.Random) -> None:
        """Start at the first record of the stream."""
        self.stream = stream
        self.rng = rng
        self.next_offset = 1
        self.in_flight = False
        self.not_before: float = 0
        self.pause_s = INITIAL_BACKOFF_S

    def tick(self, now: float) -> list[ReadLog]:
        """Start the next read when none is under way."""
        if self.in_flight or now < self.not_before:
            return []
        self.in_flight = True
        is_evidence = self.stream is LogStream.OWNERSHIP
        wait_s = EVIDENCE_POLL_S if is_evidence else LONG_POLL_S
        return [
            ReadLog(self.stream, self.next_offset, PAGE_RECORDS, wait_s),
        ]

    def handle_read_result(
        self, read_result: LogReadResult, now: float
    ) -> None:
        """Move on, or wait after a failure."""
        self.in_flight = False
        match read_result:
            case LogPageRead(page=page):
                self.next_offset = max(self.next_offset, page.next_offset)
                self.pause_s = INITIAL_BACKOFF_S
            case StreamExpired(first_offset=first_offset):
                self.next_offset = max(self.next_offset, first_offset)
            case LogReadFailed():
                self.not_before = now + self.pause_s * self.rng.uniform(0.5, 1)
                self.pause_s = min(MAX_BACKOFF_S, self.pause_s * 2)
