"""Applies pages of the configuration stream in sequence.

A page that begins past the next wanted record is not applied, so a view
never skips a record, and records behind the view are passed over, so it
never goes back.
"""

from typing import Final

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.process.configuration_relay import ConfigurationPage
from ebonycleat.internal.version.configuration_fold import create_fold
from ebonycleat.internal.version.records import ChangeSet
from ebonycleat.internal.version.snapshot import (
    CONFIGURATION_RECORD_TYPES,
    Snapshot,
    restore_view,
)

# Begin of every encoded snapshot: a list of two, then a text of eight bytes.
# Decoding one only to pass over it would stall the loop for 0.2 s.
SNAPSHOT_PREFIX: Final = b'\x82\x68Snapshot'


class ConfigurationStream:
    """The fold of one node and its place in the stream.

    ``seek_offset`` is 0, or where the search for a snapshot goes on after
    the log has forgotten records that this node has not seen.
    """

    def __init__(self) -> None:
        """Start before the first record."""
        self.fold = create_fold()
        self.ready = False
        self.snapshot_search_offset = 0
        self.malformed_records = 0
        self.codec = create_codec(*CONFIGURATION_RECORD_TYPES)

    @property
    def next_offset(self) -> int:
        """Offset of the first record that is not in the view."""
        return self.fold.view.offset + 1

    def apply_log_page(self, offset: int, page: LogPage) -> bool:
        """Apply a page read from ``offset`` on; tell if it was in sequence."""
        wanted = self.next_offset
        is_kept = page.first_offset <= wanted or (
            bool(page.records) and page.records[0].offset <= wanted
        )
        if offset <= wanted and is_kept:
            self._apply(page.records, page.next_offset)
            self.ready = self.ready or page.at_end
            return True
        if self.snapshot_search_offset:
            self._seek_snapshot(page)
        else:
            self.search_snapshot_from(page.first_offset)
        return False

    def apply_relayed_page(self, page: ConfigurationPage) -> bool:
        """Apply a page passed on by a peer; tell if it was in sequence."""
        if page.from_offset > self.next_offset:
            return False
        self._apply(page.records, page.next_offset)
        self.ready = True
        return True

    def search_snapshot_from(self, first_offset: int) -> None:
        """Search a snapshot if the log no longer has the next record."""
        if first_offset > self.next_offset:
            self.snapshot_search_offset = first_offset

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Take over a snapshot that is ahead of the view."""
        if snapshot.offset < self.next_offset:
            return
        self.fold.view = restore_view(snapshot)
        self.ready = True
        self.snapshot_search_offset = 0

    def _apply(self, records: tuple[LogRecord, ...], next_offset: int) -> None:
        for record in records:
            if record.offset >= self.next_offset:
                self._apply_one(record)
        if next_offset > self.next_offset:
            self.fold.skip_record(next_offset - 1)
        self.snapshot_search_offset = 0

    def _apply_one(self, record: LogRecord) -> None:
        decoded = None if is_snapshot_record(record) else self._decode(record)
        if isinstance(decoded, ChangeSet):
            self.fold.apply(record.offset, decoded)
        else:
            self.fold.skip_record(record.offset)

    def _decode(self, record: LogRecord) -> ChangeSet | Snapshot | None:
        try:
            decoded: ChangeSet | Snapshot = self.codec.decode(record.payload)
        except MalformedMessage:
            self.malformed_records += 1
            return None
        return decoded

    def _seek_snapshot(self, page: LogPage) -> None:
        self.snapshot_search_offset = max(
            self.snapshot_search_offset, page.next_offset
        )
        for record in page.records:
            found = self._decode(record) if is_snapshot_record(record) else None
            # The records between the snapshot's state and its own place in
            # the log must still be there, or the view would skip them.
            if (
                isinstance(found, Snapshot)
                and page.first_offset - 1 <= found.offset < record.offset
            ):
                self.load_snapshot(found)
                return


def is_snapshot_record(record: LogRecord) -> bool:
    """Recognise a snapshot without decoding it."""
    return record.payload.startswith(SNAPSHOT_PREFIX)
