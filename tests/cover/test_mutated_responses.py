"""Responses that are cut, delayed, copied or damaged on their way."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    OutgoingRequest,
    SendFailure,
)
from ebonycleat.internal.connection.http_client import (
    ClientConnection,
    ConnectionOwner,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    find_header,
)

STATUSES = (200, 204, 304, 404, 429, 503)
BODY = b'the whole body'


class RecordingOwner(ConnectionOwner):
    """A pool of one connection."""

    def __init__(self):
        self.idle = []
        self.held = 0

    def release(self, connection):
        connection.idle_since = 1
        self.idle.append(connection)

    def remove(self, connection):
        if connection in self.idle:
            self.idle.remove(connection)

    def record_refusal(self, connection, request_id):
        """Each request has an id of its own."""

    def count_unmatched_response(self):
        """Copies are expected here."""

    def hold_bytes(self, count, is_small):
        self.held += count
        return True

    def hold_anyway(self, count):
        self.held += count

    def free_bytes(self, count):
        self.held -= count

    def await_room(self, resume):
        """There is always room."""


class FakeTransport:
    """Notes that the connection was closed."""

    def __init__(self):
        self.closed = False

    def write(self, sent):
        """Requests go nowhere."""

    def abort(self):
        self.closed = True

    def is_closing(self):
        return self.closed


class OneConnection:
    """A connection on which requests named by numbers are sent."""

    def __init__(self):
        self.owner = RecordingOwner()
        self.connection = ClientConnection(self.owner)
        self.transport = FakeTransport()
        self.connection.connection_made(self.transport)
        self.results = []

    def send(self, name, *, is_head=False):
        request = OutgoingRequest(
            b'',
            lambda headers: find_header(headers, 'id') in {name, ''},
            is_head=is_head,
            is_identified_response=lambda headers: (
                find_header(headers, 'id') == name
            ),
        )
        self.connection.start(InFlightRequest(request, self.results.append))

    def receive(self, received, cuts=()):
        """Deliver bytes in pieces, as long as the connection is open."""
        starts = [0, *sorted(cut % (len(received) + 1) for cut in cuts)]
        for start, end in zip(starts, [*starts[1:], None], strict=True):
            if not self.transport.closed and received[start:end]:
                self.connection.data_received(received[start:end])

    def take_result(self):
        """Return the one result of the one request."""
        assert len(self.results) == 1
        return self.results[0]

    def end(self):
        """End the connection as its other side would."""
        if not self.transport.closed:
            self.connection.eof_received()
        self.connection.connection_lost(None)


def encode(name, status=200, *, chunked=False, body=BODY, has_body=True):
    lines = [f'HTTP/1.1 {status} Text', f'id: {name}', 'x-more: header']
    if chunked:
        lines.append('transfer-encoding: chunked')
        framed = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    else:
        lines.append(f'content-length: {len(body)}')
        framed = body
    if status in {204, 304} or not has_body:
        framed = b''
    return '\r\n'.join([*lines, '', '']).encode() + framed


cuts = st.lists(st.integers(0, 500), max_size=4)
names = st.sampled_from(['0', 'other', ''])


@given(
    status=st.sampled_from(STATUSES),
    chunked=st.booleans(),
    cuts=cuts,
    is_head=st.booleans(),
)
def test_a_whole_response_is_accepted_in_any_pieces(
    status, chunked, cuts, is_head
):
    """Guards against a response that depends on the sizes of packets."""
    one = OneConnection()
    one.send('0', is_head=is_head)
    one.receive(
        encode('0', status, chunked=chunked, has_body=not is_head), cuts
    )
    result = one.take_result()
    body = b'' if is_head or status in {204, 304} else BODY
    assert (result.status, result.body) == (status, body)
    assert one.owner.held == 0


@given(
    status=st.sampled_from(STATUSES),
    chunked=st.booleans(),
    kept=st.integers(0, 400),
    cuts=cuts,
    is_head=st.booleans(),
    interim=st.booleans(),
)
@example(200, False, 25, [], False, True)
def test_a_response_that_is_cut_anywhere_is_a_failure(
    status, chunked, kept, cuts, is_head, interim
):
    """Guards against a part of an answer that is delivered as the whole."""
    whole = encode('0', status, chunked=chunked, has_body=not is_head)
    if interim:
        whole = b'HTTP/1.1 100 Continue\r\n\r\n' + whole
    one = OneConnection()
    one.send('0', is_head=is_head)
    one.receive(whole[: kept % len(whole)], cuts)
    one.end()
    result = one.take_result()
    assert isinstance(result, SendFailure)
    assert result.was_sent
    assert one.owner.held == 0


@given(
    copies=st.lists(st.tuples(names, st.sampled_from(STATUSES)), max_size=3),
    cuts=cuts,
    chunked=st.booleans(),
)
@example([('', 503)], [], False)
def test_copies_of_earlier_responses_never_answer_a_later_request(
    copies, cuts, chunked
):
    """Guards against an answer, or a "not run", of another request."""
    one = OneConnection()
    one.send('0')
    one.receive(encode('0', body=b'first'))
    one.send('1')
    late = b''.join(encode(name, status) for name, status in copies)
    one.receive(late + encode('1', chunked=chunked), cuts)
    _, result = one.results
    assert (result.status, result.body) == (200, BODY)
    assert bool(one.owner.idle) is not bool(copies)


@pytest.mark.parametrize('is_head', [False, True])
@given(
    position=st.integers(0, 400),
    replacement=st.binary(max_size=6),
    removed=st.integers(0, 6),
    chunked=st.booleans(),
    cuts=cuts,
)
def test_a_damaged_response_has_one_result_and_stops_nothing(
    is_head, position, replacement, removed, chunked, cuts
):
    """Guards against an exception, or a request without any result."""
    whole = encode('0', chunked=chunked, has_body=not is_head)
    start = position % (len(whole) + 1)
    damaged = whole[:start] + replacement + whole[start + removed :]
    one = OneConnection()
    one.send('0', is_head=is_head)
    one.receive(damaged, cuts)
    one.end()
    result = one.take_result()
    assert isinstance(result, (HttpResponse, SendFailure))
    assert one.owner.held == 0
    assert not one.owner.idle
