"""Bodies in small chunks take the memory that their limits count."""

import tracemalloc

import pytest

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    OutgoingRequest,
    SendFailureKind,
    accept_any_headers,
)
from ebonycleat.internal.connection.http_client import (
    MAX_HEADERS,
    ClientConnection,
)
from ebonycleat.internal.connection.http_listener import (
    HttpListener,
    ServerConnection,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from tests.loopback_http import RecordingHandler
from tests.mesh_fakes import ManualClock, RecordingTransport

BODY_BYTES = 400_000
CHUNK = b'2\r\nxy\r\n'
BLOCK = CHUNK * 1000
MAX_RATIO = 1.5
"""A growing buffer has some room to spare."""


def create_client_connection(on_result):
    connection = ClientConnection(ConnectionPool('127.0.0.1', 1))
    connection.connection_made(RecordingTransport())
    request = OutgoingRequest(b'GET / HTTP/1.1\r\n\r\n', accept_any_headers)
    connection.start(InFlightRequest(request, on_result))
    return connection, b'HTTP/1.1 200 OK\r\nconnection: close\r\n'


def create_server_connection(handler):
    listener = HttpListener(
        handler, ListenerLimits(body_bytes=BODY_BYTES * 2), ManualClock()
    )
    connection = ServerConnection(listener)
    connection.transport = RecordingTransport()
    return connection, b'POST / HTTP/1.1\r\nhost: a\r\n'


def measure_memory(connection, head):
    """Return the bytes that a connection holds for a body so far."""
    connection.data_received(head + b'transfer-encoding: chunked\r\n\r\n')
    tracemalloc.start()
    for _ in range(BODY_BYTES // 2 // 1000):
        connection.data_received(BLOCK)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes


def test_an_answer_in_tiny_chunks_holds_little_more_than_its_body():
    """Guards against a node that runs out of memory below its limits."""
    results = []
    connection, head = create_client_connection(results.append)
    assert measure_memory(connection, head) < BODY_BYTES * MAX_RATIO
    connection.data_received(b'0\r\n\r\n')
    assert results[0].body == b'xy' * (BODY_BYTES // 2)


def test_a_request_in_tiny_chunks_holds_little_more_than_its_body():
    """Guards against callers that take more than the limit of bodies."""
    handler = RecordingHandler()
    connection, head = create_server_connection(handler)
    assert measure_memory(connection, head) < BODY_BYTES * MAX_RATIO
    connection.data_received(b'0\r\n\r\n')
    assert handler.exchanges[0].request.body == b'xy' * (BODY_BYTES // 2)


@pytest.mark.parametrize('ending', [b'', b'\r\n', b'\r\n0\r\n\r\n'])
@pytest.mark.parametrize('place', ['headers', 'trailers'])
def test_an_answer_with_many_short_headers_is_a_failure(place, ending):
    """Guards against headers that take many times their bytes.

    It must not be passed on without the others if it ends in the same read.
    """
    results = []
    connection, head = create_client_connection(results.append)
    if place == 'trailers':
        head += b'transfer-encoding: chunked\r\n\r\n0\r\n'
    many_headers = b'a:bc\r\n' * (MAX_HEADERS + 2)
    connection.data_received(head + many_headers + ending)
    assert results[0].kind is SendFailureKind.ENDLESS


def test_a_body_that_finds_no_room_is_never_taken_for_an_empty_one(monkeypatch):
    """Guards against a success whose body was dropped.

    Bodies without end on other connections take all the room.
    """
    monkeypatch.setattr(
        'ebonycleat.internal.connection.http_pool.MAX_HELD_BYTES', 1000
    )
    results = []
    connection, head = create_client_connection(results.append)
    body = b'content-length: 4096\r\n\r\n' + b'x' * 4096
    connection.data_received(head + body)
    assert results[0].kind is SendFailureKind.TOO_LARGE
