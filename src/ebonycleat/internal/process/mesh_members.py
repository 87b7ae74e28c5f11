"""Who serves what in the mesh, from the records that nodes keep in the store.

Each node writes one record, of itself. Whether a member can be reached is not
in it: each node finds that out by use.
"""

from collections.abc import Iterable

import msgspec

from ebonycleat.internal.process.target_stats_table import Member, MemberState


class MemberRecord(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag=1,
    gc=False,
):
    """What a node says of itself and its target.

    ``instance`` is empty while no target has announced itself. An instance
    without ``has_target`` is leaving: a node that starts again must not use
    it, whatever late heartbeats say. ``instance_started_ms`` is the time of
    day of that incarnation's start. ``suspects`` are marks of requests that
    ran when targets of this node died, with the number of deaths. A node that
    leaves with its target no longer serves callers.
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
    """The form of a record in the store."""
    return _encoder.encode(record)


def decode_member(encoded: bytes) -> MemberRecord | None:
    """Read a record; None names nobody: another writer's, or damaged."""
    try:
        return _decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError):
        return None


class MeshMembers:
    """All members that this node knows of, and how far it has followed."""

    def __init__(self) -> None:
        """Know nobody."""
        self.offset = -1
        self.encoded_by_address: dict[str, bytes] = {}
        self.record_by_address: dict[str, MemberRecord] = {}
        self.by_service: dict[str, tuple[Member, ...]] = {}
        self.by_zone: dict[str, list[str]] = {}

    @property
    def zones(self) -> list[str]:
        """All zones that have members."""
        return list(self.by_zone)

    def apply(
        self,
        offset: int,
        changes: Iterable[tuple[str, bytes]],
        *,
        is_complete: bool,
    ) -> bool:
        """Adopt records up to ``offset``; false for old news.

        An empty record says that the member has left.
        """
        if offset < self.offset:
            return False
        self.offset = offset
        if is_complete:
            self.encoded_by_address = {}
        for address, encoded in changes:
            if encoded:
                self.encoded_by_address[address] = encoded
            else:
                self.encoded_by_address.pop(address, None)
        self.rebuild()
        return True

    def rebuild(self) -> None:
        """Read all records again."""
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
                member = Member(address, record.zone, MemberState.UP)
                services.setdefault(record.service, []).append(member)
        self.by_service = {
            service: tuple(members) for service, members in services.items()
        }

    def members_of(self, service: str) -> tuple[Member, ...]:
        """Nodes whose target serves a service."""
        return self.by_service.get(service, ())

    def count_serving_nodes(self) -> int:
        """Nodes that serve callers."""
        return sum(
            one.serves_callers for one in self.record_by_address.values()
        )

    def list_addresses(self, zone: str) -> list[str]:
        """Nodes of a zone in an order that is the same everywhere."""
        return self.by_zone.get(zone, [])
