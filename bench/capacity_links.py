"""Memory and processor time of websocket links between nodes."""

import asyncio
import contextlib
import functools
import gc
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable

from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from bench.capacity_bytes import CODEC
from bench.capacity_fit import CostBenchmark
from ebonycleat.internal.connection.peer_messages import Ping

HOST = '127.0.0.1'
US_PER_S = 1_000_000
LINK_COUNTS = (16, 32, 64)
MESSAGE_COUNTS = (500, 1000, 2000)


def create_link_benchmarks() -> list[CostBenchmark]:
    """Create the benchmarks of links.

    Both ends of a link run in this process, so the cost of one end is half of
    the measured total.
    """
    return [
        CostBenchmark(
            'memory: open link',
            'bytes',
            'link',
            LINK_COUNTS,
            link_memory_bytes,
        ),
        CostBenchmark(
            'time: send or receive a ping',
            'us',
            'message',
            MESSAGE_COUNTS,
            functools.partial(message_time_us, time.process_time),
        ),
    ]


def link_memory_bytes(links: int) -> float:
    """Memory that one end of ``links`` open links takes, in bytes."""
    return asyncio.run(_memory_of_links(links))


def message_time_us(clock: Callable[[], float], messages: int) -> float:
    """Processor time to send, or to receive, ``messages`` messages."""
    return asyncio.run(_time_of_messages(clock, messages))


async def _memory_of_links(links: int) -> float:
    async with _echo_server() as port, contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(_connect(port))
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        links_opened = await asyncio.gather(
            *(stack.enter_async_context(_connect(port)) for _ in range(links)),
        )
        await asyncio.gather(
            *(_exchange(link, CODEC.encode(Ping(1))) for link in links_opened),
        )
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return (after - before) / 2


async def _time_of_messages(
    clock: Callable[[], float],
    messages: int,
) -> float:
    async with _echo_server() as port, _connect(port) as link:
        await _exchange(link, CODEC.encode(Ping(1)))
        started = clock()
        # One after the other, as nodes send pings: messages sent together would
        # share wake-ups of the event loop.
        for number in range(messages):
            await _exchange(link, CODEC.encode(Ping(number)))  # noqa: WPS476
        used_s = clock() - started
    # Each exchange is two messages, and each is sent and received: 4 steps.
    return used_s * US_PER_S / 4


async def _exchange(link: ClientConnection, encoded: bytes) -> None:
    await link.send(encoded)
    CODEC.decode(await link.recv(decode=False))


@contextlib.asynccontextmanager
async def _echo_server() -> AsyncIterator[int]:
    server = serve(_echo, HOST, 0, compression=None, ping_interval=None)
    async with server as running:
        port: int = running.sockets[0].getsockname()[1]
        yield port


async def _echo(link: ServerConnection) -> None:
    with contextlib.suppress(ConnectionClosed):
        while True:
            frame = await link.recv(decode=False)
            await link.send(CODEC.encode(CODEC.decode(frame)))


def _connect(port: int) -> connect:
    return connect(
        f'ws://{HOST}:{port}',
        compression=None,
        ping_interval=None,
        proxy=None,
    )
