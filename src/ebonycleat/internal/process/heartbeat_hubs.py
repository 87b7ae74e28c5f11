"""Hubs that collect heartbeats and distribute them to subscribers.

If each node sent heartbeats to every other one, the traffic would grow with
the square of the number of nodes. Instead, each pair of a service and a zone
has two hubs: the nodes of the zone with the highest rendezvous hash for the
service. Nodes send heartbeats to the hubs of their service, and the hubs send
batched digests to the nodes that call it. In a small fleet every node is a hub
of every service, so heartbeats are direct.
"""

import dataclasses
from collections.abc import Iterable

import xxhash

from ebonycleat.internal.process.membership_messages import (
    HubDigest,
    MemberHeartbeat,
    MemberState,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import (
    MemberEntry,
    MemberTable,
)

HUBS_PER_SERVICE = 2

# Up to this many nodes, heartbeats are sent directly. A heartbeat has 38 bytes
# and 60 bytes of headers; with 3.3 a second to each other node, this takes
# 10 KB/s of the 26 KB/s that a node may use for control traffic.
MAX_DIRECT_NODES = 32

SUBSCRIPTION_LIFETIME_S = 15

MAX_SAMPLE_NODES = 3

MAX_REMEMBERED_HEARTBEATS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Hubs:
    """The hubs of a service in a zone, cached for one version of the zone."""

    zone_version: int
    nodes: tuple[str, ...]


class HubAssignment:
    """Assigns hubs to services and zones, from the members of a table.

    Nodes with equal tables choose the same hubs.
    """

    def __init__(self, table: MemberTable) -> None:
        """Choose among the members of ``table``."""
        self.table = table
        self.version = -1
        self.hub_candidates_by_zone: dict[str, list[str]] = {}
        self.members_by_service: dict[str, list[MemberEntry]] = {}
        # The services are keys of a dictionary, which keeps their order. The
        # order of a set would differ between runs.
        self.services_by_zone: dict[str, dict[str, None]] = {}
        self.hubs: dict[tuple[str, str], Hubs] = {}

    @property
    def is_direct(self) -> bool:
        """Whether the fleet is so small that every node is a hub."""
        return len(self.table.members) <= MAX_DIRECT_NODES

    def hubs_of(self, service: str, zone: str) -> tuple[str, ...]:
        """Return the hubs of a service in a zone, by rendezvous hash.

        In a small fleet these are all nodes.
        """
        self._refresh()
        if self.is_direct:
            return tuple(
                node
                for nodes in self.hub_candidates_by_zone.values()
                for node in nodes
            )
        version = self.table.zone_versions.get(zone, 0)
        cached = self.hubs.get((service, zone))
        if cached is None or cached.zone_version != version:
            nodes = self.hub_candidates_by_zone.get(zone, ())
            ranked = sorted(nodes, key=_RankKey(service))
            cached = Hubs(version, tuple(ranked[:HUBS_PER_SERVICE]))
            self.hubs[service, zone] = cached
        return cached.nodes

    def zones(self) -> tuple[str, ...]:
        """Return all zones with nodes that can be hubs."""
        self._refresh()
        return tuple(sorted(self.hub_candidates_by_zone))

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
        """Return the members of a service, including those that left."""
        self._refresh()
        return self.members_by_service.get(service, [])

    def _refresh(self) -> None:
        if self.version == self.table.version:
            return
        self.version = self.table.version
        self.hub_candidates_by_zone = {}
        self.members_by_service = {}
        self.services_by_zone = {}
        for node, member in sorted(self.table.members.items()):
            record = member.announcement
            by_service = self.members_by_service
            by_service.setdefault(record.service, []).append(member)
            self.services_by_zone.setdefault(record.zone, {}).setdefault(
                record.service,
            )
            is_present = member.state is not MemberState.LEFT
            if is_present and not member.is_unreachable:
                by_zone = self.hub_candidates_by_zone
                by_zone.setdefault(record.zone, []).append(node)


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A node that gets digests.

    ``sent_sequence_by_node`` has, for each node, the sequence number of that
    node's last heartbeat that was sent to the subscriber.
    """

    request: Subscribe
    expires_at: float
    sent_sequence_by_node: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class HeartbeatHub:
    """The part of a node that serves subscribers as a hub."""

    def __init__(self, node: str, zone: str, table: MemberTable) -> None:
        """Serve subscribers with the heartbeats in ``table``."""
        self.node = node
        self.zone = zone
        self.table = table
        self.subscribers: dict[str, Subscriber] = {}

    def add_subscription(self, subscription: Subscribe, now: float) -> None:
        """Add or renew a subscription, which expires without renewal."""
        expires_at = now + SUBSCRIPTION_LIFETIME_S
        subscriber = self.subscribers.get(subscription.node)
        if subscriber is None:
            subscriber = Subscriber(subscription, expires_at)
            self.subscribers[subscription.node] = subscriber
        subscriber.request = subscription
        subscriber.expires_at = expires_at
        if len(subscriber.sent_sequence_by_node) > MAX_REMEMBERED_HEARTBEATS:
            # Sending a heartbeat again is harmless: the receiver ignores it,
            # because it knows the sequence number.
            subscriber.sent_sequence_by_node.clear()

    def subscribed_services(self) -> tuple[str, ...]:
        """Return the services to which nodes of this zone subscribed."""
        return tuple(
            sorted({
                service
                for subscriber in self.subscribers.values()
                if self._is_in_own_zone(subscriber)
                for service in subscriber.request.services
            }),
        )

    def create_digests(
        self,
        hub_assignment: HubAssignment,
        summaries: Iterable[ZoneSummary],
        now: float,
    ) -> list[tuple[str, HubDigest]]:
        """Create for each subscriber a digest with what it was not sent yet.

        Expired subscribers are removed. A subscriber for which there is
        nothing new gets no digest.
        """
        digests: list[tuple[str, HubDigest]] = []
        for node, subscriber in tuple(self.subscribers.items()):
            if now >= subscriber.expires_at:
                self.subscribers.pop(node)
                continue
            heartbeats = tuple(
                self._collect_unsent_heartbeats(hub_assignment, subscriber, now)
            )
            subscribed = tuple(
                summary
                for summary in summaries
                if self._is_subscribed(subscriber, summary)
            )
            if heartbeats or subscribed:
                digests.append((
                    node,
                    HubDigest(self.node, heartbeats, subscribed),
                ))
        return digests

    def summarise(
        self,
        members: list[MemberEntry],
        zone: str,
        now: float,
    ) -> ZoneSummary | None:
        """Summarise the live members of a service in a zone.

        Returns None if there are none. ``members`` are the members of the
        service in all zones.
        """
        live = [
            member
            for member in members
            if member.announcement.zone == zone
            and self.table.is_live(member.announcement.node, now)
        ]
        if not live:
            return None
        nodes = sorted(member.announcement.node for member in live)
        calls = sum(_count_calls(member.heartbeat) for member in live)
        slots = sum(member.announcement.slots for member in live)
        return ZoneSummary(
            zone=zone,
            service=live[0].announcement.service,
            live_targets=len(live),
            load=round(calls / max(slots, 1), 3),
            sample_nodes=tuple(nodes[:MAX_SAMPLE_NODES]),
        )

    def _collect_unsent_heartbeats(
        self,
        hub_assignment: HubAssignment,
        subscriber: Subscriber,
        now: float,
    ) -> list[MemberHeartbeat]:
        heartbeats = []
        for member in self._members_in_own_zone(
            hub_assignment, subscriber.request.services
        ):
            heartbeat = member.heartbeat
            if (
                heartbeat is None
                or subscriber.sent_sequence_by_node.get(heartbeat.node)
                == heartbeat.sequence
            ):
                continue
            subscriber.sent_sequence_by_node[heartbeat.node] = (
                heartbeat.sequence
            )
            age_s = now - member.last_heard_at
            heartbeats.append(heartbeat._replace(age_s=round(age_s, 3)))
        return heartbeats

    def _is_subscribed(
        self, subscriber: Subscriber, summary: ZoneSummary
    ) -> bool:
        if summary.zone == self.zone:
            return summary.service in subscriber.request.summaries_of
        return (
            summary.service in subscriber.request.services
            and self._is_in_own_zone(subscriber)
        )

    def _is_in_own_zone(self, subscriber: Subscriber) -> bool:
        member = self.table.members.get(subscriber.request.node)
        return member is not None and member.announcement.zone == self.zone

    def _members_in_own_zone(
        self,
        hub_assignment: HubAssignment,
        services: tuple[str, ...],
    ) -> list[MemberEntry]:
        return [
            member
            for service in services
            for member in hub_assignment.members_of(service)
            if member.announcement.zone == self.zone
        ]


def _count_calls(heartbeat: MemberHeartbeat | None) -> int:
    return heartbeat.queued + heartbeat.running if heartbeat else 0


class _RankKey:
    """Sort key of nodes: rendezvous hash with a service, highest first."""

    def __init__(self, service: str) -> None:
        self.service = service

    def __call__(self, node: str) -> tuple[int, str]:
        return -xxhash.xxh64_intdigest(f'{self.service}|{node}'.encode()), node
