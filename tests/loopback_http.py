"""Real sockets on loopback, on an event loop that a test runs to its end."""

import asyncio
import contextlib
import socket
import struct

from ebonycleat.internal.connection.http_listener import (
    ExchangeHandler,
    HttpListener,
    ListenerLimits,
    open_listener,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
)

HOST = '127.0.0.1'
TEST_TIMEOUT_S = 20


def run_with_timeout(coroutine):
    """Run a test on a loop; a test that hangs fails."""
    return asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


class RecordingHandler(ExchangeHandler):
    """Keeps the exchanges, and answers at once if it is told how."""

    def __init__(self, answer=None):
        self.answer = answer
        self.exchanges = []
        self.abandoned_count = 0

    def handle_exchange(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_abandoned = self.count_abandoned
        if self.answer is not None:
            exchange.respond(self.answer)

    def count_abandoned(self):
        self.abandoned_count += 1


@contextlib.asynccontextmanager
async def serve_handler(handler, **limits):
    """Serve a handler; yields the listener and its port."""
    loop = asyncio.get_running_loop()
    listener = HttpListener(handler, ListenerLimits(**limits), loop.time)
    async with open_listener(listener, HOST, 0) as port:
        yield listener, port


async def send_and_read_to_end(port, sent):
    """Send bytes, close the sending side last, and read to the end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(sent)
    received = await reader.read()
    writer.close()
    return received


def reset_on_close(connection):
    """Make the end of a connection a reset instead of an orderly end."""
    connection.setsockopt(
        socket.SOL_SOCKET,
        socket.SO_LINGER,
        struct.pack('ii', 1, 0),
    )


class ScriptedTarget:
    """A server that answers each connection's requests with given bytes."""

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


async def send(pool, *, own=None, **options):
    """Send one request through a pool and return its result."""
    ended = asyncio.get_running_loop().create_future()
    request = OutgoingRequest(
        b'GET /x HTTP/1.1\r\nhost: t\r\n\r\n',
        own or (lambda headers: True),
        **options,
    )
    pool.send(request, ended.set_result)
    return await ended


COMPLETE_RESPONSE = HttpResponse(200, (('x-a', 'b'),), b'whole')
