"""Who hears whose heartbeats, so that no traffic grows with n squared.

The hubs of (service, zone) are two nodes of the zone with the highest
rendezvous hash. Nodes send heartbeats to the hubs of their service, and the
hubs send batched digests to the nodes that call it. In a small fleet every
node is a hub of everything, which makes heartbeats direct.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from ebonycleat.internal.process.membership_messages import (
    MemberHeartbeat,
    HubDigest,
    MemberState,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import (
    MemberEntry,
    MemberTable,
)

HUBS_PER_SERVICE = 2

# Up to here direct heartbeats of 38 bytes and 60 bytes of headers, 3.3 a
# second to each other node, take 10 KB/s of the 26 KB/s for control.
MAX_DIRECT_NODES = 32

SUBSCRIPTION_LIFETIME_S = 15

SAMPLE_NODES = 3

MAX_REMEMBERED_BEATS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Hubs:
    """A choice of hubs, valid for one version of its zone."""

    zone_version: int
    nodes: tuple[str, ...]


class HubAssignment:
    """Chooses hubs from the announced members; equal views choose alike."""

    def __init__(self, table: MemberTable) -> None:
        """Choose among the members of the table."""
        self.table = table
        self.version = -1
        self.hub_nodes_by_zone: dict[str, list[str]] = {}
        self.members_by_service: dict[str, list[MemberEntry]] = {}
        # Keys of a dictionary, because sets have no order.
        self.services_by_zone: dict[str, dict[str, None]] = {}
        self.hubs: dict[tuple[str, str], Hubs] = {}

    @property
    def is_direct(self) -> bool:
        """Say if the fleet is so small that every node is a hub."""
        return len(self.table.members) <= MAX_DIRECT_NODES

    def hubs_of(self, service: str, zone: str) -> tuple[str, ...]:
        """Return the hubs of a service in a zone, best first."""
        self._refresh()
        if self.is_direct:
            return tuple(
                node
                for nodes in self.hub_nodes_by_zone.values()
                for node in nodes
            )
        version = self.table.zone_versions.get(zone, 0)
        known = self.hubs.get((service, zone))
        if known is None or known.zone_version != version:
            nodes = self.hub_nodes_by_zone.get(zone, ())
            ranked = sorted(nodes, key=_Rank(service))
            known = Hubs(version, tuple(ranked[:HUBS_PER_SERVICE]))
            self.hubs[service, zone] = known
        return known.nodes

    def zones(self) -> tuple[str, ...]:
        """Return all zones that have nodes."""
        self._refresh()
        return tuple(sorted(self.hub_nodes_by_zone))

    def services_in(self, zone: str) -> tuple[str, ...]:
        """Return the services that have members in a zone."""
        self._refresh()
        return tuple(self.services_by_zone.get(zone, ()))

    def services(self) -> tuple[str, ...]:
        """Return all services that have members."""
        self._refresh()
        return tuple(sorted(self.members_by_service))

    def zones_of(self, service: str) -> tuple[str, ...]:
        """Return the zones that have members of a service."""
        zones = {
            member.announcement.zone for member in self.members_of(service)
        }
        return tuple(sorted(zones))

    def members_of(self, service: str) -> list[MemberEntry]:
        """Return the members of a service, also those that left."""
        self._refresh()
        return self.members_by_service.get(service, [])

    def _refresh(self) -> None:
        if self.version == self.table.version:
            return
        self.version = self.table.version
        self.hub_nodes_by_zone = {}
        self.members_by_service = {}
        self.services_by_zone = {}
        for node, member in sorted(self.table.members.items()):
            record = member.announcement
            same_service = self.members_by_service
            same_service.setdefault(record.service, []).append(member)
            self.services_by_zone.setdefault(record.zone, {}).setdefault(
                record.service,
            )
            present = member.state is not MemberState.LEFT
            if present and not member.is_unreachable:
                same_zone = self.hub_nodes_by_zone
                same_zone.setdefault(record.zone, []).append(node)


@dataclasses.dataclass(slots=True)
class Subscriber:
    """One node that wants digests; ``sent`` has the beats it was sent."""

    ask: Subscribe
    expires_at: float
    sent: dict[str, int] = dataclasses.field(default_factory=dict)


class HeartbeatHub:
    """What a node does for others as a hub of some services."""

    def __init__(self, node: str, zone: str, table: MemberTable) -> None:
        """Serve subscribers from the heartbeats in the table."""
        self.node = node
        self.zone = zone
        self.table = table
        self.subscribers: dict[str, Subscriber] = {}

    def add_subscription(self, subscription: Subscribe, now: float) -> None:
        """Send digests to a node until the subscription expires."""
        expires_at = now + SUBSCRIPTION_LIFETIME_S
        subscriber = self.subscribers.get(subscription.node)
        if subscriber is None:
            subscriber = Subscriber(subscription, expires_at)
            self.subscribers[subscription.node] = subscriber
        subscriber.ask = subscription
        subscriber.expires_at = expires_at
        if len(subscriber.sent) > MAX_REMEMBERED_BEATS:
            # Beats that are sent twice are ignored, by their number.
            subscriber.sent.clear()

    def subscribed_services(self) -> tuple[str, ...]:
        """Return the services that subscribers of this zone call."""
        return tuple(
            sorted({
                service
                for subscriber in self.subscribers.values()
                if self._is_neighbour(subscriber)
                for service in subscriber.ask.services
            }),
        )

    def create_digests(
        self,
        plan: HubAssignment,
        summaries: Iterable[ZoneSummary],
        now: float,
    ) -> list[tuple[str, HubDigest]]:
        """Return what each subscriber has not been sent yet."""
        digests: list[tuple[str, HubDigest]] = []
        for node, subscriber in tuple(self.subscribers.items()):
            if now >= subscriber.expires_at:
                self.subscribers.pop(node)
                continue
            beats = tuple(self._new_beats(plan, subscriber, now))
            news = tuple(
                summary
                for summary in summaries
                if self._wants(subscriber, summary)
            )
            if beats or news:
                digests.append((node, HubDigest(self.node, beats, news)))
        return digests

    def summarise(
        self,
        members: list[MemberEntry],
        zone: str,
        now: float,
    ) -> ZoneSummary | None:
        """Sum up the live members of one service in one zone."""
        live = [
            member
            for member in members
            if member.announcement.zone == zone
            and self.table.is_live(member.announcement.node, now)
        ]
        if not live:
            return None
        nodes = sorted(member.announcement.node for member in live)
        busy = sum(_busy(member.heartbeat) for member in live)
        slots = sum(member.announcement.slots for member in live)
        return ZoneSummary(
            zone=zone,
            service=live[0].announcement.service,
            live_targets=len(live),
            load=round(busy / max(slots, 1), 3),
            sample_nodes=tuple(nodes[:SAMPLE_NODES]),
        )

    def _new_beats(
        self,
        plan: HubAssignment,
        subscriber: Subscriber,
        now: float,
    ) -> list[MemberHeartbeat]:
        beats = []
        for member in self._zone_members(plan, subscriber.ask.services):
            beat = member.heartbeat
            if beat is None or subscriber.sent.get(beat.node) == beat.sequence:
                continue
            subscriber.sent[beat.node] = beat.sequence
            age_s = now - member.last_heard_at
            beats.append(beat._replace(age_s=round(age_s, 3)))
        return beats

    def _wants(self, subscriber: Subscriber, summary: ZoneSummary) -> bool:
        if summary.zone == self.zone:
            return summary.service in subscriber.ask.summaries_of
        return (
            summary.service in subscriber.ask.services
            and self._is_neighbour(subscriber)
        )

    def _is_neighbour(self, subscriber: Subscriber) -> bool:
        member = self.table.members.get(subscriber.ask.node)
        return member is not None and member.announcement.zone == self.zone

    def _zone_members(
        self,
        plan: HubAssignment,
        services: tuple[str, ...],
    ) -> list[MemberEntry]:
        return [
            member
            for service in services
            for member in plan.members_of(service)
            if member.announcement.zone == self.zone
        ]


def _busy(beat: MemberHeartbeat | None) -> int:
    return beat.queued + beat.running if beat else 0


class _Rank:
    """Sort key: rendezvous hash of a service and a node, highest first."""

    def __init__(self, service: str) -> None:
        self.service = service

    def __call__(self, node: str) -> tuple[int, str]:
        return -xxhash.xxh64_intdigest(f'{self.service}|{node}'.encode()), node
