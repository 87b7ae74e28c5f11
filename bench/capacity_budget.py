"""What one node costs today and at full size, from the measured slopes.

Each line multiplies slopes with the sizes of design section 2. Numbers that
the design does not give are fields of ``FleetSize`` marked as assumptions.
"""

import dataclasses
import types
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from bench.capacity_fit import LinearCost

# Headers of TCP, IP and websocket of a message in a packet of its own.
OVERHEAD_BYTES = 60
SECONDS_PER_DAY = 86_400
US_PER_S = 1_000_000
SLOTS_PER_SCOPE = 64
WITNESSES = 5
HEARTBEATS_PER_S = 1 / 0.3
SLOW_TICKS_PER_S = 10
FAST_TICKS_PER_S = 50
PAGES_PER_S = 2
READERS = 2
FAN_OUT = 8
HISTOGRAMS_AT_MOST = 1024
CLASSES = 5
DAILY_CHANGES = 27_000
DAILY_RESTARTS = 1671
# Takes the cost of one more unit; the fixed part of such lines is noise.
PER_UNIT = 0
# Bounds of what a dedupe owner keeps, see ``DedupeLimits``.
KEPT_IDS = 200_000
READ_IDS = 500_000

MEMORY = 'memory, MB'
PROCESSOR = 'processor, % of a core'
TRAFFIC = 'traffic both ways, KB/s'
LIMITS: Mapping[str, float] = types.MappingProxyType(
    {MEMORY: 256, PROCESSOR: 1, TRAFFIC: 26},
)

EVERY_NODE = 'every node'
INGRESS = 'ingress'
OWNER = 'owner'
ZONE_READER = 'zone reader'


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """One size; teams, keys, routes and what a node calls are assumptions."""

    name: str
    nodes: int
    zones: int
    services: int
    teams: int
    keys: int
    routes: int
    called_services: int
    daily_restarts: float

    @property
    def zone_nodes(self) -> float:
        """Nodes of one zone."""
        return self.nodes / self.zones

    @property
    def service_nodes(self) -> float:
        """Nodes of one service."""
        return self.nodes / self.services

    @property
    def slots(self) -> float:
        """Ownership slots of the fleet."""
        return SLOTS_PER_SCOPE * (self.zones + self.services)

    @property
    def owned_slots(self) -> float:
        """Ownership slots of one node."""
        return self.slots / self.nodes

    @property
    def member_changes_per_s(self) -> float:
        """A start and a stop for each restart, and the hourly records."""
        restarts = 2 * self.daily_restarts / SECONDS_PER_DAY
        return restarts + self.nodes / 3600

    @property
    def witnesses(self) -> float:
        """Nodes that vouch for a node's slots, if no two slots share any."""
        return min(WITNESSES * self.owned_slots, self.nodes - 1)

    @property
    def links(self) -> float:
        """Links for calls, both ways, and for heartbeats, both ways."""
        calls = self.called_services * self.service_nodes
        return min(2 * (calls + self.witnesses), self.nodes - 1)

    @property
    def ping_messages_per_s(self) -> float:
        """Pings and pongs that a node sends or receives."""
        return 4 * HEARTBEATS_PER_S * self.links

    @property
    def heartbeat_messages_per_s(self) -> float:
        """Heartbeats and acks sent or received, as owner and as witness."""
        return 4 * HEARTBEATS_PER_S * self.witnesses

    @property
    def slots_per_heartbeat(self) -> float:
        """Slots that a heartbeat to one witness carries."""
        return max(WITNESSES * self.owned_slots / self.witnesses, 1)

    @property
    def ownership_records_per_s(self) -> float:
        """A release and a claim for each slot of a node that restarts."""
        records = 2 * self.daily_restarts * self.owned_slots
        return records / SECONDS_PER_DAY


TODAY = FleetSize('today (Lankadeep)', 13, 3, 4, 8, 40, 20, 4, 1)
FULL_SIZE = FleetSize(
    name='in two years',
    nodes=17_000,
    zones=31,
    services=2400,
    teams=500,
    keys=20_000,
    routes=5000,
    called_services=5,
    daily_restarts=DAILY_RESTARTS,
)

Costs: TypeAlias = Mapping[str, LinearCost]


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLine:
    """One cost of one node; ``role`` says which nodes have it."""

    role: str
    resource: str
    description: str
    amount: float


def list_budget_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    """All lines that the slopes support."""
    yield from _memory_lines(costs, fleet)
    yield from _processor_lines(costs, fleet)
    yield from _traffic_lines(costs, fleet)


