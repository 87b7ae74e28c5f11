"""Compares mesh frames with CBOR over websockets: bytes and processor time.

A call with an empty body and an answer of 5,000 bytes go over loopback, with
up to 32 calls in flight. Both ends run in this process, so the time per call
is the sum of both nodes.

    python -m bench.mesh_transport [calls]
"""

import asyncio
import sys
import time

import cbor2
from websockets.asyncio import client, server

from ebonycleat.internal.connection.mesh_frames import (
    DroppedMessage,
    encode_frame,
)
from ebonycleat.internal.connection.mesh_link import (
    LinkHandler,
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallRequest,
    CallResponse,
    Hello,
    LoadReport,
    MeshMessage,
)

HOST = '127.0.0.1'
DEFAULT_CALLS = 20_000
IN_FLIGHT = 32
ANSWER_BYTES = 5000
MICROSECONDS_PER_S = 1_000_000
WEBSOCKET_HEADER_BYTES = 8
"""Websocket frame header and mask of a client message of up to 64 KB."""

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
    """Convert a message to the fields that the CBOR codec writes by name."""
    fields: dict[str, object] = {'type': type(message).__name__}
    for name in message.__struct_fields__:
        field = getattr(message, name)
        fields[name] = as_fields(field) if field is LOAD else field
    return fields


def as_bytes(received: str | bytes) -> bytes:
    """Narrow a websocket message to bytes, the only kind that is sent."""
    return received if isinstance(received, bytes) else received.encode()


class CallAnswerer(LinkHandler):
    """Answers calls, and limits how many calls are in flight."""

    def __init__(self) -> None:
        """Start with all ``IN_FLIGHT`` calls available."""
        self.free_calls = asyncio.Semaphore(IN_FLIGHT)

    def message_received(
        self,
        link: MeshLink,
        message: AnyMeshMessage | DroppedMessage,
    ) -> None:
        """Answer a call, or allow one more call after an answer."""
        if isinstance(message, CallRequest):
            link.send(ANSWER)
        else:
            self.free_calls.release()

    def link_closed(self, link: MeshLink) -> None:
        """Do nothing: the benchmark closes its own links."""


async def time_frames(calls: int) -> float:
    """Send calls over a mesh link; return the processor time in seconds."""
    loop = asyncio.get_running_loop()
    handler = CallAnswerer()
    links = LinkPool(handler, Hello('a', 'b'), loop.time)
    listener = await loop.create_server(links.accept, HOST, 0)
    _, link = await loop.create_connection(
        lambda: MeshLink(handler, loop.time),
        HOST,
        listener.sockets[0].getsockname()[1],
    )
    started = time.process_time()
    for _ in range(calls):
        await handler.free_calls.acquire()
        link.send(CALL)
    used_s = time.process_time() - started
    link.close()
    listener.close()
    return used_s


async def answer_websocket(
    connection: server.ServerConnection,
) -> None:
    """Answer the calls of one websocket connection."""
    async for received in connection:
        cbor2.loads(as_bytes(received))
        await connection.send(cbor2.dumps(as_fields(ANSWER)))


async def time_websockets(calls: int) -> float:
    """Send calls over a websocket; return the processor time in seconds."""
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
    """Print the size of a call and the time per call of both transports."""
    calls = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_CALLS
    transports = (
        ('frames', time_frames, len(encode_frame(CALL))),
        (
            'websockets',
            time_websockets,
            len(cbor2.dumps(as_fields(CALL))) + WEBSOCKET_HEADER_BYTES,
        ),
    )
    for name, time_calls, call_bytes in transports:
        call_us = asyncio.run(time_calls(calls)) / calls * MICROSECONDS_PER_S
        sys.stdout.write(
            f'{name}: {call_us:.0f} us a call at both ends, '
            f'{call_bytes} bytes per call message\n',
        )


if __name__ == '__main__':
    main()
