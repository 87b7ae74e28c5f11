"""TCP proxy that can delay, hold back or reset the connections to a server."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Iterator

CHUNK_BYTES = 65_536
KEPT_HEAD_BYTES = 20
ENDLESS_BYTES = b'y' * 4096
ENDLESS_PAUSE_S = 0.001
"""Pause between two chunks, so that one answer does not take a whole core."""


class ProxyMode(enum.Enum):
    """What the proxy does with the bytes of its connections.

    ``PASS`` forwards them; ``DELAY`` forwards them after a delay; ``SILENCE``
    holds back both directions; ``CUT_ANSWERS`` holds back only those from the
    server; ``ENDLESS_HEADS`` cuts answers off in their head and goes on with
    other bytes until the client closes; ``ENDLESS_BODIES`` does so after their
    head; ``RESET`` aborts the open connections, and each new one at once.
    """

    PASS = 'pass'
    DELAY = 'delay'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut-answers'
    ENDLESS_HEADS = 'endless-heads'
    ENDLESS_BODIES = 'endless-bodies'
    RESET = 'reset'


def repeat_chunk(chunk_bytes: int) -> bytes:
    """Return chunks of this size, together of about ``CHUNK_BYTES``."""
    chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'y' * chunk_bytes)
    return chunk * (CHUNK_BYTES // chunk_bytes)


class FaultyProxy:
    """Forwards connections to one server; the mode can change at any time."""

    def __init__(self, host: str, port: int, delay_s: float) -> None:
        """Forward to a server; ``delay_s`` is the delay in mode ``DELAY``.

        It is also the interval at which a connection whose bytes are held back
        checks the mode.
        """
        self.host = host
        self.port = port
        self.delay_s = delay_s
        self.mode = ProxyMode.PASS
        self.endless_chunks = repeat_chunk(CHUNK_BYTES)
        self.writers: set[asyncio.StreamWriter] = set()
        self.endless_writers = {
            ProxyMode.ENDLESS_HEADS: self.write_endless_head,
            ProxyMode.ENDLESS_BODIES: self.write_endless_body,
        }

    def change_mode(self, mode: ProxyMode) -> None:
        """Change the mode; ``RESET`` also aborts the open connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Forward one connection until either side closes it."""
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self.host,
                self.port,
            )
        except OSError:
            # The server is down: the client loses its connection, as it would
            # without the proxy.
            writer.transport.abort()
            return
        forwarders = (
            asyncio.ensure_future(
                self.forward(reader, server_writer, is_from_server=False),
            ),
            asyncio.ensure_future(
                self.forward(server_reader, writer, is_from_server=True),
            ),
        )
        with self.tracking(writer), self.tracking(server_writer):
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        for forwarder in forwarders:
            forwarder.cancel()

    @contextlib.contextmanager
    def tracking(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Register a writer, so that a reset aborts it; abort it on exit."""
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            stack.callback(self.writers.discard, writer)
            self.writers.add(writer)
            yield

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_from_server: bool,
    ) -> None:
        """Forward one direction of a connection.

        Bytes that are held back are sent when the mode changes.
        """
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.holds_back(is_from_server):
                    await asyncio.sleep(self.delay_s)
                write_endlessly = self.endless_writers.get(self.mode)
                if is_from_server and write_endlessly is not None:
                    await write_endlessly(chunk, writer)
                writer.write(chunk)
                await writer.drain()

    async def write_endless_head(
        self, chunk: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write the beginning of an answer and other bytes without end.

        Ends with ``OSError`` when the other side closes.
        """
        writer.write(chunk[:KEPT_HEAD_BYTES])
        while True:
            writer.write(ENDLESS_BYTES)
            await writer.drain()
            await asyncio.sleep(0)

    async def write_endless_body(
        self, chunk: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write the head of an answer and chunks of a body without end.

        Ends with ``OSError`` when the other side closes.
        """
        head = chunk.partition(b'\r\n\r\n')[0]
        lines = [
            line
            for line in head.split(b'\r\n')
            if not line.lower().startswith(b'content-length:')
        ]
        chunked = b'transfer-encoding: chunked'
        writer.write(b'\r\n'.join((*lines, chunked, b'', b'')))
        while True:
            writer.write(self.endless_chunks)
            await writer.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)

    def holds_back(self, is_from_server: bool) -> bool:
        """Return whether the mode holds back bytes of this direction."""
        if self.mode is ProxyMode.CUT_ANSWERS:
            return is_from_server
        return self.mode is ProxyMode.SILENCE


@contextlib.asynccontextmanager
async def serve_proxy(proxy: FaultyProxy, host: str) -> AsyncIterator[int]:
    """Run a proxy while the context is open; yields its port."""
    server = await asyncio.start_server(proxy.serve, host, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in tuple(proxy.writers):
            writer.transport.abort()
