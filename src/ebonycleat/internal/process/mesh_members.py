"""The member list of the fleet, built from the records in the store.

Each node writes one record, about itself. Records do not tell whether a node
can be reached; each node learns that by connecting to it.
"""

from collections.abc import Collection, Iterable
from typing import Annotated

import msgspec

from ebonycleat.internal.connection.addresses import (
    is_address,
    split_host_port,
)
from ebonycleat.internal.connection.platform_interfaces import (
    BEFORE_FIRST_READ,
    MAX_SLOTS,
    MAX_UNIX_TIME_MS,
    StorePosition,
)
from ebonycleat.internal.process.target_stats_table import Member, MemberState

_UnixTimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_TIME_MS)]


class MemberRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
    gc=False,
):
    """State of a node and its target, as stored under the node's address.

    ``instance`` identifies the running process of the target and is empty
    until a target has sent a heartbeat. When ``instance`` is set but
    ``has_target`` is false, that instance is leaving; a restarted node must
    not use it again, even if delayed heartbeats of it arrive.
    ``instance_started_ms`` is the instance's start in milliseconds since the
    Unix epoch. ``suspects`` has pairs of a request fingerprint and the number
    of target crashes at this node during which such a request was running.
    ``serves_callers`` is false for a node that stops together with its
    target. ``revision`` rises with each write of the record and is at least
    the Unix time in milliseconds; it is 0 in records of earlier versions.
    ``departures`` has other instances that have left, with the latest start
    that has, so that no process of the node uses them.
    """

    address: str
    zone: str
    service: str
    instance: str
    instance_started_ms: _UnixTimeMs
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    has_target: bool
    suspects: tuple[tuple[int, int], ...] = ()
    serves_callers: bool = True
    revision: _UnixTimeMs = 0
    departures: tuple[tuple[str, _UnixTimeMs], ...] = ()


