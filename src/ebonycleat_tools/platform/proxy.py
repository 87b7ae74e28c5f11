"""A relay on loopback that delays, resets, silences or cuts one way."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Iterator

CHUNK_BYTES = 65_536


class ProxyMode(enum.Enum):
    """What happens to bytes that arrive; to or from the server behind."""

    PASS = 'pass'
    DELAY = 'delay'
    SILENCE = 'silence'
    CUT_ANSWERS = 'cut-answers'
    RESET = 'reset'


class FaultyProxy:
    """Relays connections to one server; ``mode`` may change at any time."""

    def __init__(self, host: str, port: int, delay_s: float) -> None:
        """Relay to the server; ``delay_s`` holds in the mode ``DELAY``."""
        self.host = host
        self.port = port
        self.delay_s = delay_s
        self.mode = ProxyMode.PASS
        self.writers: set[asyncio.StreamWriter] = set()

    def change_mode(self, mode: ProxyMode) -> None:
        """Change the mode; a reset also ends the present connections."""
        self.mode = mode
        if mode is ProxyMode.RESET:
            for writer in tuple(self.writers):
                writer.transport.abort()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Relay one connection until either side ends it."""
        if self.mode is ProxyMode.RESET:
            writer.transport.abort()
            return
        try:
            ahead, onward = await asyncio.open_connection(self.host, self.port)
        except OSError:
            # The server is down: the client sees what it would see there.
            writer.transport.abort()
            return
        relays = (
            asyncio.ensure_future(self.relay(reader, onward, is_answer=False)),
            asyncio.ensure_future(self.relay(ahead, writer, is_answer=True)),
        )
        with self.keeping(writer), self.keeping(onward):
            await asyncio.wait(relays, return_when=asyncio.FIRST_COMPLETED)
        for relay in relays:
            relay.cancel()

    @contextlib.contextmanager
    def keeping(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        """Know a writer, so that a reset reaches it; close it at the end."""
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            stack.callback(self.writers.discard, writer)
            self.writers.add(writer)
            yield

    async def relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        """Relay one direction; bytes that are silenced wait for the end."""
        with contextlib.suppress(OSError):
            while received := await reader.read(CHUNK_BYTES):
                if self.mode is ProxyMode.DELAY:
                    await asyncio.sleep(self.delay_s)
                while self.holds_back(is_answer):
                    await asyncio.sleep(self.delay_s)
                writer.write(received)
                await writer.drain()

    def holds_back(self, is_answer: bool) -> bool:
        """Whether bytes of this direction must wait."""
        if self.mode is ProxyMode.CUT_ANSWERS:
            return is_answer
        return self.mode is ProxyMode.SILENCE


@contextlib.asynccontextmanager
async def serve_proxy(proxy: FaultyProxy, host: str) -> AsyncIterator[int]:
    """Relay while the context is open; yields the port to connect to."""
    server = await asyncio.start_server(proxy.serve, host, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for writer in tuple(proxy.writers):
            writer.transport.abort()
