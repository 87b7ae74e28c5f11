"""Frames against websockets + CBOR between nodes: bytes and processor time.

One call with a small body and an answer of 5,000 bytes go over loopback, many
at a time, and back. Both ends run in this process, so the time is that of a
call at both nodes together.

    python -m bench.mesh_transport [calls]
"""

import asyncio
import sys
import time

import cbor2
from websockets.asyncio import client, server

from ebonycleat.internal.connection.mesh_link import (
    LinkHandler,
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallResponse,
    Hello,
    LoadReport,
    MeshMessage,
    CallRequest,
    encode_frame,
)

HOST = '127.0.0.1'
DEFAULT_CALLS = 20_000
IN_FLIGHT = 32
ANSWER_BYTES = 5000
MICROSECONDS_PER_S = 1_000_000
WEBSOCKET_HEADER_BYTES = 8
"""Frame header and mask of a client's message of up to 64 KB."""

LOAD = LoadReport(3, 20, 40, 120, 1280, is_draining=False)
CALL = CallRequest(
    number=1,
    request_id='9c41d07be2a35f68',
    team='pulo780',
    route='r-rge9itf',
    service='huvo11a',
    origin_service='lovo22d',
    priority=2,
    is_idempotent=True,
    depth=0,
    time_left_ms=980,
    method='GET',
    request_target='/leny950/2f',
    host='hulo84.example',
    headers=(('accept', '*/*'),),
    body=b'',
    key_fingerprint=b'12345678',
)
ANSWER = CallResponse(
    1,
    200,
    (('x-request-id', '9c41d07be2a35f68'), ('x-server-signature', '3e1b.07')),
    bytes(ANSWER_BYTES),
    LOAD,
)


def as_fields(message: MeshMessage) -> dict[str, object]:
    """The message as the product's CBOR codec writes it: with field names."""
    fields: dict[str, object] = {'type': type(message).__name__}
    for name in message.__struct_fields__:
        found = getattr(message, name)
        fields[name] = as_fields(found) if found is LOAD else found
    return fields


def as_bytes(received: str | bytes) -> bytes:
    """A websocket's message; both ends send only bytes."""
    return received if isinstance(received, bytes) else received.encode()


class Echo(LinkHandler):
    """Answers calls, and counts answers."""

    def __init__(self) -> None:
        """Start with nothing answered."""
        self.answered = asyncio.Semaphore(IN_FLIGHT)

    def message_received(
        self,
        link: MeshLink,
        message: AnyMeshMessage,
    ) -> None:
        """Answer a call, or let the next one go."""
        if isinstance(message, CallRequest):
            link.send(ANSWER)
        else:
            self.answered.release()

    def link_closed(self, link: MeshLink) -> None:
        """Ignore the end."""


async def play_frames(calls: int) -> float:
    """Seconds of processor time for calls over a mesh link."""
    loop = asyncio.get_running_loop()
    echo = Echo()
    links = LinkPool(echo, Hello('a', 'b'), loop.time)
    listener = await loop.create_server(links.accept, HOST, 0)
    _, link = await loop.create_connection(
        lambda: MeshLink(echo, loop.time),
        HOST,
        listener.sockets[0].getsockname()[1],
    )
    started = time.process_time()
    for _ in range(calls):
        await echo.answered.acquire()
        link.send(CALL)
    used = time.process_time() - started
    link.close()
    listener.close()
    return used


async def answer_websocket(
    connection: server.ServerConnection,
) -> None:
    """Answer each call on one websocket."""
    async for received in connection:
        cbor2.loads(as_bytes(received))
        await connection.send(cbor2.dumps(as_fields(ANSWER)))


async def play_websockets(calls: int) -> float:
    """Seconds of processor time for calls over a websocket."""
    async with (
        server.serve(
            answer_websocket,
            HOST,
            0,
            compression=None,
        ) as listener,
        client.connect(
            f'ws://{HOST}:{listener.sockets[0].getsockname()[1]}',
            compression=None,
        ) as connection,
    ):
        started = time.process_time()
        for number in range(calls + IN_FLIGHT):
            if number >= IN_FLIGHT:
                cbor2.loads(as_bytes(await connection.recv()))
            if number < calls:
                await connection.send(cbor2.dumps(as_fields(CALL)))
        return time.process_time() - started


def main() -> None:
    """Print bytes and time of both."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_CALLS
    ways = (
        ('frames', play_frames, len(encode_frame(CALL))),
        (
            'websockets',
            play_websockets,
            len(cbor2.dumps(as_fields(CALL))) + WEBSOCKET_HEADER_BYTES,
        ),
    )
    for name, play, call_bytes in ways:
        call_us = asyncio.run(play(calls)) / calls * MICROSECONDS_PER_S
        sys.stdout.write(
            f'{name}: {call_us:.0f} us a call at both ends, '
            f'{call_bytes} bytes to ask\n',
        )


if __name__ == '__main__':
    main()
