"""Members as the log's ``members`` stream announces them."""

import dataclasses
from collections.abc import Sequence

from ebonycleat.internal.process.directory import Directory
from ebonycleat.internal.process.target_records import Member, MemberState


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A node says who it is and where its peers reach it."""

    node: str
    incarnation: int
    zone: str
    service: str
    host: str
    port: int
    slots: int
    leaving: bool = False


class AnnouncedMembers(Directory):
    """The latest announcement of each node."""

    def __init__(self) -> None:
        """Start without members."""
        self.by_node: dict[str, Announcement] = {}

    def apply(self, announcement: Announcement) -> None:
        """Take an announcement; an older incarnation's is ignored."""
        known = self.by_node.get(announcement.node)
        if known is None or known.incarnation <= announcement.incarnation:
            self.by_node[announcement.node] = announcement

    def members_of(self, service: str, now: float) -> Sequence[Member]:
        """Members of a service that are not leaving."""
        return [
            Member(known.node, known.zone, MemberState.UP)
            for known in self.by_node.values()
            if known.service == service and not known.leaving
        ]

    def zones_of(self, service: str, now: float) -> frozenset[str]:
        """Zones that have members of the service."""
        members = self.members_of(service, now)
        return frozenset(member.zone for member in members)
