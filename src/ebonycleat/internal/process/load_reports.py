"""The load of a gate as it travels between nodes."""

import itertools

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.gate_events import GateLoad
from ebonycleat.internal.process.pressure import ServiceShares

MILLISECONDS_PER_S = 1000
THOUSANDTHS = 1000


def write_load(load: GateLoad) -> LoadReport:
    """The load of a gate as other nodes get it."""
    return LoadReport(
        load.queued,
        load.running,
        load.limit,
        int(load.latency_s * MILLISECONDS_PER_S),
        load.admission_level,
        load.draining,
        tuple(
            (
                full.service,
                int(full.direct * THOUSANDTHS),
                int(full.called * THOUSANDTHS),
            )
            for full in load.shares
        ),
        tuple(int(full.calls * THOUSANDTHS) for full in load.shares),
    )


def read_load(report: LoadReport) -> GateLoad:
    """The load of another node's gate."""
    return GateLoad(
        report.queued,
        report.running,
        report.limit,
        report.latency_ms / MILLISECONDS_PER_S,
        report.level,
        report.is_draining,
        tuple(
            ServiceShares(
                name,
                direct / THOUSANDTHS,
                called / THOUSANDTHS,
                cost / THOUSANDTHS,
            )
            for (name, direct, called), cost in zip(
                report.shares,
                # Reports of an older version have no costs.
                report.costs or itertools.repeat(THOUSANDTHS),
                strict=False,
            )
        ),
    )
