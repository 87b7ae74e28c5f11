"""The member list of the fleet, built from the records in the store.

Each node writes one record, about itself. Records do not tell whether a node
can be reached; each node learns that by connecting to it.
"""

from collections.abc import Iterable

import msgspec

from ebonycleat.internal.connection.platform_interfaces import (
    BEFORE_FIRST_READ,
    StorePosition,
)
from ebonycleat.internal.process.target_stats_table import Member, MemberState


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
    target.
    """

    address: str
    zone: str
    service: str
    instance: str
    instance_started_ms: int
    slots: int
    has_target: bool
    suspects: tuple[tuple[int, int], ...] = ()
    serves_callers: bool = True


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRecord)


def encode_member(record: MemberRecord) -> bytes:
    """Encode a record as MessagePack for the store."""
    return _encoder.encode(record)


def decode_member(encoded: bytes) -> MemberRecord | None:
    """Decode a record; None if it is malformed or of an unknown format."""
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError):
        return None


class MeshMembers:
    """The member list up to a position in the store's change log."""

    def __init__(self) -> None:
        """Start with an empty list."""
        self.position = BEFORE_FIRST_READ
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
        ``is_complete``, ``changes`` replaces the whole list. An empty record
        means that the member was removed.
        """
        position = StorePosition(era, offset)
        if position < self.position:
            return False
        self.position = position
        if is_complete:
            self.encoded_by_address = {}
        for address, encoded in changes:
            if encoded:
                self.encoded_by_address[address] = encoded
            else:
                self.encoded_by_address.pop(address, None)
        self.rebuild()
        return True

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
