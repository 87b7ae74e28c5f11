"""Converts the load of a gate to and from load reports between mesh nodes."""

import itertools

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.backpressure import AdmissibleShares
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.target_pace import (
    USUAL_PACE,
    check_pace,
)

MILLISECONDS_PER_S = 1000
SHARE_SCALE = 1000
PACE_SCALE = 100


def encode_load(load: GateLoad) -> LoadReport:
    """Encode the load of a gate; shares become integers in thousandths."""
    return LoadReport(
        load.queued,
        load.running,
        load.limit,
        int(load.latency_s * MILLISECONDS_PER_S),
        load.admission_level,
        load.draining,
        tuple(
            (
                overloaded.service,
                int(overloaded.direct * SHARE_SCALE),
                int(overloaded.called * SHARE_SCALE),
            )
            for overloaded in load.shares
        ),
        tuple(
            int(overloaded.calls * SHARE_SCALE) for overloaded in load.shares
        ),
        round(load.pace * PACE_SCALE),
        round(load.service_s * MILLISECONDS_PER_S),
    )


def decode_load(report: LoadReport) -> GateLoad:
    """Decode the load of another node's gate."""
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
                calls / SHARE_SCALE,
            )
            for (name, direct, called), calls in zip(
                report.shares,
                # Nodes of an older version do not send the calls per request.
                report.calls_per_request or itertools.repeat(SHARE_SCALE),
                strict=False,
            )
        ),
        USUAL_PACE
        if report.pace_percent == PACE_SCALE
        else check_pace(report.pace_percent / PACE_SCALE),
        max(0, report.service_ms) / MILLISECONDS_PER_S,
    )
