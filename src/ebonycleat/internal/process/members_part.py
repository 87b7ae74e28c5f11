"""The members that a node knows, and its own announcements."""

import dataclasses
from collections.abc import Iterable

from ebonycleat.internal.connection.log_service import Stream
from ebonycleat.internal.process.announced_members import (
    AnnouncedMembers,
    Announcement,
)
from ebonycleat.internal.process.effects import (
    AppendDone,
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.process.rendezvous import Member

MEMBER_RECORDS = (Announcement,)
REPEAT_S = 1.0


class MembersPart:
    """Announces the node until the log has confirmed it."""

    def __init__(
        self,
        announcement: Announcement,
        members: AnnouncedMembers,
    ) -> None:
        """Start with this node as the only member."""
        self.announcement = announcement
        self.members = members
        self.seen: tuple[Member, ...] = ()
        self.confirmed = False
        self.announce_at: float = 0

    def take_records(
        self,
        records: Iterable[tuple[int, object]],
        now: float,
    ) -> tuple[()]:
        """Apply announcements from the log."""
        for _, record in records:
            if isinstance(record, Announcement):
                self.members.apply(record)
        return ()

    def take_changes(self, now: float) -> tuple[Member, ...] | None:
        """Return the live members once after they changed."""
        live = tuple(
            Member(known.node, known.zone, (known.service,))
            for known in self.members.by_node.values()
            if not known.leaving
        )
        if live == self.seen:
            return None
        self.seen = live
        return live

    def tick(self, now: float) -> list[AppendToLog]:
        """Announce this node until the log has confirmed it."""
        if self.confirmed or now < self.announce_at:
            return []
        self.announce_at = now + REPEAT_S
        return [self.announce()]

    def leave(self, now: float) -> list[AppendToLog]:
        """Announce that this node takes no new work."""
        self.announcement = dataclasses.replace(
            self.announcement,
            leaving=True,
        )
        self.members.apply(self.announcement)
        return [self.announce()]

    def announce(self) -> AppendToLog:
        """Make the append of the current announcement."""
        said = self.announcement
        word = 'leave' if said.leaving else 'join'
        operation_id = f'{word}-{said.node}-{said.incarnation}'
        return AppendToLog(Stream.MEMBERS, said, operation_id)

    def append_finished(
        self,
        append_result: AppendResult,
        now: float,
    ) -> None:
        """Stop announcing once the log has the record."""
        if isinstance(append_result, AppendDone):
            self.confirmed = True

    def address_of(self, node: str) -> tuple[str, int] | None:
        """Where a node listens for its peers, if that is known."""
        known = self.members.by_node.get(node)
        return None if known is None else (known.host, known.port)
