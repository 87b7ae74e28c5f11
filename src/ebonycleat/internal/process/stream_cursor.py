"""Position of a node in a stream of the log, and when to read next."""

import random

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.effects import (
    LogPageRead,
    LogReadFailed,
    LogReadResult,
    ReadLog,
    StreamExpired,
)

# A read of the ownership stream extends leases, but only from the moment the
# read began. Its long poll must therefore be shorter than the duration of a
# lease. Other streams wait longer, because each read costs about 1 ms and a
# new record ends the wait anyway.
OWNERSHIP_POLL_S = 0.5
DEFAULT_POLL_S = 2.0
RECORDS_PER_READ = 256
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0


class StreamCursor:
    """Issues reads of one stream, at most one at a time.

    Failed reads are retried with exponential backoff and jitter.
    """

    def __init__(self, stream: LogStream, rng: random.Random) -> None:
        """Start with the first record of the stream."""
        self.stream = stream
        self.rng = rng
        self.next_offset = 1
        self.in_flight = False
        self.not_before: float = 0
        self.backoff_s = INITIAL_BACKOFF_S

    def tick(self, now: float) -> list[ReadLog]:
        """Return the next read, if it is due and none is in flight."""
        if self.in_flight or now < self.not_before:
            return []
        self.in_flight = True
        extends_leases = self.stream is LogStream.OWNERSHIP
        wait_s = OWNERSHIP_POLL_S if extends_leases else DEFAULT_POLL_S
        return [
            ReadLog(self.stream, self.next_offset, RECORDS_PER_READ, wait_s),
        ]

    def handle_read_result(
        self, read_result: LogReadResult, now: float
    ) -> None:
        """Advance past the records of a page, or back off after a failure.

        If the log has deleted the wanted records, reading continues with the
        first one it still has.
        """
        self.in_flight = False
        match read_result:
            case LogPageRead(page=page):
                self.next_offset = max(self.next_offset, page.next_offset)
                self.backoff_s = INITIAL_BACKOFF_S
            case StreamExpired(first_offset=first_offset):
                self.next_offset = max(self.next_offset, first_offset)
            case LogReadFailed():
                self.not_before = now + self.backoff_s * self.rng.uniform(
                    0.5, 1
                )
                self.backoff_s = min(MAX_BACKOFF_S, self.backoff_s * 2)
