"""Cost of one node today and at full size, computed from measured costs.

Each line multiplies measured costs by the sizes in design section 2. Sizes
that the design does not give are assumptions, listed at ``FleetSize``.
"""

import dataclasses
import types
from collections.abc import Callable, Iterator, Mapping
from typing import TypeAlias

from bench.capacity_fit import LinearCost

# TCP, IP and websocket headers of a message that has a packet to itself.
HEADER_BYTES = 60
SECONDS_PER_DAY = 86_400
US_PER_S = 1_000_000
SLOTS_PER_SCOPE = 64
WITNESSES = 5
HEARTBEATS_PER_S = 1 / 0.3
CONTROL_TICKS_PER_S = 10
CALL_TICKS_PER_S = 50
PAGES_PER_S = 2
READERS = 2
FAN_OUT = 8
MAX_HISTOGRAMS = 1024
PRIORITY_CLASSES = 5
DAILY_CHANGES = 27_000
DAILY_RESTARTS = 1671
# Size of a line that counts only the slope: the fixed part of the measurement
# is noise there.
SLOPE_ONLY = 0
# Most request ids that a dedupe owner keeps: with an answer, and as read from
# the log. See ``DedupeLimits``.
MAX_KEPT_IDS = 200_000
MAX_READ_IDS = 500_000

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
    """Sizes of a fleet.

    ``teams``, ``keys``, ``routes`` and ``called_services`` are assumptions.
    """

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
        """Average number of nodes in a zone."""
        return self.nodes / self.zones

    @property
    def service_nodes(self) -> float:
        """Average number of nodes that run a service."""
        return self.nodes / self.services

    @property
    def slots(self) -> float:
        """Number of ownership slots in the fleet."""
        return SLOTS_PER_SCOPE * (self.zones + self.services)

    @property
    def owned_slots(self) -> float:
        """Average number of ownership slots that a node owns."""
        return self.slots / self.nodes

    @property
    def member_changes_per_s(self) -> float:
        """Membership records: start and stop of each restart, and hourly ones."""
        restarts = 2 * self.daily_restarts / SECONDS_PER_DAY
        return restarts + self.nodes / 3600

    @property
    def witnesses(self) -> float:
        """Witnesses of a node's slots, if no two slots share a witness."""
        return min(WITNESSES * self.owned_slots, self.nodes - 1)

    @property
    def links(self) -> float:
        """Open links of a node: calls and heartbeats, each in both directions."""
        calls = self.called_services * self.service_nodes
        return min(2 * (calls + self.witnesses), self.nodes - 1)

    @property
    def ping_messages_per_s(self) -> float:
        """Pings and pongs that a node sends or receives per second."""
        return 4 * HEARTBEATS_PER_S * self.links

    @property
    def heartbeat_messages_per_s(self) -> float:
        """Heartbeats and acks per second, sent or received, in both roles.

        The roles are owner and witness.
        """
        return 4 * HEARTBEATS_PER_S * self.witnesses

    @property
    def slots_per_heartbeat(self) -> float:
        """Number of slots in one heartbeat to one witness."""
        return max(WITNESSES * self.owned_slots / self.witnesses, 1)

    @property
    def ownership_records_per_s(self) -> float:
        """A release and a claim for each slot of each restarting node."""
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
    """One cost of a node; ``role`` says which nodes have that cost."""

    role: str
    resource: str
    description: str
    amount: float


def list_budget_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    """List the costs of a node in memory, processor time and traffic."""
    yield from _memory_lines(costs, fleet)
    yield from _processor_lines(costs, fleet)
    yield from _traffic_lines(costs, fleet)


def _memory_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    histograms = min(fleet.teams * PRIORITY_CLASSES, MAX_HISTOGRAMS)
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
        'started id from the log': (OWNER, MAX_READ_IDS),
        'id with a kept answer': (OWNER, MAX_KEPT_IDS),
        'promise of a witness': (OWNER, WITNESSES * fleet.owned_slots),
    }
    for name, (role, size) in sizes.items():
        used_bytes = _cost_of(costs[f'memory: {name}'], size)
        yield BudgetLine(
            role, MEMORY, f'{name} x {size:,.0f}', used_bytes / 1e6
        )


