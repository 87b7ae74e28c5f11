"""Log lines for single decisions, bounded so that a surge cannot flood.

Counters hold what the bound leaves out; the number of lines left out is
written with the next line.
"""

import logging
import os
import sys
from collections.abc import Callable
from typing import TextIO

LINES_PER_S = 20.0
"""A line takes some 30 µs of processor time; 20 a second are under 0.1% of a
core, and keep a day's failures of one node traceable."""

BURST_LINES = 200.0
"""A cut or a crash ends some hundred requests of one node at once."""


class EventLog:
    """Writes lines through ``logging`` within a rate."""

    def __init__(
        self, logger: logging.Logger, clock: Callable[[], float]
    ) -> None:
        """Start with the whole burst; ``clock`` is in seconds."""
        self.logger = logger
        self.clock = clock
        self.level = BURST_LINES
        self.filled_at = clock()
        self.suppressed_lines = 0

    def write_limited(self, event: str, **fields: object) -> None:
        """Write a line about a request, unless there are too many."""
        now = self.clock()
        self.level += (now - self.filled_at) * LINES_PER_S
        self.level = min(self.level, BURST_LINES)
        self.filled_at = now
        if self.level < 1:
            self.suppressed_lines += 1
            return
        self.level -= 1
        if self.suppressed_lines:
            fields['lines_left_out'] = self.suppressed_lines
            self.suppressed_lines = 0
        self.logger.info(event, extra=fields)

    def write_always(self, event: str, **fields: object) -> None:
        """Write a line about the process itself; these are rare."""
        self.logger.info(event, extra=fields)


class NonBlockingStream:
    """Standard output that drops lines which a full pipe cannot take."""

    def __init__(self, stream: TextIO) -> None:
        """Make the stream's descriptor non-blocking."""
        self.descriptor = stream.fileno()
        os.set_blocking(self.descriptor, False)
        self.dropped = 0
        self.rest = b''

    def write(self, text: str) -> int:
        """Write what fits; a line is dropped whole or completed later."""
        pending = self.rest + text.encode()
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            self.dropped += 1
            return len(text)
        self.rest = pending[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing: each write goes out at once."""


def create_event_log(clock: Callable[[], float]) -> EventLog:
    """Build the log of one process."""
    return EventLog(logging.getLogger('ebonycleat.decisions'), clock)


def create_stdout_stream() -> NonBlockingStream:
    """Build the stream of log lines on standard output."""
    return NonBlockingStream(sys.stdout)
