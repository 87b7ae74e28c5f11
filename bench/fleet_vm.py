"""A simulated VM with a clock of its own, pauses and crashes."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bench.fleet_shape import ZoneShares
from ebonycleat.internal.process.ownership import SlotId
from ebonycleat.internal.process.rendezvous import find_budget_slot

if TYPE_CHECKING:
    from bench.fleet import Fleet

# Events that a pause delayed run in random order within this time after it.
RESUME_SPREAD_S = 0.01


class FleetVm:
    """A VM and its clock; a restarted node keeps only its name."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        """Create the VM; ``start`` of the subclass starts its node."""
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
        """Return the id of a team's slot in this zone."""
        return find_budget_slot(
            self.zone, team, self.fleet.shape.slots_per_scope
        )

    def zone_share_of(self, team: str) -> tuple[float, float]:
        """Return the team's share of this zone that is in force at this node."""
        return self.zone_shares[self.zone].get(team, (0, 0))

    def crash(self) -> None:
        """Stop the node; pending events of this incarnation do not run."""
        self.alive = False
        self.incarnation += 1

    def later(
        self,
        delay_s: float,
        action: Callable[..., object],
        *args: Any,
    ) -> None:
        """Run an action after a delay unless the node has crashed by then."""
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
        """Run an action now, or after the pause if the VM is paused."""
        if not self.alive or incarnation != self.incarnation:
            return
        if self.fleet.clock.now < self.paused_until:
            self.fleet.clock.call_at(
                self.paused_until + self.fleet.rng.random() * RESUME_SPREAD_S,
                self.run,
                incarnation,
                action,
                *args,
            )
            return
        action(*args)
