"""What an entry makes of the refusals of other nodes' gates."""

import pytest

from ebonycleat import Outcome, Reason
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    LoadReport,
)
from ebonycleat.internal.process.mesh_gate_client import (
    LocalNode,
    RemoteAttempt,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from tests.mesh_fakes import SERVICE, ManualClock, create_call

LOAD = LoadReport(0, 0, 4, 10, 1280, is_draining=False)


def refused_by_a_gate(reason, *, has_not_run=True):
    clock = ManualClock()
    call = create_call(clock)
    results = []
    attempt = RemoteAttempt(
        AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline),
        LocalNode('here:1', SERVICE),
        results.append,
    )
    attempt.handle_reply(CallRefusal(1, reason, has_not_run, 200, LOAD))
    return results[0].result.refusal


def test_a_gate_that_does_not_know_a_key_does_not_make_the_caller_unknown():
    """Guards against a gate with an older version than the entry's.

    On a day with stores out of reach (hunt-f8be-7) a gate still had the
    version from before a team was added, and its refusal became a 401.
    """
    refusal = refused_by_a_gate(Reason.WITHDRAWN_KEY.value)
    assert refusal.reason is Reason.STALE_CONFIGURATION
    assert refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('has_not_run', [True, False])
def test_the_promise_of_a_gate_is_passed_on_as_it_was_made(has_not_run):
    """Guards against 'not run' that nobody promised."""
    refusal = refused_by_a_gate('shed', has_not_run=has_not_run)
    assert (refusal.outcome is Outcome.NOT_RUN) is has_not_run


def test_a_reason_of_a_newer_node_is_understood_as_a_failure():
    """Guards against a node that fails on a word it does not know."""
    assert refused_by_a_gate('new-word').reason is Reason.TARGET_FAILED