MAX_REMOVED_REVISIONS = 1000
"""A copy from which the store is restored is only seconds old, so only the
latest removals have to be remembered."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRecord)


def encode_member(record: MemberRecord) -> bytes:
    """Encode a record as MessagePack for the store."""
    return _encoder.encode(record)


def decode_member(encoded: bytes) -> MemberRecord | None:
    """Decode a record; None if another writer's odd one names no member.

    Its fields may be missing, of another type or out of range.
    """
    try:
        record = _decoder.decode(encoded)
        split_host_port(record.address)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None
    return record


def is_of_member(address: str, encoded: bytes) -> bool:
    """Tell whether a record, or a removal, is of the member of its key."""
    if not encoded:
        return is_address(address)
    record = decode_member(encoded)
    return record is not None and record.address == address


def read_zone(encoded: bytes) -> str:
    """Return the zone of an encoded record, '' if it cannot be decoded."""
    record = decode_member(encoded)
    return '' if record is None else record.zone


def read_revision(encoded: bytes) -> int:
    """Return the revision of an encoded record, 0 if it has none."""
    record = decode_member(encoded)
    return 0 if record is None else record.revision


class MeshMembers:
    """The member list up to a position in the store's change log.

    Of two records of one member the one with the higher revision counts, also
    if a restored store holds the other one or none. ``lost_changes`` has what
    such a store lacks: the newest record of a member, empty if it was removed.
    ``removed_revisions`` has the last revision of members that were removed.
    """

    def __init__(self) -> None:
        """Start with an empty list."""
        self.position = BEFORE_FIRST_READ
        self.lost_changes: dict[str, bytes] = {}
        self.removed_revisions: dict[str, int] = {}
        self.encoded_by_address: dict[str, bytes] = {}
        self.record_by_address: dict[str, MemberRecord] = {}
        self.by_service: dict[str, tuple[Member, ...]] = {}
        self.by_zone: dict[str, list[str]] = {}

    @property
    def is_known(self) -> bool:
        """Whether the list was read at least once."""
        return self.position != BEFORE_FIRST_READ

    @property
    def zones(self) -> list[str]:
        """The zones that have at least one member."""
        return list(self.by_zone)

    def apply(
        self,
        offset: int,
        changes: Iterable[tuple[str, bytes]],
        *,
        is_complete: bool,
        era: int = 0,
    ) -> bool:
        """Apply changed records up to ``offset``; false if they are outdated.

        ``era`` is that of the store at the time of the read. With
        ``is_complete``, ``changes`` replaces the whole list, except for what a
        restored store has lost. An empty record means that the member was
        removed.
        """
        position = StorePosition(era, offset)
        if position < self.position:
            return False
        is_restored = self.is_known and era > self.position.era
        self.position = position
        listed = dict(changes)
        if is_complete:
            self.apply_absences(listed, is_restored=is_restored)
        for address, encoded in listed.items():
            self.apply_change(address, encoded, is_restored=is_restored)
        self.rebuild()
        return True

    def apply_change(
        self, address: str, encoded: bytes, *, is_restored: bool
    ) -> None:
        """Apply the record of one member, unless a later one is known."""
        if encoded:
            if self.is_outdated(address, encoded, is_restored=is_restored):
                known = self.encoded_by_address.get(address, b'')
                self.lost_changes[address] = known
                return
            self.encoded_by_address[address] = encoded
            self.lost_changes.pop(address, None)
        else:
            self.remove(address)

    def apply_absences(
        self, listed: Collection[str], *, is_restored: bool
    ) -> None:
        """Remove the members that a complete list lacks.

        A restored store has lost them, so they stay until they are written
        again.
        """
        known = {*self.encoded_by_address, *self.lost_changes}
        for address in known.difference(listed):
            encoded = self.encoded_by_address.get(address, b'')
            if encoded and is_restored:
                self.lost_changes[address] = encoded
            elif not encoded or address not in self.lost_changes:
                self.remove(address)

    def is_outdated(
        self, address: str, encoded: bytes, *, is_restored: bool
    ) -> bool:
        """Tell whether a later state of the member is known.

        Records without a revision count in the order of the log, unless the
        store has just been restored.
        """
        revision = read_revision(encoded)
        if not revision and not is_restored:
            return False
        known = self.encoded_by_address.get(address)
        if known is not None:
            return revision < read_revision(known)
        return revision <= self.removed_revisions.get(address, -1)

    def remove(self, address: str) -> None:
        """Remove a member and remember its last revision."""
        self.lost_changes.pop(address, None)
        encoded = self.encoded_by_address.pop(address, None)
        if encoded is None:
            return
        self.removed_revisions.pop(address, None)
        self.removed_revisions[address] = read_revision(encoded)
        if len(self.removed_revisions) > MAX_REMOVED_REVISIONS:
            self.removed_revisions.pop(next(iter(self.removed_revisions)))

    def find_stored_record(self, address: str) -> bytes:
        """Return what the store holds of a member, as far as is known.

        Empty bytes mean that the store has no record, or only an older one.
        """
        if address in self.lost_changes:
            return b''
        return self.encoded_by_address.get(address, b'')

    def position_in_era(self, offset: int, era: int | None) -> StorePosition:
        """Return a position that a peer named, maybe without its era.

        Then it is taken for one of the era that this node knows.
        """
        if era is None:
            era = max(0, self.position.era)
        return StorePosition(era, offset)

    def rebuild(self) -> None:
        """Decode all records and group them by zone and service.

        A record that cannot be decoded or that names another address than
        its key is left out.
        """
        self.record_by_address = {}
        self.by_zone = {}
        services: dict[str, list[Member]] = {}
        for address, encoded in sorted(self.encoded_by_address.items()):
            record = decode_member(encoded)
            if record is None or record.address != address:
                continue
            self.record_by_address[address] = record
            self.by_zone.setdefault(record.zone, []).append(address)
            if record.has_target:
                member = Member(
                    address,
                    record.zone,
                    MemberState.UP,
                    service=record.service,
                )
                services.setdefault(record.service, []).append(member)
        self.by_service = {
            service: tuple(members) for service, members in services.items()
        }

    def members_of(self, service: str) -> tuple[Member, ...]:
        """Return the nodes that have a target of the service."""
        return self.by_service.get(service, ())

    def count_serving_nodes(self) -> int:
        """Count the nodes that serve callers."""
        return sum(
            record.serves_callers for record in self.record_by_address.values()
        )

    def list_addresses(self, zone: str) -> list[str]:
        """Return the addresses of a zone's nodes, sorted.

        All nodes with the same records get the same order, which decides
        who leads the zone.
        """
        return self.by_zone.get(zone, [])
