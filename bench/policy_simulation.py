"""Zones, services, targets and the network between them."""

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
SILENCE_S = 1
"""Design section 7.6: so long until an open link is known to be dead."""

REFUSED_CONNECT_S = 0.005

RootCallback: TypeAlias = Callable[[bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSize:
    """Targets of one service; ``service_s`` is the mean of own work."""

    targets: int
    slots: int
    connections: int
    service_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlacement:
    """Where one target runs."""

    node: str
    service: str
    zone: str
    target: FakeTarget


class Simulation:
    """One site on a paused clock."""

    def __init__(
        self,
        service_sizes: Mapping[str, ServiceSize],
        zone_delay_s: float,
        seed: int,
    ) -> None:
        """Spread the targets of each service round robin over the zones."""
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
        """Place one target."""
        target = FakeTarget(self.clock, self.rng, size.slots, size.service_s)
        node = f'{service}-{number}'
        zone = ZONES[number % len(ZONES)]
        self.placements[node] = TargetPlacement(node, service, zone, target)

    def placements_of(self, service: str) -> list[TargetPlacement]:
        """Places of one service."""
        return [
            place
            for place in self.placements.values()
            if place.service == service
        ]

    def network_delay_s(self, from_zone: str, to_zone: str) -> float:
        """One-way network delay."""
        if from_zone == to_zone:
            return SAME_ZONE_DELAY_S
        return self.zone_delay_s

    def kill_node(self, node: str) -> None:
        """Lose a VM: the target dies and the node falls silent."""
        self.unreachable_since[node] = self.clock.now
        self.placements[node].target.kill()

    def failure_delay_s(self, from_zone: str, node: str) -> float | None:
        """Seconds until a send is known to have failed; None if it works."""
        place = self.placements[node]
        since = self.unreachable_since.get(node)
        if since is None and from_zone != place.zone:
            ends = (from_zone, place.zone)
            cuts = [
                self.cut_since[zone] for zone in ends if zone in self.cut_since
            ]
            since = min(cuts, default=None)
        if since is None:
            return None
        return max(REFUSED_CONNECT_S, since + SILENCE_S - self.clock.now)


class SystemUnderTest(abc.ABC):
    """Carries root requests through a site: with the layer or without."""

    def __init__(self, simulation: Simulation) -> None:
        """Attach to a simulation."""
        self.simulation = simulation

    @abc.abstractmethod
    def send_root(
        self,
        call: Call,
        chain: tuple[str, ...],
        zone: str,
        done: RootCallback,
    ) -> None:
        """Carry one root request, which enters in ``zone``."""

    def drain(self, node: str) -> None:
        """Begin a planned stop of a target."""
