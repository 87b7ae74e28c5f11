"""The streams of the log that a node follows, and its appends to them.

Each record goes to the one part that follows its stream.
"""

import dataclasses
from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.process.call_coordinator import CallCoordinator
from ebonycleat.internal.process.call_handlers import ComponentOutput
from ebonycleat.internal.process.configuration_component import (
    ConfigurationComponent,
    ConfigurationOutput,
)
from ebonycleat.internal.process.effects import (
    AppendResult,
    AppendToLog,
    LogPageRead,
    ReadLog,
    LogReadResult,
    StreamExpired,
)
from ebonycleat.internal.process.membership_component import MembershipComponent
from ebonycleat.internal.process.ownership_adapter import OwnershipAdapter
from ebonycleat.internal.process.ownership_sync import OwnershipSync
from ebonycleat.internal.process.state_changes import PendingStateChanges
from ebonycleat.internal.process.stream_cursor import StreamCursor
from ebonycleat.internal.process.node_codecs import (
    SUSPECT_RECORDS,
    create_log_codec,
)

StreamOutput: TypeAlias = ComponentOutput | ReadLog | ConfigurationOutput


@dataclasses.dataclass(frozen=True, slots=True)
class CoreComponents:
    """The parts of a node, each the one owner of its state."""

    configuration: ConfigurationComponent
    members: MembershipComponent
    ownership: OwnershipAdapter
    ownership_sync: OwnershipSync
    call_flow: CallCoordinator
    cursors: dict[LogStream, StreamCursor]
    state_changes: PendingStateChanges


class LogStreams:
    """Reads and appends of one node, by stream."""

    def __init__(self, parts: CoreComponents) -> None:
        """Hand records to ``parts``."""
        self.configuration = parts.configuration
        self.members = parts.members
        self.ownership = parts.ownership
        self.ownership_sync = parts.ownership_sync
        self.dedupe = parts.call_flow.dedupe
        self.suspects = parts.call_flow.gate_service.suspects.suspects
        self.cursors = parts.cursors
        self.append_streams: dict[str, LogStream] = {}
        self.codec = create_log_codec()

    def tick(self, now: float) -> Iterable[StreamOutput]:
        """Start the reads that are due."""
        for cursor in self.cursors.values():
            yield from cursor.tick(now)

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[StreamOutput]:
        """Apply what a read found, and read on."""
        stream = read_result.request.stream
        cursor = self.cursors[stream]
        cursor.handle_read_result(read_result, now)
        if stream is LogStream.OWNERSHIP:
            self.ownership_sync.handle_read_result(read_result)
        steps = self.apply_page(stream, read_result, now)
        return [*steps, *cursor.tick(now)]

    def record_append(self, effect: AppendToLog) -> None:
        """Remember which stream an append is for."""
        self.append_streams[effect.operation_id] = effect.stream

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> Iterable[StreamOutput]:
        """Take the result of an append."""
        operation_id = append_result.operation_id
        match self.append_streams.pop(operation_id, None):
            case LogStream.CONFIGURATION:
                return self.configuration.handle_append_result(
                    append_result, now
                )
            case LogStream.OWNERSHIP:
                return self.ownership.handle_append_result(append_result, now)
            case LogStream.STARTED:
                return self.dedupe.handle_append_result(append_result, now)
            case LogStream.SUSPECTS:
                self.suspects.handle_append_result(append_result, now)
            case _:
                self.members.handle_append_result(append_result, now)
        return ()

    def apply_page(
        self,
        stream: LogStream,
        read_result: LogReadResult,
        now: float,
    ) -> Iterable[StreamOutput]:
        """Hand the records of one page to the part that follows them."""
        if isinstance(read_result, StreamExpired):
            return self.records_lost(stream, now)
        if not isinstance(read_result, LogPageRead):
            return ()
        page = read_result.page
        records = [
            (record.offset, self.decode_record(record.payload))
            for record in page.records
        ]
        match stream:
            case LogStream.MEMBERS:
                return self.members.apply_records(
                    records,
                    now,
                    at_end=page.at_end,
                )
            case LogStream.OWNERSHIP:
                if not self.ownership_sync.prepare_page(records, now):
                    return ()
                return self.ownership.apply_log_page(
                    read_result.started_at,
                    records,
                    now,
                    at_end=page.at_end,
                )
            case LogStream.STARTED:
                return self.dedupe.apply_started_page(
                    (record for _, record in records),
                    read_result.started_at,
                    now,
                    at_end=page.at_end,
                )
            case LogStream.SUSPECTS:
                self.take_suspects(records, now)
        return ()

    def take_suspects(
        self,
        records: Iterable[tuple[int, object]],
        now: float,
    ) -> None:
        """Hand records about crash suspects on."""
        for _, record in records:
            if isinstance(record, SUSPECT_RECORDS):
                self.suspects.handle_record(record, now)

    def records_lost(
        self, stream: LogStream, now: float
    ) -> Iterable[StreamOutput]:
        """Go on after the log has forgotten records not read here."""
        if stream is LogStream.STARTED:
            self.dedupe.record_started_gap(now)
        return ()

    def decode_record(self, payload: bytes) -> object:
        """Decode a record; an unreadable one is None and changes nothing."""
        try:
            decoded: object = self.codec.decode(payload)
        except MalformedMessage:
            return None
        return decoded
