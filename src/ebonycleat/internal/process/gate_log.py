"""Log lines about the decisions of a gate and the results of its calls."""

from ebonycleat.internal.connection.client_requests import SendFailure
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.gate import Gate
from ebonycleat.internal.process.gate_calls import PendingCall
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


def log_long_queue(
    log: EventLog, gate: Gate, call: Call, refusal: Refusal, now: float
) -> None:
    """Log that a call found no room in the queue, or would wait too long."""
    log.write_limited(
        'call refused: the queue is too long',
        request=call.root_id,
        route=call.route,
        team=call.team,
        queued=len(gate.queue),
        late=len(gate.queue.late_ids),
        time_left_s=round(call.deadline - now, 3),
        detail=refusal.detail,
        retry_after_s=round(refusal.retry_after_s, 3),
    )


def log_failed_run(
    log: EventLog,
    gate: Gate,
    pending_call: PendingCall,
    failure: SendFailure,
    now: float,
) -> None:
    """Log why a run has no complete answer."""
    incarnation = pending_call.incarnation
    log.write_limited(
        'target sent no complete response',
        request=pending_call.gate_call.request_id,
        route=pending_call.gate_call.call.route,
        instance='' if incarnation is None else incarnation.instance,
        kind=failure.kind.value,
        was_sent=failure.was_sent,
        detail=failure.detail,
        running=len(gate.running),
        running_when_sent=pending_call.running_when_sent,
        sent_s_ago=round(now - pending_call.sent_at, 3),
        limit=gate.limit.allowed_calls(now),
    )
