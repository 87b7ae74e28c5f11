"""Unexpected errors end one call and not all that shares its connection."""

import logging

import pytest

from ebonycleat.internal.connection.contained_errors import (
    record_contained_error,
)
from ebonycleat.internal.connection.mesh_frames import (
    FrameDecoder,
    encode_frame,
)
from ebonycleat.internal.connection.mesh_link import MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    LoadReport,
)
from ebonycleat.internal.process import mesh_runner
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate_client import (
    LocalNode,
    RemoteAttempt,
)
from ebonycleat.internal.process.node_gauges import error_gauges
from ebonycleat.internal.process.peer_calls import (
    MeshMessageRouter,
    PeerCallServer,
)
from ebonycleat.internal.request.refusal import Outcome, Reason
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import run_mesh
from tests.mesh_fakes import (
    SERVICE,
    ManualClock,
    RecordingTransport,
    create_call,
    create_gate_call,
    create_mesh_gate,
)

LOAD = LoadReport(0, 0, 4, 10, 1280, is_draining=False)


class FailsOnce:
    """Fails at its first call and then does what it stands for."""

    def __init__(self, function):
        self.function = function
        self.calls = 0

    def __call__(self, *args, **kwargs):
        self.calls += 1
        if self.calls == 1:
            raise ZeroDivisionError('fault')
        return self.function(*args, **kwargs)


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


def create_link(clock, handler=None):
    link = MeshLink(handler or MeshMessageRouter(), clock)
    link.connection_made(RecordingTransport())
    return link


def encode_call(clock, number, path):
    """Encode a call as another node sends it."""
    call = create_call(clock, path=path, key_digest='')
    attempt = RemoteAttempt(
        AdmittedRequest(call, path, 'host', b'', 2, call.deadline),
        LocalNode('here:1', SERVICE),
        None,
    )
    attempt.request_number = number
    return encode_frame(attempt.create_message(clock()))


def test_a_call_that_a_gate_cannot_decide_on_ends_no_other(
    clock, contained_errors
):
    """Guards against an error that closes a link with all calls on it."""
    gate = create_mesh_gate(clock)
    gate.gate.offer = FailsOnce(gate.gate.offer)
    router = MeshMessageRouter()
    router.peer_calls = PeerCallServer(gate)
    link = create_link(clock, router)
    link.data_received(
        encode_call(clock, 1, '/fetch/1') + encode_call(clock, 2, '/fetch/2')
    )
    replies = FrameDecoder().feed(b''.join(link.transport.written))
    assert not link.transport.is_aborted
    assert [reply.number for reply in replies][0] == 1
    assert replies[0].has_not_run
    assert replies[0].reason == Reason.NODE_FAILED.value
    assert contained_errors == {'offer of a call': 1}


def test_a_result_that_a_gate_cannot_handle_frees_its_slot(
    clock, contained_errors
):
    """Guards against answers that are lost and slots that stay in use."""
    gate = create_mesh_gate(clock, slots=1)
    gate.load_reporter.target_load.record_run = FailsOnce(lambda *run: None)
    results = []
    for number in range(2):
        gate.offer(create_gate_call(clock, number), results.append)
    gate.pool.sends[0].answer()
    assert results[0].refusal.outcome is Outcome.UNKNOWN
    gate.pool.sends[1].answer()
    assert results[1].status == 200
    assert not gate.gate.running
    assert not gate.pending_calls
    assert not gate.backpressure.direct.running
    assert contained_errors == {'result of a target': 1}


def test_a_decision_that_cannot_be_carried_out_ends_only_its_call(
    clock, contained_errors
):
    """Guards against decisions on other calls that wait for the next event."""
    gate = create_mesh_gate(clock)
    gate.pool.send = FailsOnce(gate.pool.send)
    results = []
    for number in range(2):
        gate.offer(create_gate_call(clock, number), results.append)
    assert results[0].refusal.reason is Reason.NODE_FAILED
    assert list(gate.gate.running) == ['call-1']
    gate.pool.sends[0].answer()
    assert results[1].status == 200
    assert contained_errors == {'decision of a gate': 1}


def test_a_reply_that_cannot_be_handled_ends_no_other(clock, contained_errors):
    """Guards against calls of a link that never learn that it closed."""
    link = create_link(clock)
    received = []
    on_reply = FailsOnce(received.append)
    for number in range(4):
        link.expect_reply(number, on_reply)
    refusals = [
        encode_frame(CallRefusal(number, 'shed', True, 0, LOAD))
        for number in range(2)
    ]
    link.data_received(b''.join(refusals))
    assert [reply.number for reply in received] == [1]
    on_reply.calls = 0
    link.connection_lost(None)
    assert received[1:] == [None]
    assert contained_errors == {'reply of a node': 2}


def test_a_tick_that_fails_does_not_end_the_process(
    monkeypatch, contained_errors
):
    """Guards against a node that ends because of one call or link."""
    monkeypatch.setattr(mesh_runner, 'QUEUE_TICK_S', 0.001)
    monkeypatch.setattr(mesh_runner, 'IDLE_TICK_S', 0.001)

    async def scenario():
        async with run_mesh() as environment:
            node = environment.nodes[0]
            node.tick_queues = FailsOnce(node.tick_queues)
            await environment.wait_until(lambda: node.tick_queues.calls > 2)
            return (await environment.send_and_wait(0, '/fetch/1')).status

    assert run_with_timeout(scenario()) == 200
    assert contained_errors == {'tick of the queues': 1}


@pytest.mark.parametrize(
    ('name', 'sent_to_target'),
    [('check_stop', 0), ('finish', 1)],
)
def test_a_request_that_the_entry_cannot_handle_is_answered(
    name, sent_to_target, contained_errors
):
    """Guards against callers that wait for an answer until their deadline."""

    async def scenario():
        async with run_mesh() as environment:
            entry = environment.nodes[0].entry
            setattr(entry, name, FailsOnce(getattr(entry, name)))
            answers = [
                await environment.send_and_wait(0, f'/renew/{number}')
                for number in range(2)
            ]
            received = len(environment.targets[0].received_requests)
            return [answer.status for answer in answers], received

    statuses, received = run_with_timeout(scenario())
    assert statuses == [502, 200]
    assert received == sent_to_target + 1
    assert contained_errors.total() == 1


def test_errors_are_counted_by_place_and_logged_ever_less_often(
    caplog, contained_errors
):
    """Guards against errors that nobody sees, and logs full of one."""
    with caplog.at_level(logging.ERROR):
        for _ in range(10):
            record_contained_error('reply of a node', ValueError('fault'))
    assert [record.number for record in caplog.records] == [1, 2, 4, 8]
    assert error_gauges() == {'errors.reply_of_a_node': 10}