def _memory_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    histograms = min(fleet.teams * CLASSES, HISTOGRAMS_AT_MOST)
    sizes: dict[str, tuple[str, float]] = {
        'configuration key': (EVERY_NODE, fleet.keys),
        'configuration team': (EVERY_NODE, fleet.teams),
        'configuration route': (EVERY_NODE, fleet.routes),
        'remembered change set': (EVERY_NODE, 4000),
        'announced member': (EVERY_NODE, fleet.nodes),
        'ownership fold': (EVERY_NODE, fleet.slots),
        'open link': (EVERY_NODE, fleet.links),
        'latency histogram': (INGRESS, histograms),
        'demand estimate': (INGRESS, fleet.teams),
        'record of a target': (INGRESS, fleet.links),
        'lease of an owned slot': (OWNER, fleet.owned_slots),
        'token bucket': (OWNER, fleet.teams),
        'started id from the log': (OWNER, READ_IDS),
        'id with a kept answer': (OWNER, KEPT_IDS),
        'promise of a witness': (OWNER, WITNESSES * fleet.owned_slots),
    }
    for name, (role, size) in sizes.items():
        used = _cost_of(costs[f'memory: {name}'], size)
        yield BudgetLine(role, MEMORY, f'{name} x {size:,.0f}', used / 1e6)


def _processor_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    for role, name, times, size in _processor_terms(fleet):
        found = costs[f'time: {name}']
        each_us = _cost_of(found, size) if size else found.slope
        at_size = f' at size {size:,.0f}' if size else ''
        share = 100 * times * each_us / US_PER_S
        what = f'{name}: {times:.3g}/s{at_size}'
        yield BudgetLine(role, PROCESSOR, what, share)


def _processor_terms(
    fleet: FleetSize,
) -> list[tuple[str, str, float, float]]:
    """Role, cost, times per second and size of each."""
    changes = DAILY_CHANGES / SECONDS_PER_DAY
    look_ups = SLOW_TICKS_PER_S * fleet.called_services
    ticks = SLOW_TICKS_PER_S
    news = fleet.member_changes_per_s
    heard = fleet.heartbeat_messages_per_s / 4
    carry = 'send or receive a ping'
    return [
        (EVERY_NODE, 'node: fast tick', FAST_TICKS_PER_S, PER_UNIT),
        (EVERY_NODE, 'node: slow tick', ticks, fleet.nodes),
        (EVERY_NODE, 'node: membership change', news, fleet.nodes),
        (EVERY_NODE, carry, fleet.ping_messages_per_s, PER_UNIT),
        (EVERY_NODE, 'fold a record', changes, PER_UNIT),
        (INGRESS, 'ingress: members of a service', look_ups, fleet.nodes),
        (OWNER, 'owner: tick with 9 slots', ticks, fleet.zone_nodes),
        (OWNER, 'witness: hear a heartbeat', heard, fleet.slots_per_heartbeat),
        (OWNER, carry, fleet.heartbeat_messages_per_s, PER_UNIT),
    ]


def _traffic_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    beat = _message(costs, 'Heartbeat', fleet.slots_per_heartbeat)
    ack = _message(costs, 'HeartbeatAck', 0)
    half = fleet.heartbeat_messages_per_s / 2
    yield _traffic(OWNER, 'heartbeats and acks', half * (beat + ack))
    ping = fleet.ping_messages_per_s * _message(costs, 'Ping', 1)
    yield _traffic(EVERY_NODE, f'pings on {fleet.links:.0f} links', ping)
    yield from _configuration_lines(costs)
    members = fleet.member_changes_per_s * _message(
        costs,
        'record Announcement',
        1,
    )
    yield _traffic(EVERY_NODE, 'members stream', members)
    claims = fleet.ownership_records_per_s * _message(
        costs,
        'record Claim',
        1,
    )
    yield _traffic(EVERY_NODE, 'ownership stream', claims)


def _configuration_lines(costs: Costs) -> Iterator[BudgetLine]:
    records = DAILY_CHANGES / SECONDS_PER_DAY / PAGES_PER_S
    page = _message(costs, 'ConfigurationPage', records)
    # A tree has as many edges as nodes: one page sent for each received.
    pages = READERS * PAGES_PER_S * page
    yield _traffic(EVERY_NODE, 'configuration pages', 2 * pages)
    root = 'configuration pages of a root, in addition'
    yield _traffic(ZONE_READER, root, FAN_OUT * pages / READERS)


def _traffic(role: str, what: str, bytes_per_s: float) -> BudgetLine:
    return BudgetLine(role, TRAFFIC, what, bytes_per_s / 1000)


def _message(costs: Costs, name: str, size: float) -> float:
    return _cost_of(costs[f'bytes: {name}'], size) + OVERHEAD_BYTES


def _cost_of(found: LinearCost, size: float) -> float:
    """Fixed part and slope; a small negative fixed part is noise."""
    return max(found.intercept, 0) + found.slope * size


def print_budget(
    costs: Costs,
    fleet: FleetSize,
    write: Callable[[str], object],
) -> None:
    """One table per resource, with its sum and its limit."""
    lines = list(list_budget_lines(costs, fleet))
    for resource, limit in LIMITS.items():
        write(f'\n{fleet.name}: {resource} (limit {limit:g})\n')
        total = float()
        for line in lines:
            if line.resource == resource:
                total += line.amount
                write(
                    f'{line.role:12}{line.description:60}{line.amount:12.4f}\n'
                )
        write(f'{"":12}{"all roles on one node":60}{total:12.4f}\n')
