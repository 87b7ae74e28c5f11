"""The load of a gate as it travels between nodes."""

import itertools

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.backpressure import AdmissibleShares

MILLISECONDS_PER_S = 1000
SHARE_SCALE = 1000


def encode_load(load: GateLoad) -> LoadReport:
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
                int(full.direct * SHARE_SCALE),
                int(full.called * SHARE_SCALE),
            )
            for full in load.shares
        ),
        tuple(int(full.calls * SHARE_SCALE) for full in load.shares),
    )


def decode_load(report: LoadReport) -> GateLoad:
    """The load of another node's gate."""
    return GateLoad(
        report.queued,
        report.running,
        report.limit,
        report.latency_ms / MILLISECONDS_PER_S,
        report.level,
        report.is_draining,
        tuple(
            AdmissibleShares(
                name,
                direct / SHARE_SCALE,
                called / SHARE_SCALE,
                cost / SHARE_SCALE,
            )
            for (name, direct, called), cost in zip(
                report.shares,
                # Reports of an older version have no costs.
                report.calls_per_request or itertools.repeat(SHARE_SCALE),
                strict=False,
            )
        ),
    )
