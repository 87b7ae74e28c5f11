"""The target client: complete answers, or failures with a true outcome."""

import itertools

import pytest

from ebonycleat.internal.connection.target_client import (
    REASON_BY_FAILURE_KIND,
    TargetFailureKind,
    TargetResponse,
    create_target_client,
)
from ebonycleat.internal.request.refusal import Outcome
from tests.scripted_server import find_free_port, run_scripted_server

COMPLETE = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n'
)
AMPLE_TIMEOUT_S = 30


def _send(client, method='POST', headers=(), timeout_s=AMPLE_TIMEOUT_S):
    return client.send(method, '/path?x=1', headers, b'body', timeout_s)


def _send_once(*answers, closing=False, timeout_s=AMPLE_TIMEOUT_S):
    with (
        run_scripted_server(*answers, closing=closing) as server,
        create_target_client('127.0.0.1', server.port, 2) as client,
    ):
        return _send(client, timeout_s=timeout_s)


@pytest.mark.parametrize('answer', [COMPLETE, CHUNKED])
def test_a_complete_answer_is_returned_completely(answer):
    """Guards against bytes of the framing leaking into the body."""
    result = _send_once(answer)
    assert isinstance(result, TargetResponse)
    assert (result.status, result.body) == (200, b'hello')


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (COMPLETE[:-1], TargetFailureKind.TRUNCATED),
        (COMPLETE[:-5], TargetFailureKind.TRUNCATED),
        (CHUNKED[:-7], TargetFailureKind.TRUNCATED),
        (CHUNKED[:-14], TargetFailureKind.TRUNCATED),
        (b'HTTP/1.1 200 OK\r\n\r\nhello', TargetFailureKind.UNDECLARED_LENGTH),
        (b'', TargetFailureKind.BROKEN),
        (b'HTTP/1.1 200', TargetFailureKind.UNDECLARED_LENGTH),
        (b'nonsense\r\n\r\n', TargetFailureKind.BROKEN),
        (b'HTTP/1.1 103 Early\r\n\r\n%s' % COMPLETE, TargetFailureKind.BROKEN),
        (b'HTTP/1.1 101 Odd\r\n\r\n%s' % COMPLETE, TargetFailureKind.BROKEN),
        (COMPLETE.replace(b'200', b'000'), TargetFailureKind.BROKEN),
        (COMPLETE.replace(b'200', b'7'), TargetFailureKind.BROKEN),
        (COMPLETE.replace(b'200', b'600'), TargetFailureKind.BROKEN),
        (COMPLETE.replace(b'200', b'999'), TargetFailureKind.BROKEN),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n'
            b'Content-Length: 6\r\n\r\nhello',
            TargetFailureKind.BROKEN,
        ),
    ],
)
def test_an_incomplete_answer_is_a_failure_of_unknown_outcome(
    answer,
    kind,
):
    """Guards against a cut-off answer being passed on as complete."""
    result = _send_once(answer, closing=True)
    assert (result.kind, result.outcome) == (kind, Outcome.UNKNOWN)


def test_a_request_whose_connection_is_refused_did_not_run():
    """Guards against omitting retries that would be safe."""
    with create_target_client('127.0.0.1', find_free_port(), 2) as client:
        result = _send(client)
    assert result.kind is TargetFailureKind.NOT_CONNECTED
    assert result.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('answer', [None, COMPLETE[:-2]])
