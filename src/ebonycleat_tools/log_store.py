"""Streams of the log stand-in, with offsets, retention and append rate."""

import collections
import dataclasses
import threading
import time
from collections.abc import Callable

from ebonycleat.internal.connection.errors import OffsetExpired
from ebonycleat.internal.connection.log_service import LogPage, LogRecord

# A read that waits for records wakes at least this often, to expire records
# and to notice that the store was stopped.
MAX_WAIT_STEP_S = 0.5


class EraMismatch(Exception):
    """The client knows the log of another era."""

    def __init__(self, era: int) -> None:
        """``era`` is the present one."""
        super().__init__(f'the log is in era {era}')


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredRecord:
    appended_at: float
    record: LogRecord


class _StreamRecords:
    """The records of one stream that have not expired."""

    def __init__(self) -> None:
        self.stored: collections.deque[_StoredRecord] = collections.deque()
        self.next_offset = 1

    @property
    def first_offset(self) -> int:
        return self.stored[0].record.offset if self.stored else self.next_offset

    def expire(self, oldest_allowed: float) -> None:
        while self.stored and self.stored[0].appended_at < oldest_allowed:
            self.stored.popleft()

    def lose_records_since(self, oldest_lost: float) -> None:
        while self.stored and self.stored[-1].appended_at >= oldest_lost:
            self.next_offset = self.stored.pop().record.offset

    def read_page(self, offset: int, limit: int) -> LogPage:
        if not self.first_offset <= offset <= self.next_offset:
            raise OffsetExpired(self.first_offset)
        # Offsets have no gaps, so the index follows from the offset.
        start_index = offset - self.first_offset
        end_index = min(start_index + limit, len(self.stored))
        records = tuple(
            self.stored[index].record for index in range(start_index, end_index)
        )
        next_offset = offset + len(records)
        return LogPage(
            records,
            next_offset,
            self.first_offset,
            at_end=next_offset >= self.next_offset,
        )


class LogStore:
    """All streams of the log; safe to call from many threads.

    ``era`` is the number of times that the log was restored from a copy.
    """

    def __init__(
        self,
        retention_s: float,
        appends_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``appends_per_s`` limits all streams together.

        A burst of up to one second's appends is allowed.
        """
        self.retention_s = retention_s
        self.appends_per_s = appends_per_s
        self.clock = clock
        self.condition = threading.Condition()
        self.streams: dict[str, _StreamRecords] = {}
        self.append_tokens = appends_per_s
        self.tokens_updated_at = clock()
        self.stopped = False
        self.era = 0

    def append(
        self, stream: str, payload: bytes, era: int | None = None
    ) -> int | None:
        """Append a record and return its offset.

        Returns None if the append rate is exceeded. Raises ``EraMismatch`` if
        the writer names another era than the present one.
        """
        with self.condition:
            self.check_era(era)
            if not self._take_append_token():
                return None
            records = self._get_stream(stream)
            offset = records.next_offset
            records.next_offset += 1
            record = LogRecord(offset, payload)
            records.stored.append(_StoredRecord(self.clock(), record))
            self.condition.notify_all()
            return offset

    def read(
        self,
        stream: str,
        offset: int,
        limit: int,
        wait_s: float,
        era: int | None = None,
    ) -> LogPage:
        """Read a page; if it is empty, wait up to ``wait_s`` for a record.

        Raises ``OffsetExpired`` if the log does not have the offset, and
        ``EraMismatch`` if the reader names another era than the present one.
        """
        deadline = self.clock() + wait_s
        with self.condition:
            while True:
                self.check_era(era)
                records = self._get_stream(stream)
                records.expire(self.clock() - self.retention_s)
                page = records.read_page(offset, limit)
                remaining_s = deadline - self.clock()
                if page.records or remaining_s <= 0 or self.stopped:
                    return page
                self.condition.wait(min(remaining_s, MAX_WAIT_STEP_S))

    def check_era(self, era: int | None) -> None:
        """Raise ``EraMismatch`` for a client that knows another era."""
        if era not in {None, self.era}:
            raise EraMismatch(self.era)

    def restore(self, copy_age_s: float) -> None:
        """Replace all streams by a copy of that age; offsets go back."""
        with self.condition:
            self.era += 1
            copied_at = self.clock() - copy_age_s
            for records in self.streams.values():
                records.lose_records_since(copied_at)
            self.condition.notify_all()

    def drop_records(self) -> None:
        """Expire all records; the offsets of later records continue."""
        with self.condition:
            for records in self.streams.values():
                records.stored.clear()
            self.condition.notify_all()

    def set_limits(self, retention_s: float, appends_per_s: float) -> None:
        """Change the retention time and the append rate."""
        with self.condition:
            self.retention_s = retention_s
            self.appends_per_s = appends_per_s
            self.condition.notify_all()

    def stop(self) -> None:
        """End all present and future waits of readers."""
        with self.condition:
            self.stopped = True
            self.condition.notify_all()

    def get_offsets(self) -> dict[str, dict[str, int]]:
        """Return the first and the next offset of each stream."""
        with self.condition:
            return {
                name: {
                    'first_offset': records.first_offset,
                    'next_offset': records.next_offset,
                }
                for name, records in sorted(self.streams.items())
            }

    def _get_stream(self, stream: str) -> _StreamRecords:
        return self.streams.setdefault(stream, _StreamRecords())

    def _take_append_token(self) -> bool:
        now = self.clock()
        refill = (now - self.tokens_updated_at) * self.appends_per_s
        self.tokens_updated_at = now
        self.append_tokens = min(
            self.append_tokens + refill,
            max(self.appends_per_s, 1),
        )
        if self.append_tokens < 1:
            return False
        self.append_tokens -= 1
        return True
