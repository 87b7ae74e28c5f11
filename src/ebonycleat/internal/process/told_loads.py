"""What a gate tells of its load with each result.

The same load goes out with many results; it is looked up and encoded once in
a few milliseconds.
"""

from collections.abc import Callable, Iterable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_events import GateLoad
from ebonycleat.internal.process.load_reports import write_load
from ebonycleat.internal.process.own_target import OwnTarget
from ebonycleat.internal.process.pressure import GatePressure, ServiceShares

SharesSource: TypeAlias = Callable[[str], Iterable[ServiceShares]]

LOAD_VALID_S = 0.005
"""For so long a load is told again without looking: a tenth of the shortest
service times, and receivers count what they send in between."""

MAX_ROUTES = 1024
"""Routes whose load is kept; a fleet has fewer, other names come only from a
faulty node."""


class ToldLoads:
    """Loads of one gate by route, as told lately."""

    def __init__(
        self,
        gate: Gate,
        target: OwnTarget,
        pressure: GatePressure,
        clock: Callable[[], float],
    ) -> None:
        """Tell of ``gate`` and ``target``; ``clock`` is in seconds."""
        self.gate = gate
        self.target = target
        self.pressure = pressure
        self.clock = clock
        self.full_behind: SharesSource = nothing_behind
        self.loads: dict[str, GateLoad] = {}
        self.reports: dict[str, LoadReport] = {}
        self.looked_at = clock()

    def load(self, route: str) -> GateLoad:
        """Load to tell with each result of a route."""
        now = self.clock()
        if now - self.looked_at > LOAD_VALID_S:
            self.look_again()
            self.looked_at = now
        load = self.loads.get(route)
        if load is None:
            load = self.look(route, now)
            if len(self.loads) < MAX_ROUTES:
                self.loads[route] = load
        return load

    def report(self, route: str) -> LoadReport:
        """The same as it travels between nodes."""
        load = self.load(route)
        report = self.reports.get(route)
        if report is None:
            report = write_load(load)
            if len(self.reports) < MAX_ROUTES:
                self.reports[route] = report
        return report

    def look_again(self) -> None:
        """Forget what was told: the target's state changed, or time passed."""
        self.loads = {}
        self.reports = {}

    def look(self, route: str, now: float) -> GateLoad:
        """The load as it is now."""
        load = self.gate.load(now)
        return msgspec.structs.replace(
            load,
            draining=load.draining or self.target.is_leaving,
            shares=self.full_services(route),
        )

    def full_services(self, route: str) -> tuple[ServiceShares, ...]:
        """Full services that a route leads to, the own one among them."""
        own = self.pressure.shares(self.target.service)
        behind = self.full_behind(route)
        return tuple(behind) if own is None else (own, *behind)


def nothing_behind(route: str) -> tuple[()]:
    """No full services are known behind the target."""
    return ()
