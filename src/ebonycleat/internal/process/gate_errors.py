"""Ends calls whose handling at the gate failed with an unexpected error.

Such a call must not keep its slot, and its caller gets one result: not run, if
it was not sent to the target.
"""

import typing

from ebonycleat.internal.connection.client_requests import SendResult
from ebonycleat.internal.connection.contained_errors import (
    call_contained,
    record_contained_error,
)
from ebonycleat.internal.process.gate_decisions import GateDecision
from ebonycleat.internal.process.run_outcome import RunOutcome, RunResult
from ebonycleat.internal.request.call import Call, RefusedCall
from ebonycleat.internal.request.refusal import (
    Reason,
    refuse_not_run,
    refuse_outcome_unknown,
)

if typing.TYPE_CHECKING:
    from ebonycleat.internal.process.mesh_gate import MeshGate

RETRY_AFTER_S = 0.3

NOT_SENT_REFUSAL = refuse_not_run(
    Reason.NODE_FAILED,
    'the node of the target failed before the request was sent',
    retry_after_s=RETRY_AFTER_S,
)
SENT_REFUSAL = refuse_outcome_unknown(
    Reason.NODE_FAILED,
    'the node of the target failed after the request was sent',
)


def end_offered(mesh_gate: 'MeshGate', call: Call, error: Exception) -> None:
    """End a call on which the gate could not decide.

    It goes on if it waits in the queue nevertheless.
    """
    record_contained_error('offer of a call', error)
    if call.call_id not in mesh_gate.gate.queue:
        end_call(mesh_gate, call)


def end_decided(
    mesh_gate: 'MeshGate', decision: GateDecision, error: Exception
) -> None:
    """End the call of a decision that could not be carried out."""
    record_contained_error('decision of a gate', error)
    end_call(mesh_gate, decision.call)


def handle_result(
    mesh_gate: 'MeshGate', call: Call, result: SendResult
) -> None:
    """Pass the result of a request to the gate; end its call on an error."""
    if not call_contained(
        'result of a target', mesh_gate.send_finished, call, result
    ):
        end_call(mesh_gate, call)


def end_call(mesh_gate: 'MeshGate', call: Call) -> None:
    """Free the slot of a call and report that it failed."""
    if call.call_id in mesh_gate.gate.running:
        outcome = RunOutcome(RunResult.FAILED)
        call_contained('slot of a call', mesh_gate.end_run, call, outcome)
    pending_call = mesh_gate.pending_calls.get(call.call_id)
    if pending_call is None:
        return
    refusal = SENT_REFUSAL if pending_call.sent_at else NOT_SENT_REFUSAL
    call_contained(
        'result of a call',
        mesh_gate.resolve,
        call.call_id,
        RefusedCall(call.call_id, refusal),
    )
