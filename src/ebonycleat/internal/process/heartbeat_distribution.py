"""Heartbeats, digests and zone summaries of one node."""

import collections
import dataclasses
from typing import TypeAlias

from ebonycleat.internal.process.effects import Effect, SendToPeer
from ebonycleat.internal.process.heartbeat_hubs import (
    HubAssignment,
    HeartbeatHub,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    MemberHeartbeat,
    HubDigest,
    Subscribe,
    ZoneSummary,
)
from ebonycleat.internal.process.membership_table import MemberTable

# Five lost summaries in a row mean that the zone is cut off.
SUMMARY_SILENT_S = 5

# A hub passes on only summaries that have just come in.
SUMMARY_RELAY_S = 2

Wanted: TypeAlias = collections.defaultdict[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """The load of this node's own target."""

    queued: int = 0
    running: int = 0
    admission_level: int = 0


class HeartbeatDistribution:
    """Decides who is told what, from the hub plan."""

    def __init__(
        self,
        own: Announcement,
        called_services: tuple[str, ...],
        table: MemberTable,
        plan: HubAssignment,
    ) -> None:
        """Send for one node; ``calls`` are the services that it calls."""
        self.node = own.node
        self.zone = own.zone
        self.service = own.service
        self.called_services = called_services
        self.table = table
        self.plan = plan
        self.hub = HeartbeatHub(own.node, own.zone, table)
        self.summaries: dict[tuple[str, str], ZoneSummary] = {}
        self.summary_received_at: dict[tuple[str, str], float] = {}
        self.heartbeats_sent = 0

    def send_heartbeat(
        self,
        own: Announcement,
        load: TargetLoad,
        now: float,
    ) -> list[Effect]:
        """Send the own heartbeat to the hubs of the own service."""
        self.heartbeats_sent += 1
        beat = MemberHeartbeat(
            node=own.node,
            incarnation=own.incarnation,
            sequence=self.heartbeats_sent,
            state=own.state,
            queued=load.queued,
            running=load.running,
            slots=own.slots,
            admission_level=load.admission_level,
        )
        self.table.apply_heartbeat(beat, now)
        hubs = self.plan.hubs_of(self.service, self.zone)
        return [SendToPeer(hub, beat) for hub in hubs if hub != self.node]

    def send_digests(self, now: float, *, with_summaries: bool) -> list[Effect]:
        """Send subscribers the heartbeats that they have not seen."""
        summaries: list[ZoneSummary] = []
        if with_summaries:
            self._summarise(now)
            summaries = [
                summary
                for key, summary in self.summaries.items()
                if now - self.summary_received_at[key] <= SUMMARY_RELAY_S
            ]
        return [
            SendToPeer(node, digest)
            for node, digest in self.hub.create_digests(
                self.plan, summaries, now
            )
        ]

    def send_subscriptions(self) -> list[Effect]:
        """Ask the hubs for the services that this node needs."""
        if self.plan.is_direct:
            return []
        beats_from: Wanted = collections.defaultdict(list)
        summaries_from: Wanted = collections.defaultdict(list)
        for service, zone in self._neighbours():
            hubs = self.plan.hubs_of(service, zone)
            for hub in hubs:
                beats_from[hub].append(service)
        wanted = {*self.hub.subscribed_services(), *self.called_services}
        for needed in sorted(wanted):
            for peer in self._peer_hubs(needed):
                summaries_from[peer].append(needed)
        return [
            SendToPeer(
                node,
                Subscribe(
                    self.node,
                    tuple(beats_from[node]),
                    tuple(summaries_from[node]),
                ),
            )
            for node in sorted({*beats_from, *summaries_from} - {self.node})
        ]

    def apply_digest(self, digest: HubDigest, now: float) -> None:
        """Take the digest of a hub."""
        for beat in digest.beats:
            self.table.apply_heartbeat(beat, now)
        for summary in digest.summaries:
            # The own zone's members are known one by one.
            if summary.zone != self.zone:
                self._store(summary, now)

    def zone_summaries(self, service: str, now: float) -> list[ZoneSummary]:
        """Return the fresh summaries of a service, one for each zone."""
        return [
            summary
            for key, summary in sorted(self.summaries.items())
            if key[0] == service
            and now - self.summary_received_at[key] <= SUMMARY_SILENT_S
        ]

    def _neighbours(self) -> list[tuple[str, str]]:
        # The own service in all zones: its nodes share its dedupe slots.
        pairs = {(service, self.zone) for service in self.called_services}
        pairs.update(
            (self.service, zone) for zone in self.plan.zones_of(self.service)
        )
        return sorted(pairs)

    def _peer_hubs(self, service: str) -> list[str]:
        # Hubs of equal rank talk to each other, not each to all.
        hubs = self.plan.hubs_of(service, self.zone)
        if self.node not in hubs:
            return []
        rank = hubs.index(self.node)
        peers = []
        for zone in self.plan.zones_of(service):
            others = self.plan.hubs_of(service, zone)
            if zone != self.zone and others:
                peers.append(others[rank % len(others)])
        return peers

    def _summarise(self, now: float) -> None:
        if self.plan.is_direct:
            for service in self.plan.services():
                for zone in self.plan.zones_of(service):
                    self._summarise_one(service, zone, now)
            return
        for own_service in self.plan.services_in(self.zone):
            if self.node in self.plan.hubs_of(own_service, self.zone):
                self._summarise_one(own_service, self.zone, now)

    def _summarise_one(self, service: str, zone: str, now: float) -> None:
        members = self.plan.members_of(service)
        summary = self.hub.summarise(members, zone, now)
        if summary is not None:
            self._store(summary, now)

    def _store(self, summary: ZoneSummary, now: float) -> None:
        key = (summary.service, summary.zone)
        self.summaries[key] = summary
        self.summary_received_at[key] = now