def test_a_late_answer_is_unknown_and_its_connection_is_not_reused(answer):
    """Guards against the late answer reaching the next request."""
    with (
        run_scripted_server(answer, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        late = _send(client, timeout_s=0.05)
        second = _send(client)
        assert server.connections == 2
    assert (late.kind, late.outcome) == (
        TargetFailureKind.TIMED_OUT,
        Outcome.UNKNOWN,
    )
    assert second.body == b'second'


def test_an_answer_received_in_small_pieces_ends_at_the_deadline():
    """Guards against a time-out that starts again with each read."""
    instants = itertools.count()
    with (
        run_scripted_server(COMPLETE) as server,
        create_target_client(
            '127.0.0.1',
            server.port,
            1,
            clock=lambda: next(instants),
        ) as client,
    ):
        result = _send(client, timeout_s=1)
    assert result.kind is TargetFailureKind.TIMED_OUT


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_no_request_uses_a_connection_on_which_another_was_refused(status):
    """Guards against a repeated refusal that answers a later request."""
    refusal = COMPLETE.replace(b'200', str(status).encode())
    with (
        run_scripted_server(refusal, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        statuses = [_send(client).status for _ in range(2)]
        assert server.connections == 2
    assert statuses == [status, 200]


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 204 No Content',
        b'HTTP/1.1 204 No Content\r\nServer: a\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer',
    ],
)
def test_a_head_that_ends_with_its_connection_is_no_answer(answer):
    """Guards against a success whose headers and body are incomplete."""
    result = _send_once(answer, closing=True)
    assert (result.kind, result.outcome) == (
        TargetFailureKind.TRUNCATED,
        Outcome.UNKNOWN,
    )


def test_connections_are_reused_after_complete_answers():
    """Guards against a new connection, which takes 1 ms, for each request."""
    with (
        run_scripted_server(COMPLETE, CHUNKED, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        bodies = [_send(client).body for _ in range(3)]
        assert server.connections == 1
    assert bodies == [b'hello', b'hello', b'second']


def _named(answer, call_id):
    return answer.replace(
        b'\r\n', b'\r\nEbonycleat-Call-Id: %d\r\n' % call_id, 1
    )


@pytest.mark.parametrize('late', [COMPLETE, _named(COMPLETE, 1)])
def test_a_late_copy_of_an_answer_answers_no_later_request(late):
    """Guards against the answer to another request on a kept connection."""
    first = _named(COMPLETE, 1)
    with (
        run_scripted_server(
            first, late + _named(SECOND, 2), SECOND, names_calls=False
        ) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        results = [_send(client) for _ in range(3)]
        assert server.connections == 2
    assert [one.body for one in (results[0], results[2])] == [
        b'hello',
        b'second',
    ]
    assert results[1].kind is TargetFailureKind.FOREIGN
    assert results[1].outcome is Outcome.UNKNOWN


def test_answers_that_name_no_request_end_their_connections():
    """Guards against copies that cannot be told from the next answer."""
    with (
        run_scripted_server(COMPLETE, SECOND, names_calls=False) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        bodies = [_send(client).body for _ in range(2)]
        assert server.connections == 2
    assert bodies == [b'hello', b'second']


def test_the_name_of_a_call_is_not_passed_on():
    """Guards against a header of this hop in the caller's answer."""
    assert _send_once(COMPLETE).headers == (('Content-Length', '5'),)


def test_a_request_on_a_stale_connection_is_not_retried_by_the_client():
    """Guards against a request that runs twice after a broken connection."""
    with (
        run_scripted_server(COMPLETE, b'', SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        _send(client)
        broken = _send(client)
        assert len(server.requests) == 2
    assert (broken.kind, broken.outcome) == (
        TargetFailureKind.BROKEN,
        Outcome.UNKNOWN,
    )


@pytest.mark.parametrize('answer', [COMPLETE, CHUNKED.replace(b'0\r\n', b'')])
def test_an_answer_over_the_maximum_size_is_not_read_further(answer):
    """Guards against one answer that uses all the memory of the node."""
    with (
        run_scripted_server(answer, SECOND) as server,
        create_target_client('127.0.0.1', server.port, 1, 4) as client,
    ):
        assert _send(client).kind is TargetFailureKind.TOO_LARGE
        assert _send(client).kind is TargetFailureKind.TOO_LARGE
        assert server.connections == 2


def test_redirects_are_returned_as_answers():
    """Guards against sending a request on to another server."""
    moved = (
        b'HTTP/1.1 307 Moved\r\nLocation: /x\r\nContent-Length: 0\r\n'
        b'Set-Cookie: a\r\nSet-Cookie: b\r\n\r\n'
    )
    result = _send_once(moved)
    assert result.status == 307
    assert result.headers.count(('Set-Cookie', 'a')) == 1
    assert result.headers.count(('Set-Cookie', 'b')) == 1


@pytest.mark.parametrize(
    ('method', 'path', 'header'),
    [
        ('POST', 'http://10.0.0.1/', ('X-Name', 'a')),
        ('PO ST', '/', ('X-Name', 'a')),
        ('POST', '/', ('X-Name', 'a\r\nInjected: b')),
        ('POST', '/', ('X Name', 'a')),
        ('POST', '/', ('X-Name', '\u20ac')),
    ],
)
def test_a_request_that_cannot_be_sent_did_not_run(method, path, header):
    """Guards against header injection and requests to other servers."""
    with (
        run_scripted_server(COMPLETE) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        result = client.send(method, path, (header,), b'', AMPLE_TIMEOUT_S)
        assert not server.requests
    assert result.kind is TargetFailureKind.INVALID_REQUEST
    assert result.outcome is Outcome.NOT_RUN


def test_framing_headers_of_the_caller_are_replaced():
    """Guards against a second request smuggled inside the body."""
    headers = (
        ('Transfer-Encoding', 'chunked'),
        ('Content-Length', '1'),
        ('X-Kept', 'yes'),
    )
    with (
        run_scripted_server(COMPLETE) as server,
        create_target_client('127.0.0.1', server.port, 1) as client,
    ):
        _send(client, headers=headers)
        request = server.requests[0]
    assert request.startswith(b'POST /path?x=1 HTTP/1.1\r\n')
    assert b'Transfer-Encoding' not in request
    assert b'Content-Length: 4\r\n' in request
    assert b'X-Kept: yes\r\n' in request
    assert b'User-Agent' not in request
    assert request.endswith(b'\r\n\r\nbody')


def test_nothing_is_sent_when_no_time_is_left():
    """Guards against work that starts after its deadline."""
    result = _send_once(COMPLETE, timeout_s=0)
    assert result.kind is TargetFailureKind.NO_TIME_LEFT
    assert result.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize('kind', list(TargetFailureKind))
def test_every_failure_has_a_reason(kind):
    """Guards against a failure that ends in a KeyError."""
    assert REASON_BY_FAILURE_KIND[kind]
