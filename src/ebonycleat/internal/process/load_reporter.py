"""Reports the load of a gate with each result.

Many results carry the same load, so it is measured and encoded at most once
per ``LOAD_CACHE_S``.
"""

from collections.abc import Callable, Iterable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.backpressure import (
    AdmissibleShares,
    GateBackpressure,
)
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.load_codec import encode_load
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.placement.target_load import (
    TargetLoadTracker,
)

SharesSource: TypeAlias = Callable[[str], Iterable[AdmissibleShares]]

LOAD_CACHE_S = 0.005
"""Seconds for which a measured load is reported again. It is a tenth of the
shortest service times, and receivers count the calls that they send in the
meantime."""

MAX_ROUTES = 1024
"""Limit of routes whose load is cached. A fleet has fewer; more names could
come only from a faulty node."""


class LoadReporter:
    """Caches the load of one gate, by route."""

    def __init__(
        self,
        gate: Gate,
        target: LocalTarget,
        backpressure: GateBackpressure,
        clock: Callable[[], float],
    ) -> None:
        """Report on ``gate`` and ``target``; ``clock`` is in seconds.

        ``backpressure`` has the gate's own shares. ``overloaded_behind_target``
        is set later to a function of the entry, which observes the calls of
        the target.
        """
        self.gate = gate
        self.target = target
        self.target_load = TargetLoadTracker()
        self.backpressure = backpressure
        self.clock = clock
        self.overloaded_behind_target: SharesSource = no_overloaded_services
        self.loads: dict[str, GateLoad] = {}
        self.reports: dict[str, LoadReport] = {}
        self.refreshed_at = clock()

    def load_for_route(self, route: str) -> GateLoad:
        """Return the load to report with results on a route."""
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
        """Return the same load, encoded for other nodes."""
        load = self.load_for_route(route)
        report = self.reports.get(route)
        if report is None:
            report = encode_load(load)
            if len(self.reports) < MAX_ROUTES:
                self.reports[route] = report
        return report

    def invalidate(self) -> None:
        """Drop cached loads: they are too old, or the target has changed."""
        self.loads = {}
        self.reports = {}

    def measure(self, route: str, now: float) -> GateLoad:
        """Measure the present load, and add the overloaded services.

        Calls at the target that this gate has not sent count as running.
        """
        load = self.gate.current_load(now)
        target_load = self.target_load
        return msgspec.structs.replace(
            load,
            running=load.running + target_load.other_calls_at(now),
            pace=target_load.pace_at(now),
            service_s=target_load.service_s(route),
            draining=load.draining or self.target.is_leaving,
            shares=self.overloaded_services(route),
        )

    def overloaded_services(self, route: str) -> tuple[AdmissibleShares, ...]:
        """Return the overloaded services that a route reaches from here.

        The gate's own service comes first if it is overloaded. It is not
        reported as behind itself: the figure would be multiplied each time
        that it comes back.
        """
        service = self.target.service
        own = self.backpressure.published_shares(service)
        behind = tuple(
            shares
            for shares in self.overloaded_behind_target(route)
            if shares.service != service
        )
        return behind if own is None else (own, *behind)


def no_overloaded_services(route: str) -> tuple[()]:
    """Return no services: the default of ``overloaded_behind_target``."""
    return ()
