"""What decision classes ask the shell, or a test driver, to do.

Decisions never touch sockets. They return effects, and whoever drives them
carries the effects out and reports back with typed calls.
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
    """Append one record; report the result under ``operation_id``."""

    stream: LogStream
    record: Any
    operation_id: str


Effect: TypeAlias = SendToPeer | AppendToLog


@dataclasses.dataclass(frozen=True, slots=True)
class CallTarget:
    """Send this call to the target beside the node.

    ``context_id`` is the opaque id that the target repeats in its child calls.
    """

    call: Call
    context_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Find out whether the target accepts connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerRequest:
    """Answer the caller or operator that waits under ``request_id``."""

    request_id: str
    answer: OutgoingResponse


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Read records from ``offset`` on; waits up to ``wait_s`` seconds."""

    stream: LogStream
    offset: int
    limit: int
    wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LogPageRead:
    """A page, and when its read began on the loop's clock."""

    request: ReadLog
    started_at: float
    page: LogPage


@dataclasses.dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read got no answer; the log may be down."""

    request: ReadLog


@dataclasses.dataclass(frozen=True, slots=True)
class StreamExpired:
    """The wanted offset is gone; the stream begins at ``first_offset``."""

    request: ReadLog
    first_offset: int


LogReadResult: TypeAlias = LogPageRead | LogReadFailed | StreamExpired
NodeEffect: TypeAlias = (
    Effect | ReadLog | CallTarget | ProbeTarget | AnswerRequest
)


@dataclasses.dataclass(frozen=True, slots=True)
class AppendConfirmed:
    """The log confirmed the append; the record stands at ``offset``."""

    operation_id: str
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendFailed:
    """The append did not succeed, or its answer was lost.

    With ``may_have_taken_effect`` only reading the stream tells.
    """

    operation_id: str
    may_have_taken_effect: bool


AppendResult: TypeAlias = AppendConfirmed | AppendFailed
