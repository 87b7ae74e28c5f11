"""Follows the streams of the log and appends to them, off the loop.

Only bytes move on the worker threads; pages are handed to the decisions on
the loop together with the time at which the read began.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from concurrent.futures import Executor
from typing import TypeAlias

from ebonycleat.internal.connection.errors import (
    AppendUnknown,
    LogUnavailable,
    OffsetExpired,
)
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogService,
    Stream,
)
from ebonycleat.internal.process.effects import (
    AppendDone,
    AppendFailed,
    AppendResult,
)

# Shorter than the hold time of a lease, because a read is evidence only
# from the moment it began.
LONG_POLL_S = 0.5
PAGE_RECORDS = 500
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PageRead:
    """A page, and when its read began on the loop's clock."""

    stream: Stream
    started_at: float
    page: LogPage


@dataclasses.dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read got no answer; the log may be down."""

    stream: Stream


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """The wanted offset is gone; the stream begins at ``first_offset``."""

    stream: Stream
    first_offset: int


ReadResult: TypeAlias = PageRead | ReadFailed | StreamExpired


class LogReader:
    """Reads streams and appends records for a node."""

    def __init__(
        self,
        service: LogService,
        executor: Executor,
        rng: random.Random,
    ) -> None:
        """Run the blocking calls of ``service`` on ``executor``."""
        self.service = service
        self.executor = executor
        self.rng = rng

    async def follow(
        self,
        stream: Stream,
        next_offset: Callable[[], int],
        on_result: Callable[[ReadResult], None],
    ) -> None:
        """Read the stream until cancelled."""
        loop = asyncio.get_running_loop()
        pause_s = FIRST_PAUSE_S
        while True:
            started_at = loop.time()
            read_result = await loop.run_in_executor(
                self.executor,
                self.read_once,
                stream,
                next_offset(),
                started_at,
            )
            on_result(read_result)
            if isinstance(read_result, ReadFailed):
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
            else:
                pause_s = FIRST_PAUSE_S

    def read_once(
        self,
        stream: Stream,
        offset: int,
        started_at: float,
    ) -> ReadResult:
        """Read one page; runs on a worker thread."""
        try:
            page = self.service.read(stream, offset, PAGE_RECORDS, LONG_POLL_S)
        except OffsetExpired as expired:
            return StreamExpired(stream, expired.first_offset)
        except LogUnavailable:
            return ReadFailed(stream)
        return PageRead(stream, started_at, page)

    def append_once(
        self,
        stream: Stream,
        payload: bytes,
        operation_id: str,
    ) -> AppendResult:
        """Append one record; runs on a worker thread."""
        try:
            offset = self.service.append(stream, payload, operation_id)
        except LogUnavailable:
            return AppendFailed(operation_id, may_have_taken_effect=False)
        except AppendUnknown:
            return AppendFailed(operation_id, may_have_taken_effect=True)
        return AppendDone(operation_id, offset)
