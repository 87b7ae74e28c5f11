"""Bytes without end that are no answer, from a server in trouble."""

import asyncio
import contextlib
import itertools

import pytest

from ebonycleat.internal.connection import response_body
from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.http_pool import ConnectionPool
from tests.loopback_http import HOST, run_with_timeout, send

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = HEAD + b'transfer-encoding: chunked\r\n\r\n'
CONCURRENT_REQUESTS = 200
READ_BYTES = 262_144
"""At most this much is read from a socket before it is parsed."""

BLOCK = 4096
REPEATED = {
    'header line': (HEAD + b'x-long: ', b'y' * BLOCK),
    'headers': (HEAD, b'x-many: y\r\n' * (BLOCK // 11)),
    'reason': (b'HTTP/1.1 200 ', b'y' * BLOCK),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 100),
    'chunk size': (CHUNKED_HEAD + b'5;x=', b'y' * BLOCK),
    'trailers': (CHUNKED_HEAD + b'0\r\n', b'x-many: y\r\n' * (BLOCK // 11)),
    'answers to others': (
        b'',
        b'HTTP/1.1 200 OK\r\nid: old\r\ncontent-length: 0\r\n\r\n' * 100,
    ),
}
BODIES = {
    'body without length': (HEAD + b'\r\n', b'y' * BLOCK),
    'chunks': (CHUNKED_HEAD, b'1000\r\n' + b'y' * BLOCK + b'\r\n'),
}


class EndlessServer:
    """Sends a beginning and then the same bytes until the caller closes."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.closed_count = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.beginning)
            while self.repeated:
                writer.write(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
            await reader.read()
        self.closed_count += 1
        writer.close()

    @contextlib.asynccontextmanager
    async def serve_with_pool(self):
        server = await asyncio.start_server(
            self.serve, HOST, 0, backlog=CONCURRENT_REQUESTS
        )
        with ConnectionPool(HOST, server.sockets[0].getsockname()[1]) as pool:
            yield pool
        server.close()


def forbid():
    return False


def is_own(headers):
    return ('id', 'old') not in headers


@pytest.mark.parametrize('place', list(REPEATED))
def test_an_endless_head_ends_with_a_failure_and_a_closed_connection(place):
    """Guards against a head that takes memory until the deadline."""

    async def run_exchange():
        server = EndlessServer(*REPEATED[place])
        async with server.serve_with_pool() as pool:
            result = await send(pool, own=is_own)
            while not server.closed_count:
                await asyncio.sleep(0)
            return result, pool

    result, pool = run_with_timeout(run_exchange())
    assert isinstance(result, SendFailure)
    assert result.kind in {SendFailureKind.ENDLESS, SendFailureKind.MALFORMED}
    assert result.was_sent
    assert not pool.connections
    assert not pool.held_bytes


@pytest.mark.parametrize('place', list(BODIES))
def test_endless_bodies_hold_no_more_than_the_allowed_memory(
    place, monkeypatch
):
    """Guards against a node that many endless bodies push over its memory."""
    allowed_bytes = 1_000_000
    monkeypatch.setattr(
        'ebonycleat.internal.connection.http_pool.MAX_HELD_BYTES',
        allowed_bytes,
    )
    held_bytes = []

    async def run_exchange():
        server = EndlessServer(*BODIES[place])
        async with server.serve_with_pool() as pool:
            results = asyncio.gather(
                *(send(pool) for _ in range(CONCURRENT_REQUESTS))
            )
            while not results.done():
                held_bytes.append(pool.held_bytes)
                await asyncio.sleep(0)
            while server.closed_count < CONCURRENT_REQUESTS:
                await asyncio.sleep(0)
            return await results, pool

    results, pool = run_with_timeout(run_exchange())
    assert {result.kind for result in results} == {SendFailureKind.TOO_LARGE}
    assert max(held_bytes) <= allowed_bytes
    assert not pool.held_bytes
    assert not pool.connections


def test_one_endless_body_does_not_fail_the_answers_of_others(monkeypatch):
    """Guards against a limit that honest answers meet after a failure."""
    monkeypatch.setattr(response_body, 'MAX_RESPONSE_BYTES', 100_000)

    async def run_exchange():
        server = EndlessServer(*BODIES['chunks'])
        async with server.serve_with_pool() as pool:
            await send(pool)
            server.beginning = HEAD + b'content-length: 2\r\n\r\nok'
            server.repeated = b''
            return await send(pool)

    assert run_with_timeout(run_exchange()) == HttpResponse(200, (), b'ok')


def test_small_chunks_of_an_honest_answer_are_not_taken_for_endless():
    """Guards against refusing answers that come byte by byte."""
    body = b'y' * 200_000
    chunks = b''.join(b'1\r\ny\r\n' for _ in body)

    async def run_exchange():
        server = EndlessServer(CHUNKED_HEAD + chunks + b'0\r\n\r\n', b'')
        async with server.serve_with_pool() as pool:
            return await send(pool)

    result = run_with_timeout(run_exchange())
    assert result.body == body


def test_a_request_that_is_not_allowed_any_more_is_not_written():
    """Guards against acting on a permission that ended while connecting.

    The process may be paused between the check and the open connection.
    """
    received = []

    async def serve(reader, writer):
        received.append(await reader.read())
        writer.close()

    async def run_exchange():
        server = await asyncio.start_server(serve, HOST, 0)
        with ConnectionPool(HOST, server.sockets[0].getsockname()[1]) as pool:
            result = await send(pool, may_send=forbid)
        while not received:
            await asyncio.sleep(0)
        server.close()
        return result

    result = run_with_timeout(run_exchange())
    assert result.kind is SendFailureKind.EXPIRED
    assert not result.was_sent
    assert received == [b'']


def test_a_single_request_shares_its_connection_with_no_other():
    """Guards against a late copy of an answer without an id.

    The first answer comes twice, the second time only after the next request
    of the pool has been sent.
    """
    connection_count = 0

    async def serve(reader, writer):
        nonlocal connection_count
        connection_count += 1
        own = b'%d' % connection_count
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + b'content-length: 1\r\n\r\n' + own)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + b'content-length: 1\r\n\r\n' + own)
            await reader.read()
        writer.close()

    async def run_exchange():
        server = await asyncio.start_server(serve, HOST, 0)
        with ConnectionPool(HOST, server.sockets[0].getsockname()[1]) as pool:
            results = [await send(pool, is_single=True) for _ in range(2)]
            assert not pool.connections
        server.close()
        return [result.body for result in results]

    assert run_with_timeout(run_exchange()) == [b'1', b'2']


def test_bytes_that_follow_an_answer_reach_no_later_request():
    """Guards against a late second copy on a connection in use again.

    The copy comes after the connection has been given to the next request,
    whose own answer never comes.
    """
    answer = b'HTTP/1.1 200 OK\r\nid: 1\r\ncontent-length: 2\r\n\r\nok'
    numbers = itertools.count(1)
    received = []

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(answer)
            writer.write_eof()
            await reader.read()
        writer.close()

    async def send_one(pool):
        own_id = ('id', str(next(numbers)))
        result_future = asyncio.get_running_loop().create_future()
        pool.send(
            OutgoingRequest(
                b'GET /x HTTP/1.1\r\nhost: t\r\n\r\n',
                lambda headers: own_id in headers,
            ),
            result_future.set_result,
        )
        return await result_future

    async def run_exchange():
        server = await asyncio.start_server(serve, HOST, 0)
        with ConnectionPool(HOST, server.sockets[0].getsockname()[1]) as pool:
            received.append(await send_one(pool))
            received.append(await send_one(pool))
        server.close()

    run_with_timeout(run_exchange())
    assert isinstance(received[0], HttpResponse)
    assert isinstance(received[1], SendFailure)
    assert received[1].was_sent
