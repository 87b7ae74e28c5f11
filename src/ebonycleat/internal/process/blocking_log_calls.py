"""Blocking calls to the log service that return results, not exceptions.

They run on worker threads and do not access the state of the node.
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
    LogReadResult,
    ReadLog,
    StreamExpired,
)


def read_log_page(
    service: LogService,
    effect: ReadLog,
    started_at: float,
) -> LogReadResult:
    """Read one page of a stream.

    ``started_at`` is the start of the read on the loop's clock. It is passed
    on with the page, because a page proves the state of the stream only as
    of that time.
    """
    try:
        page = service.read(
            effect.stream,
            effect.offset,
            effect.limit,
            effect.wait_s,
        )
    except OffsetExpired as expired:
        return StreamExpired(effect, expired.first_offset)
    except StorageUnavailable:
        return LogReadFailed(effect)
    return LogPageRead(effect, started_at, page)


def append_log_record(
    service: LogService,
    effect: AppendToLog,
    codec: MessageCodec,
) -> AppendResult:
    """Encode and append one record.

    Encoding runs here and not on the loop, because a snapshot takes long to
    encode. A failed append may still have taken effect if only its answer
    was lost.
    """
    operation_id = effect.operation_id
    payload = codec.encode(effect.record)
    try:
        offset = service.append(effect.stream, payload, operation_id)
    except StorageUnavailable:
        return AppendFailed(operation_id, may_have_taken_effect=False)
    except WriteOutcomeUnknown:
        return AppendFailed(operation_id, may_have_taken_effect=True)
    return AppendConfirmed(operation_id, offset)
