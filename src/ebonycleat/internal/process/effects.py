"""Effects: operations that decision classes request and others carry out.

Decision classes do no input or output themselves. They return effects. The
node's driver, or the driver of a test, carries the effects out and reports
their results by calling the methods of the decision classes.
"""

import dataclasses
from typing import Any, TypeAlias

from ebonycleat.internal.connection.log_service import LogPage, LogStream
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.incoming import OutgoingResponse


@dataclasses.dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send one peer message; it may be lost, delayed or duplicated."""

    node: str
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class AppendToLog:
    """Append one record to a stream of the log.

    The result is reported under ``operation_id``.
    """

    stream: LogStream
    record: Any
    operation_id: str


Effect: TypeAlias = SendToPeer | AppendToLog


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Send this call to the node's own target.

    ``context_id`` is an opaque text that the target passes on with calls that
    it makes for this one.
    """

    call: Call
    context_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Find out whether the node's target accepts connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Answer the caller or operator whose request has this id."""

    request_id: str
    answer: OutgoingResponse


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read up to ``limit`` records of a stream from ``offset`` on.

    The log waits up to ``wait_s`` seconds for the first record.
    """

    stream: LogStream
    offset: int
    limit: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogPageRead:
    """Result of a read: a page of records.

    ``started_at`` is the time at which the read began, on the loop's clock.
    """

    request: ReadLog
    started_at: float
    page: LogPage


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """Result of a read that got no answer; the log may be down."""

    request: ReadLog


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """Result of a read whose offset is no longer retained.

    The stream begins at ``first_offset``.
    """

    request: ReadLog
    first_offset: int


LogReadResult: TypeAlias = LogPageRead | LogReadFailed | StreamExpired
NodeEffect: TypeAlias = (
    Effect | ReadLog | CallTarget | ProbeTarget | AnswerRequest
)


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """The log confirmed the append of a record, at ``offset``."""

    operation_id: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """The append failed, or its answer was lost.

    If ``may_have_taken_effect`` is true, only reading the stream tells
    whether the record was appended.
    """

    operation_id: str
    may_have_taken_effect: bool


AppendResult: TypeAlias = AppendConfirmed | AppendFailed
