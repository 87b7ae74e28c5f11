"""How an ingress node handles refusals by the gates of other nodes."""

import pytest

from ebonycleat import Answer, Outcome, Reason
from ebonycleat.internal.connection.mesh_frames import FrameDecoder
from ebonycleat.internal.connection.mesh_link import MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    LoadReport,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate_client import (
    LocalNode,
    RemoteAttempt,
)
from ebonycleat.internal.process.peer_calls import (
    MeshMessageRouter,
    PeerCallServer,
)
from tests.mesh_fakes import (
    SERVICE,
    ManualClock,
    RecordingTransport,
    create_call,
    create_mesh_gate,
)

LOAD = LoadReport(0, 0, 4, 10, 1280, is_draining=False)


def create_attempt(on_result, **options):
    clock = ManualClock()
    call = create_call(clock, **options)
    return RemoteAttempt(
        AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline),
        LocalNode('here:1', SERVICE),
        on_result,
    )


def receive_refusal(reason, *, has_not_run=True):
    results = []
    attempt = create_attempt(results.append)
    attempt.handle_reply(CallRefusal(1, reason, has_not_run, 200, LOAD))
    return results[0].result.refusal


def test_a_key_unknown_to_a_gate_is_refused_as_stale_configuration():
    """Guards against a gate with an older configuration than the ingress node.

    While the store was unreachable, a gate still had the version from before a
    team was added, and the caller got a 401 (test run hunt-f8be-7).
    """
    refusal = receive_refusal(Reason.WITHDRAWN_KEY.value)
    assert refusal.reason is Reason.STALE_CONFIGURATION
    assert refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('has_not_run', [True, False])
def test_the_outcome_that_a_gate_states_is_passed_on_unchanged(has_not_run):
    """Guards against "not run" that no gate has stated."""
    refusal = receive_refusal('shed', has_not_run=has_not_run)
    assert (refusal.outcome is Outcome.NOT_RUN) is has_not_run


def test_an_unknown_reason_of_a_newer_node_counts_as_a_failure():
    """Guards against a node that fails on a reason it does not know."""
    assert receive_refusal('new-word').reason is Reason.TARGET_FAILED


def test_a_request_that_a_link_cannot_encode_has_not_run():
    """Guards against requests that get no result and a link that closes."""
    results = []
    link = MeshLink(MeshMessageRouter(), ManualClock())
    link.connection_made(RecordingTransport())
    create_attempt(results.append, team='shop \ud800').send(link)
    assert results[0].result.refusal.outcome is Outcome.NOT_RUN
    assert not link.reply_handlers
    assert not link.transport.written


def test_a_request_withdrawn_before_its_link_opens_is_not_sent():
    """Guards against "not run" for a request that is sent later."""
    results = []
    link = MeshLink(MeshMessageRouter(), ManualClock())
    link.connection_made(RecordingTransport())
    attempt = create_attempt(results.append)
    attempt.withdraw()
    attempt.send(link)
    assert results[0].result.refusal.outcome is Outcome.NOT_RUN
    assert not link.transport.written
    assert len(results) == 1


def test_a_withdrawn_request_awaits_the_reply_of_the_other_node():
    """Guards against "not run" that the gate has not stated."""
    results = []
    link = MeshLink(MeshMessageRouter(), ManualClock())
    link.connection_made(RecordingTransport())
    attempt = create_attempt(results.append)
    attempt.send(link)
    attempt.withdraw()
    assert not results
    link.resolve_reply(
        attempt.request_number, CallRefusal(1, 'cancelled', True, 200, LOAD)
    )
    assert results[0].result.refusal.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize(
    'answer',
    [
        Answer('call', 200, (('x-name', 'half \ud800'),)),
        Answer('call', 2**64),
    ],
)
def test_an_answer_that_cannot_be_sent_is_refused_at_once(answer):
    """Guards against entries that wait for a lost answer until the deadline."""
    clock = ManualClock()
    link = MeshLink(MeshMessageRouter(), clock)
    link.connection_made(RecordingTransport())
    request = create_attempt(None).create_message(clock())
    server = PeerCallServer(create_mesh_gate(clock))
    server.finish(link, request, answer)
    reply = FrameDecoder().feed(b''.join(link.transport.written))[0]
    assert isinstance(reply, CallRefusal)
    assert (reply.number, reply.has_not_run) == (request.number, False)
