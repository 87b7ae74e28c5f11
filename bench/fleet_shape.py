"""Sizes of a simulated fleet."""

import dataclasses

SERVICE = 'payment'

# Rate and burst of each team in each zone.
ZoneShares = dict[str, dict[str, tuple[float, float]]]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetShape:
    """Sizes and periods; ``tick_s`` drives engines, not holders."""

    zone_of: dict[str, str]
    slots_per_scope: int
    tick_s: float = 0.1
    log_poll_s: float = 0.25
    service_of: dict[str, str] = dataclasses.field(default_factory=dict)
    clock_spread: float = 0

    def services_at(self, node: str) -> tuple[str, ...]:
        """Name the service of a node's target."""
        return (self.service_of.get(node, SERVICE),)

    @property
    def zones(self) -> list[str]:
        """All zones in a fixed order."""
        return sorted(set(self.zone_of.values()))
