"""One simulated VM: its clock, its pauses and its crashes."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bench.fleet_shape import ZoneShares
from ebonycleat.internal.process.ownership import SlotId
from ebonycleat.internal.process.rendezvous import find_budget_slot

if TYPE_CHECKING:
    from bench.fleet import Fleet

# Work that was held up by a pause runs in any order within this time.
WAKING_S = 0.01


class FleetVm:
    """A VM; a restart replaces everything but its name."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        """Create the VM; ``start`` starts its node."""
        self.fleet = fleet
        self.name = name
        self.zone = fleet.shape.zone_of[name]
        spread = fleet.shape.clock_spread
        self.clock_rate = 1 + fleet.rng.uniform(-spread, spread)
        self.clock_offset = fleet.rng.uniform(0, 1000) if spread else 0
        self.incarnation = 0
        self.alive = False
        self.paused_until: float = 0
        self.zone_shares: ZoneShares = fleet.zone_shares
        self.suspects: set[str] = set()

    def now(self) -> float:
        """Return this VM's monotonic time."""
        return self.clock_offset + self.fleet.clock.now * self.clock_rate

    def slot_of(self, team: str) -> SlotId:
        """Name a team's slot in this zone."""
        return find_budget_slot(
            self.zone, team, self.fleet.shape.slots_per_scope
        )

    def zone_share_of(self, team: str) -> tuple[float, float]:
        """Return a team's part of this zone as this node knows it."""
        return self.zone_shares[self.zone].get(team, (0, 0))

    def crash(self) -> None:
        """Lose everything; events of this incarnation no longer run."""
        self.alive = False
        self.incarnation += 1

    def later(
        self,
        delay_s: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Run an action on this VM unless the node has died by then."""
        self.fleet.clock.call_later(
            delay_s,
            self.run,
            self.incarnation,
            action,
            *args,
        )

    def run(
        self,
        incarnation: int,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Run an action now, or when a pause is over."""
        if not self.alive or incarnation != self.incarnation:
            return
        if self.fleet.clock.now < self.paused_until:
            self.fleet.clock.call_at(
                self.paused_until + self.fleet.rng.random() * WAKING_S,
                self.run,
                incarnation,
                action,
                *args,
            )
            return
        action(*args)
