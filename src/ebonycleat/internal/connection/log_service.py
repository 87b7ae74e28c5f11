"""What the nodes need from the platform's append-only log.

The platform has the same verbs in another spelling, so only an
implementation of this class knows how they travel.
"""

import abc
import dataclasses
import enum


class LogStream(enum.Enum):
    """The streams that the nodes read and append to."""

    CONFIGURATION = 'configuration'
    MEMBERS = 'members'
    OWNERSHIP = 'ownership'
    STARTED = 'started'
    SUSPECTS = 'suspects'


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """One record as the log keeps it; ``payload`` is CBOR."""

    offset: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """The answer to one read.

    ``next_offset`` is where the next read begins; ``first_offset`` is the
    oldest offset that is still kept; ``at_end`` says that no later record
    existed when the log answered.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    first_offset: int
    at_end: bool


class LogService(abc.ABC):
    """Blocking access to the log; offsets start at 1 and never repeat."""

    @abc.abstractmethod
    def append(
        self,
        stream: LogStream,
        payload: bytes,
        operation_id: str,
    ) -> int:
        """Append one record and return its offset.

        Raises ``LogUnavailable`` when surely nothing was appended and
        ``AppendOutcomeUnknown`` when the answer was lost. The service does not
        remove duplicates: the reader does, by the operation id in the record.
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

        Waits up to ``wait_s`` seconds for a first record. Raises
        ``OffsetExpired`` and ``LogUnavailable``.
        """
