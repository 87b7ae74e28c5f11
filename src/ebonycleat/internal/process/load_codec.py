"""Converts the load of a gate to and from load reports between mesh nodes.

Figures are limited on both sides. What a node computes from the reports of
others goes out again with its own, and another version of a node may send
anything that the encoding allows.
"""

import itertools

from ebonycleat.internal.connection.mesh_messages import LoadReport
from ebonycleat.internal.process.backpressure import (
    MAX_CALLS_PER_REQUEST,
    AdmissibleShares,
)
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.target_pace import (
    USUAL_PACE,
    check_pace,
)

MILLISECONDS_PER_S = 1000
SHARE_SCALE = 1000
PACE_SCALE = 100

MAX_COUNT = 1_000_000
"""Limit of counted calls and of the admission level."""

MAX_TIME_MS = 3_600_000
"""Limit of times in milliseconds: an hour, longer than any deadline."""


def limit_figure(figure: float, largest: float) -> float:
    """Return a figure between 0 and ``largest``; 0 for one that is no number."""
    return min(figure, largest) if figure > 0 else 0


def encode_load(load: GateLoad) -> LoadReport:
    """Encode the load of a gate; shares become integers in thousandths."""
    return LoadReport(
        load.queued,
        load.running,
        load.limit,
        int(limit_figure(load.latency_s * MILLISECONDS_PER_S, MAX_TIME_MS)),
        load.admission_level,
        load.draining,
        tuple(
            (
                overloaded.service,
                int(limit_figure(overloaded.direct, 1) * SHARE_SCALE),
                int(limit_figure(overloaded.called, 1) * SHARE_SCALE),
            )
            for overloaded in load.shares
        ),
        tuple(
            int(
                limit_figure(overloaded.calls, MAX_CALLS_PER_REQUEST)
                * SHARE_SCALE
            )
            for overloaded in load.shares
        ),
        round(check_pace(load.pace) * PACE_SCALE),
        round(limit_figure(load.service_s * MILLISECONDS_PER_S, MAX_TIME_MS)),
    )


def decode_load(report: LoadReport) -> GateLoad:
    """Decode the load of another node's gate."""
    return GateLoad(
        int(limit_figure(report.queued, MAX_COUNT)),
        int(limit_figure(report.running, MAX_COUNT)),
        int(limit_figure(report.limit, MAX_COUNT)),
        limit_figure(report.latency_ms, MAX_TIME_MS) / MILLISECONDS_PER_S,
        int(limit_figure(report.level, MAX_COUNT)),
        report.is_draining,
        tuple(
            AdmissibleShares(
                name,
                limit_figure(direct / SHARE_SCALE, 1),
                limit_figure(called / SHARE_SCALE, 1),
                limit_figure(calls / SHARE_SCALE, MAX_CALLS_PER_REQUEST),
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
        limit_figure(report.service_ms, MAX_TIME_MS) / MILLISECONDS_PER_S,
    )
