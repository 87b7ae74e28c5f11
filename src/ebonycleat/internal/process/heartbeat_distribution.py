"""Sends and receives the heartbeats, digests and zone summaries of a node."""

import collections
import dataclasses
from typing import TypeAlias

from ebonycleat.internal.process.effects import Effect, SendToPeer
from ebonycleat.internal.process.heartbeat_hubs import (
    HeartbeatHub,
    HubAssignment,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import MemberTable

# A summary that was not renewed for this long is no longer used. Summaries are
# sent every 1.2 s, so about four in a row must have been lost. That means that
# the zone is partitioned from this one.
SUMMARY_TIMEOUT_S = 5

# A hub relays only summaries that it received within this time.
MAX_RELAYED_SUMMARY_AGE_S = 2

ServicesByHub: TypeAlias = collections.defaultdict[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """The load of this node's own target, as sent in heartbeats."""

    queued: int = 0
    running: int = 0
    admission_level: int = 0


class HeartbeatDistribution:
    """Decides which heartbeats and summaries this node sends to whom."""

    def __init__(
        self,
        own_announcement: Announcement,
        called_services: tuple[str, ...],
        table: MemberTable,
        hub_assignment: HubAssignment,
    ) -> None:
        """Send for the node that ``own_announcement`` announces.

        ``called_services`` are the services whose members it needs to know.
        """
        self.node = own_announcement.node
        self.zone = own_announcement.zone
        self.service = own_announcement.service
        self.called_services = called_services
        self.table = table
        self.hub_assignment = hub_assignment
        self.hub = HeartbeatHub(
            own_announcement.node, own_announcement.zone, table
        )
        self.summaries: dict[tuple[str, str], ZoneSummary] = {}
        self.summary_received_at: dict[tuple[str, str], float] = {}
        self.heartbeats_sent = 0

    def send_heartbeat(
        self,
        own_announcement: Announcement,
        load: TargetLoad,
        now: float,
    ) -> list[Effect]:
        """Create a heartbeat of this node for the hubs of its service."""
        self.heartbeats_sent += 1
        heartbeat = MemberHeartbeat(
            node=own_announcement.node,
            incarnation=own_announcement.incarnation,
            sequence=self.heartbeats_sent,
            state=own_announcement.state,
            queued=load.queued,
            running=load.running,
            slots=own_announcement.slots,
            admission_level=load.admission_level,
        )
        self.table.apply_heartbeat(heartbeat, now)
        hubs = self.hub_assignment.hubs_of(self.service, self.zone)
        return [SendToPeer(hub, heartbeat) for hub in hubs if hub != self.node]

    def send_digests(self, now: float, *, with_summaries: bool) -> list[Effect]:
        """Send subscribers the heartbeats and summaries they lack.

        Without ``with_summaries`` only heartbeats are sent.
        """
        summaries: list[ZoneSummary] = []
        if with_summaries:
            self._update_summaries(now)
            summaries = [
                summary
                for key, summary in self.summaries.items()
                if now - self.summary_received_at[key]
                <= MAX_RELAYED_SUMMARY_AGE_S
            ]
        return [
            SendToPeer(node, digest)
            for node, digest in self.hub.create_digests(
                self.hub_assignment, summaries, now
            )
        ]

    def send_subscriptions(self) -> list[Effect]:
        """Subscribe at the hubs of the services that this node needs.

        As a hub it also subscribes to the summaries of other zones, to pass
        them on. Nothing is sent while heartbeats are direct.
        """
        if self.hub_assignment.is_direct:
            return []
        heartbeats_by_hub: ServicesByHub = collections.defaultdict(list)
        summaries_by_hub: ServicesByHub = collections.defaultdict(list)
        for service, zone in self._service_zone_pairs():
            hubs = self.hub_assignment.hubs_of(service, zone)
            for hub in hubs:
                heartbeats_by_hub[hub].append(service)
        needed_services = {
            *self.hub.subscribed_services(),
            *self.called_services,
        }
        for needed_service in sorted(needed_services):
            for peer in self._hubs_of_other_zones(needed_service):
                summaries_by_hub[peer].append(needed_service)
        return [
            SendToPeer(
                node,
                Subscribe(
                    self.node,
                    tuple(heartbeats_by_hub[node]),
                    tuple(summaries_by_hub[node]),
                ),
            )
            for node in sorted(
                {*heartbeats_by_hub, *summaries_by_hub} - {self.node}
            )
        ]

    def apply_digest(self, digest: HubDigest, now: float) -> None:
        """Apply the heartbeats and summaries of a hub's digest."""
        for heartbeat in digest.beats:
            self.table.apply_heartbeat(heartbeat, now)
        for summary in digest.summaries:
            # The members of the own zone are known from their heartbeats.
            if summary.zone != self.zone:
                self._store_summary(summary, now)

    def zone_summaries(self, service: str, now: float) -> list[ZoneSummary]:
        """Return the summaries of a service that are recent, by zone."""
        return [
            summary
            for key, summary in sorted(self.summaries.items())
            if key[0] == service
            and now - self.summary_received_at[key] <= SUMMARY_TIMEOUT_S
        ]

    def _service_zone_pairs(self) -> list[tuple[str, str]]:
        # The node needs the called services in its own zone. It needs its own
        # service in all zones, because their nodes share its dedupe slots.
        pairs = {(service, self.zone) for service in self.called_services}
        pairs.update(
            (self.service, zone)
            for zone in self.hub_assignment.zones_of(self.service)
        )
        return sorted(pairs)

    def _hubs_of_other_zones(self, service: str) -> list[str]:
        # A hub subscribes to one hub of each other zone, the one of its own
        # rank, so that traffic does not grow with the square of the hubs.
        hubs = self.hub_assignment.hubs_of(service, self.zone)
        if self.node not in hubs:
            return []
        rank = hubs.index(self.node)
        peers = []
        for zone in self.hub_assignment.zones_of(service):
            others = self.hub_assignment.hubs_of(service, zone)
            if zone != self.zone and others:
                peers.append(others[rank % len(others)])
        return peers

    def _update_summaries(self, now: float) -> None:
        if self.hub_assignment.is_direct:
            for service in self.hub_assignment.services():
                for zone in self.hub_assignment.zones_of(service):
                    self._update_summary(service, zone, now)
            return
        for own_service in self.hub_assignment.services_in(self.zone):
            if self.node in self.hub_assignment.hubs_of(own_service, self.zone):
                self._update_summary(own_service, self.zone, now)

    def _update_summary(self, service: str, zone: str, now: float) -> None:
        members = self.hub_assignment.members_of(service)
        summary = self.hub.summarise(members, zone, now)
        if summary is not None:
            self._store_summary(summary, now)

    def _store_summary(self, summary: ZoneSummary, now: float) -> None:
        key = (summary.service, summary.zone)
        self.summaries[key] = summary
        self.summary_received_at[key] = now
