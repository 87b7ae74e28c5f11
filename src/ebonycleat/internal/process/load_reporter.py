"""What a gate tells of its load with each result.

The same load goes out with many results; it is looked up and encoded once in
a few milliseconds.
"""

from collections.abc import Callable, Iterable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.load_codec import encode_load
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.backpressure import (
    GateBackpressure,
    AdmissibleShares,
)

SharesSource: TypeAlias = Callable[[str], Iterable[AdmissibleShares]]

LOAD_CACHE_S = 0.005
"""For so long a load is told again without looking: a tenth of the shortest
service times, and receivers count what they send in between."""

MAX_ROUTES = 1024
"""Routes whose load is kept; a fleet has fewer, other names come only from a
faulty node."""


class LoadReporter:
    """Loads of one gate by route, as told lately."""

    def __init__(
        self,
        gate: Gate,
        target: LocalTarget,
        pressure: GateBackpressure,
        clock: Callable[[], float],
    ) -> None:
        """Tell of ``gate`` and ``target``; ``clock`` is in seconds."""
        self.gate = gate
        self.target = target
        self.pressure = pressure
        self.clock = clock
        self.overloaded_behind: SharesSource = no_overloaded_services
        self.loads: dict[str, GateLoad] = {}
        self.reports: dict[str, LoadReport] = {}
        self.refreshed_at = clock()

    def load_for_route(self, route: str) -> GateLoad:
        """Load to tell with each result of a route."""
        now = self.clock()
        if now - self.refreshed_at > LOAD_CACHE_S:
            self.invalidate()
            self.refreshed_at = now
        load = self.loads.get(route)
        if load is None:
            load = self.measure(route, now)
            if len(self.loads) < MAX_ROUTES:
                self.loads[route] = load
        return load

    def report_for_route(self, route: str) -> LoadReport:
        """The same as it travels between nodes."""
        load = self.load_for_route(route)
        report = self.reports.get(route)
        if report is None:
            report = encode_load(load)
            if len(self.reports) < MAX_ROUTES:
                self.reports[route] = report
        return report

    def invalidate(self) -> None:
        """Forget what was told: the target's state changed, or time passed."""
        self.loads = {}
        self.reports = {}

    def measure(self, route: str, now: float) -> GateLoad:
        """The load as it is now."""
        load = self.gate.current_load(now)
        return msgspec.structs.replace(
            load,
            draining=load.draining or self.target.is_leaving,
            shares=self.overloaded_services(route),
        )

    def overloaded_services(self, route: str) -> tuple[AdmissibleShares, ...]:
        """Full services that a route leads to, the own one among them."""
        own = self.pressure.published_shares(self.target.service)
        behind = self.overloaded_behind(route)
        return tuple(behind) if own is None else (own, *behind)


def no_overloaded_services(route: str) -> tuple[()]:
    """No full services are known behind the target."""
    return ()
