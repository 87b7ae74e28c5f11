"""Applies pages of the configuration stream in sequence.

A page that begins after the next wanted record is not applied, so the view
never skips a record. Records that the view already contains are ignored, so
it never goes back.
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

# First bytes of every encoded snapshot: a CBOR array of two elements whose
# first is the text 'Snapshot'. Decoding a snapshot only to ignore it would
# block the loop for 0.2 s.
SNAPSHOT_PREFIX: Final = b'\x82\x68Snapshot'


class ConfigurationStream:
    """The configuration of one node, folded from the stream up to an offset.

    ``snapshot_search_offset`` is 0 while records are applied in sequence.
    After the log deleted records that this node has not read, it is the
    offset from which the search for a snapshot continues. ``ready`` is set
    once the view has reached the end of the stream.
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
        """Apply a page that was read from ``offset`` on.

        Returns false if wanted records are missing before the page. Then the
        node searches for a snapshot, in this page or from the start of the
        log.
        """
        expected = self.next_offset
        is_contiguous = page.first_offset <= expected or (
            bool(page.records) and page.records[0].offset <= expected
        )
        if offset <= expected and is_contiguous:
            self._apply(page.records, page.next_offset)
            self.ready = self.ready or page.at_end
            return True
        if self.snapshot_search_offset:
            self._search_snapshot(page)
        else:
            self.search_snapshot_from(page.first_offset)
        return False

    def apply_relayed_page(self, page: ConfigurationPage) -> bool:
        """Apply a page that a peer relayed.

        Returns false if wanted records are missing before the page. A page
        that was applied makes the view complete, because only nodes with a
        complete view relay pages.
        """
        if page.from_offset > self.next_offset:
            return False
        self._apply(page.records, page.next_offset)
        self.ready = True
        return True

    def search_snapshot_from(self, first_offset: int) -> None:
        """Search for a snapshot if the log begins after the wanted record."""
        if first_offset > self.next_offset:
            self.snapshot_search_offset = first_offset

    def load_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the view by a snapshot, unless the snapshot is older."""
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

    def _search_snapshot(self, page: LogPage) -> None:
        self.snapshot_search_offset = max(
            self.snapshot_search_offset, page.next_offset
        )
        for record in page.records:
            candidate = (
                self._decode(record) if is_snapshot_record(record) else None
            )
            # A snapshot contains the records up to ``candidate.offset``, which
            # is before its own offset in the log. The log must still have the
            # records in between, or the view would skip them.
            if (
                isinstance(candidate, Snapshot)
                and page.first_offset - 1 <= candidate.offset < record.offset
            ):
                self.load_snapshot(candidate)
                return


def is_snapshot_record(record: LogRecord) -> bool:
    """Tell by its first bytes whether a record is a snapshot."""
    return record.payload.startswith(SNAPSHOT_PREFIX)
