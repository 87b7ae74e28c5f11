"""Bodies of several requests share a limit of memory."""

import pytest

from ebonycleat.internal.connection.byte_account import HeldKind
from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    ServerConnection,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.listener_limits import (
    HELD_SLACK_BYTES,
    ListenerLimits,
)
from tests.loopback_http import RecordingHandler, run_with_timeout
from tests.mesh_environment import run_mesh
from tests.mesh_fakes import ManualClock, RecordingTransport

BODY_BYTES = HELD_SLACK_BYTES + 1000
HEAD = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n' % BODY_BYTES


@pytest.fixture(name='listener')
def fixture_listener():
    """Return a listener that holds one of the largest bodies at a time."""
    limits = ListenerLimits(body_bytes=BODY_BYTES)
    return HttpListener(RecordingHandler(), limits, ManualClock())


def connect(listener):
    connection = ServerConnection(listener)
    connection.connection_made(RecordingTransport())
    return connection


def send_body(connection, count=BODY_BYTES):
    connection.data_received(HEAD)
    connection.data_received(b'x' * count)


def test_a_body_that_finds_no_room_is_refused_as_not_run(listener):
    """Guards against a node that bodies of the allowed size end."""
    first, second = connect(listener), connect(listener)
    send_body(first)
    send_body(second)
    handler = listener.handler
    assert [one.connection for one in handler.exchanges] == [first]
    assert second.transport.written[0].startswith(b'HTTP/1.1 503 ')
    assert b'retry-after: ' in second.transport.written[0]
    assert listener.account.held_bytes == BODY_BYTES


@pytest.mark.parametrize('end', ['answer', 'disconnect', 'half', 'too large'])
def test_room_is_free_again_when_a_request_ends(listener, end):
    """Guards against requests that are refused although nothing is held."""
    first, second = connect(listener), connect(listener)
    if end == 'half':
        send_body(first, BODY_BYTES // 2)
    elif end == 'too large':
        chunked = b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
        first.data_received(chunked + b'%x\r\n' % (BODY_BYTES * 2))
        first.data_received(b'x' * (BODY_BYTES + 1))
    else:
        send_body(first)
    if end == 'answer':
        listener.handler.exchanges[-1].respond(HttpResponse(200))
    else:
        first.connection_lost(None)
    assert not listener.account.held_bytes
    send_body(second)
    assert listener.handler.exchanges[-1].connection is second


def test_an_open_connection_serves_on_after_a_refused_body(listener):
    """Guards against clients that lose the answer with their connection."""
    first, second = connect(listener), connect(listener)
    send_body(first)
    send_body(second)
    listener.handler.exchanges[0].respond(HttpResponse(200))
    send_body(second)
    assert listener.handler.exchanges[-1].connection is second


def test_a_caller_learns_that_its_request_has_not_run():
    """Guards against a refusal that looks as if the request had run."""

    async def send_request():
        async with run_mesh() as mesh:
            account = mesh.nodes[0].dependencies.account
            count = account.limit + account.reserve
            account.hold_anyway(HeldKind.REQUESTS, count)
            refused = await mesh.send_and_wait(0, '/renew/1', body=b'x' * 9)
            account.release(HeldKind.REQUESTS, count)
            answered = await mesh.send_and_wait(0, '/renew/1', body=b'x' * 9)
            received = mesh.targets[0].received_requests
            return refused, answered.status, len(received)

    refused, status, received = run_with_timeout(send_request())
    assert refused.status == 503
    assert float(dict(refused.headers)['retry-after']) >= 1
    assert (status, received) == (200, 1)
