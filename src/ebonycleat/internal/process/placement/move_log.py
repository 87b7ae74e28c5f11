"""Log lines about calls that gates hand back for other targets."""

from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import Refusal


def log_handed_back(
    log: EventLog, gate: Gate, call: Call, refusal: Refusal, now: float
) -> None:
    """Log why a gate handed a call back, and what it decided by.

    ``request`` is the id that the caller gave, as in the lines of the entry.
    """
    load = gate.current_load(now)
    log.write_limited(
        'call handed back for another target',
        request=call.root_id,
        call=call.call_id,
        route=call.route,
        service=call.service,
        detail=refusal.detail,
        queued=load.queued,
        running=load.running,
        limit=load.limit,
        expected_s=round(load.latency_s, 3),
        objective_left_s=round(call.objective - now, 3),
        deadline_left_s=round(call.deadline - now, 3),
    )
