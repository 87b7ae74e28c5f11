"""Helpers for HTTP tests with real sockets on the loopback interface."""

import asyncio
import contextlib
import socket
import struct

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
)
from ebonycleat.internal.connection.http_listener import (
    ExchangeHandler,
    HttpListener,
    open_listener,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)

HOST = '127.0.0.1'
TEST_TIMEOUT_S = 20


def run_with_timeout(coroutine):
    """Run a coroutine on a new event loop; fail if it takes too long."""
    return asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


class RecordingHandler(ExchangeHandler):
    """Records all exchanges and answers each with ``response``, if given."""

    def __init__(self, response=None):
        self.response = response
        self.exchanges = []
        self.abandoned_count = 0

    def handle_exchange(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_abandoned = self.count_abandoned
        if self.response is not None:
            exchange.respond(self.response)

    def count_abandoned(self):
        self.abandoned_count += 1


@contextlib.asynccontextmanager
async def serve_handler(handler, **limits):
    """Serve a handler on a free port; yields the listener and the port."""
    loop = asyncio.get_running_loop()
    listener = HttpListener(handler, ListenerLimits(**limits), loop.time)
    async with open_listener(listener, HOST, 0) as port:
        yield listener, port


async def send_and_read_to_end(port, request_bytes):
    """Send bytes, and read until the server closes the connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request_bytes)
    received = await reader.read()
    writer.close()
    return received


def reset_on_close(connection):
    """Make closing a socket send a TCP reset instead of a FIN."""
    connection.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', 1, 0),
    )


class ScriptedTarget:
    """A server that sends one of the given answers, in turn, per request."""

    def __init__(self, *answers, closes=False, resets=False):
        self.answers = list(answers)
        self.closes = closes
        self.resets = resets
        self.request_heads = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while self.answers:
                self.request_heads.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(self.answers.pop(0))
                await writer.drain()
                if self.closes or self.resets:
                    break
            else:
                await reader.read()
        if self.resets:
            reset_on_close(writer.get_extra_info('socket'))
        writer.close()

    @contextlib.asynccontextmanager
    async def serve_with_pool(self):
        server = await asyncio.start_server(self.serve, HOST, 0)
        with ConnectionPool(HOST, server.sockets[0].getsockname()[1]) as pool:
            yield pool
        server.close()


async def send(pool, *, own=None, identified=None, **options):
    """Send one request through a pool and return its result.

    ``own`` and ``identified`` decide by the headers of a response whether it
    may belong to the request and whether it names the request.
    """
    if identified is not None:
        options['is_identified_response'] = identified
    result_future = asyncio.get_running_loop().create_future()
    request = OutgoingRequest(
        b'GET /x HTTP/1.1\r\nhost: t\r\n\r\n',
        own or (lambda headers: True),
        **options,
    )
    pool.send(request, result_future.set_result)
    return await result_future


COMPLETE_RESPONSE = HttpResponse(200, (('x-a', 'b'),), b'whole')
