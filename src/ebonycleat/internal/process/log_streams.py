"""Connects the streams of the log to the components that use them.

The records of each stream, and the results of appends to it, go to one
component.
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
    LogReadResult,
    ReadLog,
    StreamExpired,
)
from ebonycleat.internal.process.membership_component import MembershipComponent
from ebonycleat.internal.process.node_codecs import (
    SUSPECT_RECORDS,
    create_log_codec,
)
from ebonycleat.internal.process.ownership_adapter import OwnershipAdapter
from ebonycleat.internal.process.ownership_sync import OwnershipSync
from ebonycleat.internal.process.state_changes import PendingStateChanges
from ebonycleat.internal.process.stream_cursor import StreamCursor

StreamOutput: TypeAlias = ComponentOutput | ReadLog | ConfigurationOutput


@dataclasses.dataclass(frozen=True, slots=True)
class CoreComponents:
    """The components of a node core.

    ``cursors`` has the reading positions of all streams except the
    configuration's, which the configuration component keeps itself.
    """

    configuration: ConfigurationComponent
    members: MembershipComponent
    ownership: OwnershipAdapter
    ownership_sync: OwnershipSync
    call_coordinator: CallCoordinator
    cursors: dict[LogStream, StreamCursor]
    state_changes: PendingStateChanges


class LogStreams:
    """Dispatches the reads and appends of one node by stream.

    ``append_streams`` has the stream of each append in flight, by operation
    id.
    """

    def __init__(self, components: CoreComponents) -> None:
        """Dispatch to ``components``."""
        self.configuration = components.configuration
        self.members = components.members
        self.ownership = components.ownership
        self.ownership_sync = components.ownership_sync
        self.dedupe = components.call_coordinator.dedupe
        self.suspects = (
            components.call_coordinator.gate_service.suspects.suspects
        )
        self.cursors = components.cursors
        self.append_streams: dict[str, LogStream] = {}
        self.codec = create_log_codec()

    def tick(self, now: float) -> Iterable[StreamOutput]:
        """Return the reads that are due."""
        for cursor in self.cursors.values():
            yield from cursor.tick(now)

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[StreamOutput]:
        """Apply the result of a read and return the next read."""
        stream = read_result.request.stream
        cursor = self.cursors[stream]
        cursor.handle_read_result(read_result, now)
        if stream is LogStream.OWNERSHIP:
            self.ownership_sync.handle_read_result(read_result)
        outputs = self.apply_page(stream, read_result, now)
        return [*outputs, *cursor.tick(now)]

    def record_append(self, effect: AppendToLog) -> None:
        """Remember the stream of an append until its result arrives."""
        self.append_streams[effect.operation_id] = effect.stream

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> Iterable[StreamOutput]:
        """Pass the result of an append to its component."""
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
        """Pass the records of one page to the stream's component."""
        if isinstance(read_result, StreamExpired):
            return self.handle_lost_records(stream, now)
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
                self.apply_suspects(records, now)
        return ()

    def apply_suspects(
        self,
        records: Iterable[tuple[int, object]],
        now: float,
    ) -> None:
        """Pass records about crash suspects to their component."""
        for _, record in records:
            if isinstance(record, SUSPECT_RECORDS):
                self.suspects.handle_record(record, now)

    def handle_lost_records(
        self, stream: LogStream, now: float
    ) -> Iterable[StreamOutput]:
        """Continue after the log deleted records before they were read.

        Only the dedupe component has to be told: its memory may lack the ids
        of those records.
        """
        if stream is LogStream.STARTED:
            self.dedupe.record_started_gap(now)
        return ()

    def decode_record(self, payload: bytes) -> object:
        """Decode a record; a malformed one becomes None and is ignored."""
        try:
            decoded: object = self.codec.decode(payload)
        except MalformedMessage:
            return None
        return decoded
