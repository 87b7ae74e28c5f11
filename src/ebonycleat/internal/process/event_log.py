"""Rate-limited log lines about single requests and other events.

The limit keeps a surge of refusals from flooding the log. Suppressed events
are still counted by the metrics, and the next line that is written carries
the number of suppressed lines as ``lines_left_out``.
"""

import logging
import os
import sys
from collections.abc import Callable
from typing import TextIO

LINES_PER_S = 20.0
"""Sustained rate. Writing a line takes about 30 µs of processor time, so 20
lines a second cost less than 0.1% of a core. They are enough to trace the
failures of one node over a day."""

BURST_LINES = 200.0
"""Lines that may be written at once. A network partition or a crash ends some
hundred requests of one node at the same time."""


class EventLog:
    """Writes events through ``logging``, limited by a token bucket."""

    def __init__(
        self, logger: logging.Logger, clock: Callable[[], float]
    ) -> None:
        """Start with a full bucket; ``clock`` returns seconds."""
        self.logger = logger
        self.clock = clock
        self.tokens = BURST_LINES
        self.filled_at = clock()
        self.suppressed_lines = 0

    def write_limited(self, event: str, **fields: object) -> None:
        """Write a line with fields unless the rate limit is exceeded."""
        now = self.clock()
        self.tokens += (now - self.filled_at) * LINES_PER_S
        self.tokens = min(self.tokens, BURST_LINES)
        self.filled_at = now
        if self.tokens < 1:
            self.suppressed_lines += 1
            return
        self.tokens -= 1
        if self.suppressed_lines:
            fields['lines_left_out'] = self.suppressed_lines
            self.suppressed_lines = 0
        self.logger.info(event, extra=fields)

    def write_always(self, event: str, **fields: object) -> None:
        """Write a line without the rate limit, for rare events."""
        self.logger.info(event, extra=fields)


class NonBlockingStream:
    """A text stream that drops lines when the pipe behind it is full.

    A reader of the log that hangs must not block the event loop.
    """

    def __init__(self, stream: TextIO) -> None:
        """Set the descriptor of ``stream`` to non-blocking mode."""
        self.descriptor = stream.fileno()
        os.set_blocking(self.descriptor, False)
        self.dropped = 0
        self.unwritten = b''

    def write(self, text: str) -> int:
        """Write as much as the pipe takes, without waiting.

        A line that was written in part is completed by the next write, so
        that no partial line remains; otherwise the line is dropped.
        """
        pending = self.unwritten + text.encode()
        try:
            written = os.write(self.descriptor, pending)
        except BlockingIOError:
            self.dropped += 1
            return len(text)
        self.unwritten = pending[written:]
        return len(text)

    def flush(self) -> None:
        """Do nothing; writes are not buffered."""


def create_event_log(clock: Callable[[], float]) -> EventLog:
    """Create the event log of a process, on logger ``ebonycleat.decisions``.

    ``clock`` returns seconds.
    """
    return EventLog(logging.getLogger('ebonycleat.decisions'), clock)


def create_stdout_stream() -> NonBlockingStream:
    """Create a non-blocking stream on standard output for log lines."""
    return NonBlockingStream(sys.stdout)