def _processor_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    for role, name, times_per_s, size in _processor_terms(fleet):
        cost = costs[f'time: {name}']
        each_us = _cost_of(cost, size) if size else cost.slope
        at_size = f' at size {size:,.0f}' if size else ''
        percent = 100 * times_per_s * each_us / US_PER_S
        description = f'{name}: {times_per_s:.3g}/s{at_size}'
        yield BudgetLine(role, PROCESSOR, description, percent)


def _processor_terms(
    fleet: FleetSize,
) -> list[tuple[str, str, float, float]]:
    """Role, name, times per second and size of each processor cost."""
    changes = DAILY_CHANGES / SECONDS_PER_DAY
    lookups = CONTROL_TICKS_PER_S * fleet.called_services
    control_ticks = CONTROL_TICKS_PER_S
    member_changes = fleet.member_changes_per_s
    received = fleet.heartbeat_messages_per_s / 4
    per_message = 'send or receive a ping'
    return [
        (EVERY_NODE, 'node: fast tick', CALL_TICKS_PER_S, SLOPE_ONLY),
        (EVERY_NODE, 'node: slow tick', control_ticks, fleet.nodes),
        (EVERY_NODE, 'node: membership change', member_changes, fleet.nodes),
        (EVERY_NODE, per_message, fleet.ping_messages_per_s, SLOPE_ONLY),
        (EVERY_NODE, 'fold a record', changes, SLOPE_ONLY),
        (INGRESS, 'ingress: members of a service', lookups, fleet.nodes),
        (OWNER, 'owner: tick with 9 slots', control_ticks, fleet.zone_nodes),
        (
            OWNER,
            'witness: hear a heartbeat',
            received,
            fleet.slots_per_heartbeat,
        ),
        (OWNER, per_message, fleet.heartbeat_messages_per_s, SLOPE_ONLY),
    ]


def _traffic_lines(costs: Costs, fleet: FleetSize) -> Iterator[BudgetLine]:
    heartbeat = _message_bytes(costs, 'Heartbeat', fleet.slots_per_heartbeat)
    ack = _message_bytes(costs, 'HeartbeatAck', 0)
    half = fleet.heartbeat_messages_per_s / 2
    yield _traffic(OWNER, 'heartbeats and acks', half * (heartbeat + ack))
    ping = fleet.ping_messages_per_s * _message_bytes(costs, 'Ping', 1)
    yield _traffic(EVERY_NODE, f'pings on {fleet.links:.0f} links', ping)
    yield from _configuration_lines(costs)
    members = fleet.member_changes_per_s * _message_bytes(
        costs,
        'record Announcement',
        1,
    )
    yield _traffic(EVERY_NODE, 'members stream', members)
    claims = fleet.ownership_records_per_s * _message_bytes(
        costs,
        'record Claim',
        1,
    )
    yield _traffic(EVERY_NODE, 'ownership stream', claims)


def _configuration_lines(costs: Costs) -> Iterator[BudgetLine]:
    records = DAILY_CHANGES / SECONDS_PER_DAY / PAGES_PER_S
    page = _message_bytes(costs, 'ConfigurationPage', records)
    # Each relay tree has about as many edges as nodes, so on average a node
    # sends one page for each page that it receives.
    pages = READERS * PAGES_PER_S * page
    yield _traffic(EVERY_NODE, 'configuration pages', 2 * pages)
    root = 'configuration pages of a root, in addition'
    yield _traffic(ZONE_READER, root, FAN_OUT * pages / READERS)


def _traffic(role: str, description: str, bytes_per_s: float) -> BudgetLine:
    return BudgetLine(role, TRAFFIC, description, bytes_per_s / 1000)


def _message_bytes(costs: Costs, name: str, size: float) -> float:
    return _cost_of(costs[f'bytes: {name}'], size) + HEADER_BYTES


def _cost_of(cost: LinearCost, size: float) -> float:
    """Cost at a size; a negative fixed part is noise and counts as 0."""
    return max(cost.intercept, 0) + cost.slope * size


def print_budget(
    costs: Costs,
    fleet: FleetSize,
    write: Callable[[str], object],
) -> None:
    """Write one table per resource, with its limit and the sum."""
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
