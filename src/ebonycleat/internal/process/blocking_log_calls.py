"""Blocking calls to the log, with typed results in place of exceptions.

They run on worker threads and touch no state of the node.
"""

from ebonycleat.internal.connection.codec import MessageCodec
from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.log_service import LogService
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendFailed,
    AppendResult,
    AppendToLog,
    LogPageRead,
    LogReadFailed,
    ReadLog,
    LogReadResult,
    StreamExpired,
)


def read_log_page(
    service: LogService,
    wanted: ReadLog,
    started_at: float,
) -> LogReadResult:
    """Read one page; ``started_at`` is on the loop's clock."""
    try:
        page = service.read(
            wanted.stream,
            wanted.offset,
            wanted.limit,
            wanted.wait_s,
        )
    except OffsetExpired as expired:
        return StreamExpired(wanted, expired.first_offset)
    except StorageUnavailable:
        return LogReadFailed(wanted)
    return LogPageRead(wanted, started_at, page)


def append_log_record(
    service: LogService,
    effect: AppendToLog,
    codec: MessageCodec,
) -> AppendResult:
    """Encode and append one record; a snapshot takes long to encode."""
    operation_id = effect.operation_id
    payload = codec.encode(effect.record)
    try:
        offset = service.append(effect.stream, payload, operation_id)
    except StorageUnavailable:
        return AppendFailed(operation_id, may_have_taken_effect=False)
    except WriteOutcomeUnknown:
        return AppendFailed(operation_id, may_have_taken_effect=True)
    return AppendConfirmed(operation_id, offset)
