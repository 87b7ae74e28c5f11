"""The streams of the log stand-in: offsets, retention and append rate."""

import collections
import dataclasses
import threading
import time
from collections.abc import Callable

from ebonycleat.internal.connection.errors import OffsetExpired
from ebonycleat.internal.connection.log_service import LogPage, LogRecord

# A reader that waits wakes at least this often, so that records expire and
# the server can stop.
WAIT_STEP_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _KeptRecord:
    appended_at: float
    record: LogRecord


class _StreamRecords:
    """The records of one stream that are still kept."""

    def __init__(self) -> None:
        self.kept: collections.deque[_KeptRecord] = collections.deque()
        self.next_offset = 1

    @property
    def first_offset(self) -> int:
        return self.kept[0].record.offset if self.kept else self.next_offset

    def expire(self, oldest_allowed: float) -> None:
        while self.kept and self.kept[0].appended_at < oldest_allowed:
            self.kept.popleft()

    def page_from(self, offset: int, limit: int) -> LogPage:
        if offset < self.first_offset:
            raise OffsetExpired(self.first_offset)
        # Offsets have no gaps, so an offset gives its place.
        start = offset - self.first_offset
        end = min(start + limit, len(self.kept))
        records = tuple(self.kept[place].record for place in range(start, end))
        next_offset = offset + len(records)
        return LogPage(
            records,
            next_offset,
            self.first_offset,
            at_end=next_offset >= self.next_offset,
        )


class LogStore:
    """All streams; safe to call from many threads."""

    def __init__(
        self,
        retention_s: float,
        appends_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``appends_per_s`` is over all streams, with a burst of one second."""
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.clock = clock
        self.changed = threading.Condition()
        self.streams: dict[str, _StreamRecords] = {}
        self.append_tokens = appends_per_s
        self.tokens_at = clock()
        self.stopped = False

    def append(self, stream: str, payload: bytes) -> int | None:
        """Append one record; None if the append rate is used up."""
        with self.changed:
            if not self._take_append_token():
                return None
            records = self._records_of(stream)
            offset = records.next_offset
            records.next_offset += 1
            record = LogRecord(offset, payload)
            records.kept.append(_KeptRecord(self.clock(), record))
            self.changed.notify_all()
            return offset

    def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        wait_s: float,
    ) -> LogPage:
        """Read a page, after waiting for a first record if there is none.

        Raises ``OffsetExpired``.
        """
        deadline = self.clock() + wait_s
        with self.changed:
            while True:
                records = self._records_of(stream)
                records.expire(self.clock() - self.retention_s)
                page = records.page_from(offset, limit)
                left_s = deadline - self.clock()
                if page.records or left_s <= 0 or self.stopped:
                    return page
                self.changed.wait(min(left_s, WAIT_STEP_S))

    def drop_records(self) -> None:
        """Expire every record; offsets go on from where they are."""
        with self.changed:
            for records in self.streams.values():
                records.kept.clear()
            self.changed.notify_all()

    def set_limits(self, retention_s: float, appends_per_s: float) -> None:
        """Change both limits from now on."""
        with self.changed:
            self.retention_s = retention_s
            self.appends_per_s = appends_per_s
            self.changed.notify_all()

    def stop(self) -> None:
        """End all waits, now and later."""
        with self.changed:
            self.stopped = True
            self.changed.notify_all()

    def describe(self) -> dict[str, dict[str, int]]:
        """First and next offset of each stream."""
        with self.changed:
            return {
                name: {
                    'first_offset': records.first_offset,
                    'next_offset': records.next_offset,
                }
                for name, records in sorted(self.streams.items())
            }

    def _records_of(self, stream: str) -> _StreamRecords:
        return self.streams.setdefault(stream, _StreamRecords())

    def _take_append_token(self) -> bool:
        now = self.clock()
        earned = (now - self.tokens_at) * self.appends_per_s
        self.tokens_at = now
        self.append_tokens = min(
            self.append_tokens + earned,
            max(self.appends_per_s, 1),
        )
        if self.append_tokens < 1:
            return False
        self.append_tokens -= 1
        return True
