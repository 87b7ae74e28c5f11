"""Simulated site: zones, services, targets and the network."""

import abc
import dataclasses
import random
from collections.abc import Callable, Mapping
from typing import TypeAlias

from bench.policy_clock import SimulatedClock
from bench.policy_targets import FakeTarget
from ebonycleat.internal.request.call import Call

ZONES = ('a', 'b', 'c')
CLIENT_DELAY_S = 0.001
SAME_ZONE_DELAY_S = 0.0001
DEAD_LINK_DETECTION_S = 1
"""Time until a node detects a dead open link (design section 7.6)."""

REFUSED_CONNECT_S = 0.005

RootCallback: TypeAlias = Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """Size of one service.

    ``service_s`` is the mean time that a target itself works on a request.
    """

    targets: int
    slots: int
    connections: int
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlacement:
    """Node, service and zone of one target."""

    node: str
    service: str
    zone: str
    target: FakeTarget


class Simulation:
    """One site on a simulated clock."""

    def __init__(
        self,
        service_sizes: Mapping[str, ServiceSize],
        zone_delay_s: float,
        seed: int,
    ) -> None:
        """Assign the targets of each service to the zones in turn."""
        self.clock = SimulatedClock()
        self.rng = random.Random(seed)
        self.service_sizes = service_sizes
        self.zone_delay_s = zone_delay_s
        self.unreachable_since: dict[str, float] = {}
        self.cut_since: dict[str, float] = {}
        self.placements: dict[str, TargetPlacement] = {}
        for service, size in service_sizes.items():
            for number in range(size.targets):
                self.add_target(service, number, size)

    def add_target(self, service: str, number: int, size: ServiceSize) -> None:
        """Create one target and assign it to a zone."""
        target = FakeTarget(self.clock, self.rng, size.slots, size.service_s)
        node = f'{service}-{number}'
        zone = ZONES[number % len(ZONES)]
        self.placements[node] = TargetPlacement(node, service, zone, target)

    def placements_of(self, service: str) -> list[TargetPlacement]:
        """List the placements of one service."""
        return [
            placement
            for placement in self.placements.values()
            if placement.service == service
        ]

    def network_delay_s(self, from_zone: str, to_zone: str) -> float:
        """One-way network delay between two zones, in seconds."""
        if from_zone == to_zone:
            return SAME_ZONE_DELAY_S
        return self.zone_delay_s

    def kill_node(self, node: str) -> None:
        """Crash a VM: its target crashes and its node becomes unreachable."""
        self.unreachable_since[node] = self.clock.now
        self.placements[node].target.kill()

    def failure_delay_s(self, from_zone: str, node: str) -> float | None:
        """Seconds until the sender notices a failure; None if sending works."""
        placement = self.placements[node]
        since = self.unreachable_since.get(node)
        if since is None and from_zone != placement.zone:
            ends = (from_zone, placement.zone)
            cut_times = [
                self.cut_since[zone] for zone in ends if zone in self.cut_since
            ]
            since = min(cut_times, default=None)
        if since is None:
            return None
        return max(
            REFUSED_CONNECT_S, since + DEAD_LINK_DETECTION_S - self.clock.now
        )


class SystemUnderTest(abc.ABC):
    """Handles the root requests of a site, with the layer or without it."""

    def __init__(self, simulation: Simulation) -> None:
        """Use the targets and the network of a simulation."""
        self.simulation = simulation

    @abc.abstractmethod
    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Send one root request from a client in ``zone``."""

    def drain(self, node: str) -> None:
        """Begin the planned stop of a target; does nothing by default."""
