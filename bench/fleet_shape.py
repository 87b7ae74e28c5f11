"""The nodes, zones and intervals of a simulated fleet."""

import dataclasses

SERVICE = 'payment'

# The rate and burst of each team, by zone and team.
ZoneShares = dict[str, dict[str, tuple[float, float]]]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Nodes, sizes and intervals of a fleet.

    ``tick_s`` is the interval of the ownership engines; grant holders tick
    when they ask for it.
    """

    zone_of: dict[str, str]
    slots_per_scope: int
    tick_s: float = 0.1
    log_poll_s: float = 0.25
    service_of: dict[str, str] = dataclasses.field(default_factory=dict)
    clock_spread: float = 0

    def services_at(self, node: str) -> tuple[str, ...]:
        """Return the service of a node's target, as a tuple."""
        return (self.service_of.get(node, SERVICE),)

    @property
    def zones(self) -> list[str]:
        """Return all zones in a fixed order."""
        return sorted(set(self.zone_of.values()))
