"""Measures membership messages and bytes per node and second, for two sizes.

At the larger size one zone of 548 nodes is simulated completely. Of each other
zone only 20 nodes are announced, and its summaries are delivered once a
second. By symmetry, the traffic to other zones equals the traffic from them.
"""

import argparse
import collections
import dataclasses
import json
import random
import sys

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.effects import Effect, SendToPeer
from ebonycleat.internal.process.heartbeat_hubs import Hubs
from ebonycleat.internal.process.membership import Membership
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
    MemberHeartbeat,
    MemberNews,
    MembersAsk,
    MemberState,
    MembersTold,
    Subscribe,
    ZoneSummary,
)

# TCP, IP and WebSocket headers of a message that is sent in its own packet.
OVERHEAD_BYTES = 60

TICKS_PER_S = 10

TODAY_ZONES = 3

# A service has members in three of the 31 zones: z0 and these two.
OTHER_ZONES_OF_A_SERVICE = ('z1', 'z2')

CODEC = create_codec(
    MemberHeartbeat,
    HubDigest,
    Subscribe,
    MembersAsk,
    MembersTold,
    MemberNews,
)


@dataclasses.dataclass(frozen=True)
class Size:
    """One size of the fleet, as far as it is simulated.

    ``calls`` is the number of services that each node calls.
    """

    name: str
    zones: int
    services: int
    nodes_by_zone: int
    nodes_by_other_zone: int
    calls: int


SIZES = (
    Size('today', 3, 4, 4, 5, 3),
    Size('in two years', 31, 232, 548, 20, 5),
)


class Fleet:
    """The simulated nodes and counters of the traffic between them."""

    def __init__(self, size: Size, rng: random.Random) -> None:
        """Announce all nodes to all simulated nodes."""
        self.size = size
        self.sent_kinds: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.received_bytes: collections.Counter[str] = collections.Counter()
        records = [
            record
            for zone in range(size.zones)
            for record in _zone_records(zone, size)
        ]
        self.services = sorted({record.service for record in records})
        self.nodes: dict[str, Membership] = {}
        shared_hubs: dict[tuple[str, str], Hubs] = {}
        for record in records:
            if record.zone == 'z0' or size.zones == TODAY_ZONES:
                calls = tuple(rng.sample(self.services, size.calls))
                member = Membership(record, calls)
                self.nodes[record.node] = member
                for other in records:
                    member.apply_announcement(other)
                member.log_reached_end(0)
                # All nodes have the same view here, so they share the choice of hubs.
                member.table.zone_versions.clear()
                member.heartbeats.hub_assignment.hubs = shared_hubs

    def run(self, seconds: int) -> None:
        """Simulate some seconds; messages arrive at the next tick."""
        messages: list[SendToPeer] = []
        for tick in range(seconds * TICKS_PER_S):
            now = tick / TICKS_PER_S
            next_messages: list[SendToPeer] = []
            for message in messages:
                receiver = self.nodes.get(message.node)
                if receiver is not None:
                    size = len(CODEC.encode(message.message))
                    self.received[message.node] += 1
                    self.received_bytes[message.node] += size
                    receiver.handle_message(message.message, now)
            for name, member in self.nodes.items():
                next_messages.extend(self._count_sent(name, member.tick(now)))
            if tick % TICKS_PER_S == 0 and self.size.zones > TODAY_ZONES:
                next_messages.extend(self._create_zone_digests())
            messages = next_messages

    def report(self, seconds: int) -> dict[str, object]:
        """Return the report, with rates per node and second."""
        count = len(self.nodes)
        rate = 1 / seconds / count
        return {
            'size': self.size.name,
            'nodes_run': count,
            'sent_messages': sum(self.sent.values()) * rate,
            'sent_bytes': sum(self.sent_bytes.values()) * rate,
            'received_messages': sum(self.received.values()) * rate,
            'received_bytes': sum(self.received_bytes.values()) * rate,
            'busiest_sender_bytes': max(
                size + OVERHEAD_BYTES * self.sent[name]
                for name, size in self.sent_bytes.items()
            )
            / seconds,
            'both_with_overhead_bytes': (
                sum(self.sent_bytes.values())
                + sum(self.received_bytes.values())
                + OVERHEAD_BYTES
                * (sum(self.sent.values()) + sum(self.received.values()))
            )
            * rate,
            'kinds_sent': {
                kind: number * rate for kind, number in self.sent_kinds.items()
            },
        }

    def _count_sent(self, name: str, effects: list[Effect]) -> list[SendToPeer]:
        sent = [item for item in effects if isinstance(item, SendToPeer)]
        for effect in sent:
            self.sent_kinds[type(effect.message).__name__] += 1
            self.sent[name] += 1
            self.sent_bytes[name] += len(CODEC.encode(effect.message))
        return sent

    def _create_zone_digests(self) -> list[SendToPeer]:
        any_node = next(iter(self.nodes.values()))
        hub_assignment = any_node.heartbeats.hub_assignment
        return [
            SendToPeer(
                hub,
                HubDigest('x', (), _summaries(service)),
            )
            for service in self.services
            for hub in hub_assignment.hubs_of(service, 'z0')
        ]


def _zone_records(zone: int, size: Size) -> list[Announcement]:
    count = size.nodes_by_other_zone if zone else size.nodes_by_zone
    return [
        Announcement(
            node=f'vm-{zone:02d}-{index:04d}',
            incarnation=1,
            zone=f'z{zone}',
            service=f'service-{index % size.services:04d}',
            peer_address=f'10.{zone}.{index // 256}.{index % 256}:7400',
            slots=45,
            state=MemberState.UP,
        )
        for index in range(count)
    ]


def _summaries(service: str) -> tuple[ZoneSummary, ...]:
    sample = ('vm-01-0001', 'vm-01-0002', 'vm-01-0003')
    return tuple(
        ZoneSummary(zone, service, 3, 1 / 2, sample)
        for zone in OTHER_ZONES_OF_A_SERVICE
    )


def main() -> int:
    """Measure both sizes and print a JSON report for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=int, default=10)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    for size in SIZES:
        fleet = Fleet(size, random.Random(options.seed))
        fleet.run(options.seconds)
        report = {'seed': options.seed, **fleet.report(options.seconds)}
        json.dump(report, sys.stdout, indent=1)
        sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
