"""Requests that arrive in pieces, cut off or damaged."""

import asyncio

from hypothesis import example, given
from hypothesis import strategies as st

from ebonycleat.internal.connection.http_listener import (
    HttpListener,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.listener_limits import (
    ListenerLimits,
)
from tests.loopback_http import RecordingHandler

MAX_HEADER_BYTES = 400
MAX_BODY_BYTES = 300


class FakeTransport:
    """Keeps what the server writes until it closes the connection."""

    def __init__(self):
        self.written = b''
        self.closed = False

    def set_write_buffer_limits(self, high, low):
        """Everything is sent at once."""

    def get_write_buffer_size(self):
        return 0

    def write(self, written):
        assert not self.closed
        self.written += written

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        """The test sends everything at once."""

    def resume_reading(self):
        """The test sends everything at once."""


def serve(received, cuts):
    """Deliver bytes in pieces; return the handler and the transport."""

    async def run_connection():
        handler = RecordingHandler(HttpResponse(200, (), b'ok'))
        limits = ListenerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES)
        clock = asyncio.get_running_loop().time
        listener = HttpListener(handler, limits, clock)
        transport = FakeTransport()
        connection = listener.create_connection()
        connection.connection_made(transport)
        starts = [0, *sorted(cut % (len(received) + 1) for cut in cuts)]
        for start, end in zip(starts, [*starts[1:], None], strict=True):
            if not transport.closed and received[start:end]:
                connection.data_received(received[start:end])
                await asyncio.sleep(0)
        for _ in range(4):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        assert not listener.connections
        return handler, transport

    return asyncio.run(run_connection())


def encode(number, method='POST', *, chunked=False, body=b'body'):
    lines = [f'{method} /{number} HTTP/1.1', 'host: t', f'x-id: {number}']
    framed = body
    if chunked:
        lines.append('transfer-encoding: chunked')
        framed = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    else:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + framed


def list_requests(handler):
    return [
        (
            one.request.method,
            one.request.request_target,
            dict(one.request.headers)['x-id'],
            one.request.body,
        )
        for one in handler.exchanges
    ]


cuts = st.lists(st.integers(0, 900), max_size=5)
requests = st.lists(
    st.tuples(
        st.sampled_from(['GET', 'POST', 'DELETE']),
        st.booleans(),
        st.binary(min_size=1, max_size=60),
    ),
    min_size=1,
    max_size=4,
)


@given(sent=requests, cuts=cuts)
@example([('POST', False, b'GET /x HTTP/1.1\r\n\r\n')], [])
def test_requests_in_any_pieces_arrive_as_they_were_sent(sent, cuts):
    """Guards against a request that is made of parts of two, or smuggled."""
    encoded = b''.join(
        encode(number, method, chunked=chunked, body=body)
        for number, (method, chunked, body) in enumerate(sent)
    )
    handler, transport = serve(encoded, cuts)
    assert list_requests(handler) == [
        (method, f'/{number}', str(number), body)
        for number, (method, _, body) in enumerate(sent)
    ]
    assert transport.written.count(b'HTTP/1.1 200') == len(sent)


@given(chunked=st.booleans(), kept=st.integers(0, 400), cuts=cuts)
def test_a_request_that_is_cut_anywhere_is_not_handled(chunked, kept, cuts):
    """Guards against a target that gets a part of a request."""
    whole = encode(0, chunked=chunked)
    handler, _ = serve(whole[: kept % len(whole)], cuts)
    assert not handler.exchanges


@given(
    position=st.integers(0, 400),
    replacement=st.binary(max_size=6),
    removed=st.integers(0, 6),
    chunked=st.booleans(),
    cuts=cuts,
)
@example(6, b'', 2, False, [])
@example(130, b'', 2, False, [])
def test_a_damaged_request_stops_nothing(
    position, replacement, removed, chunked, cuts
):
    """Guards against an exception, and more answers than requests."""
    whole = encode(0, chunked=chunked) + encode(1)
    start = position % (len(whole) + 1)
    damaged = whole[:start] + replacement + whole[start + removed :]
    handler, transport = serve(damaged, cuts)
    answered = transport.written.count(b'HTTP/1.1 200')
    assert answered == len(handler.exchanges)
    assert transport.written.count(b'HTTP/1.1 4') <= 1
    assert all(
        len(one.request.body) <= MAX_BODY_BYTES for one in handler.exchanges
    )
