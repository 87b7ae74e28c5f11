"""Interface of the platform's append-only log, with numbered records.

Implementations of ``LogService`` decide how requests are sent.
"""

import abc
import dataclasses
import enum


class LogStream(enum.Enum):
    """The streams of the log that nodes read and append to."""

    CONFIGURATION = 'configuration'
    MEMBERS = 'members'
    OWNERSHIP = 'ownership'
    STARTED = 'started'
    SUSPECTS = 'suspects'


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream; ``payload`` is CBOR."""

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """The result of one read.

    ``next_offset`` is the offset for the next read. ``first_offset`` is the
    oldest offset that the stream still has. ``at_end`` is True if the stream
    had no later record at the time of the read.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    first_offset: int
    at_end: bool


class LogService(abc.ABC):
    """Blocking access to the log.

    The offsets of a stream start at 1 and rise.
    """

    @abc.abstractmethod
    def append(
        self,
        stream: LogStream,
        payload: bytes,
        operation_id: str,
    ) -> int:
        """Append one record and return its offset.

        Raises ``StorageUnavailable`` if nothing was appended, and
        ``WriteOutcomeUnknown`` if the response was lost. An append that is
        repeated can put a record into the stream twice; readers recognize
        duplicates by the operation id in the record.
        """

    @abc.abstractmethod
    def read(
        self,
        stream: LogStream,
        offset: int,
        limit: int,
        wait_s: float,
    ) -> LogPage:
        """Read at most ``limit`` records from ``offset`` on.

        Waits up to ``wait_s`` seconds for the first record. Raises
        ``OffsetExpired`` if the stream no longer has the record at ``offset``,
        and ``StorageUnavailable`` if the log cannot be read.
        """
