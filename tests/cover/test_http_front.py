"""The HTTP server of a node, called as a WSGI application."""

import io
import json
from concurrent.futures import Future

from ebonycleat.internal.process.http_server import (
    OPERATOR_PATH,
    HttpApplication,
    HttpLimits,
    RequestHandler,
    create_health_answer,
)
from ebonycleat.internal.request.incoming import OutgoingResponse, digest_key

KEY = 'key-that-nobody-may-see'


class FakeRequestHandler(RequestHandler):
    """Records the requests and answers them at once."""

    def __init__(self) -> None:
        self.requests = []
        self.operator_requests = []

    def submit(self, request):
        """Answer a caller."""
        self.requests.append(request)
        return completed_future(b'whole answer')

    def submit_operator(self, request):
        """Answer an operator."""
        self.operator_requests.append(request)
        return completed_future(b'{}')

    def health(self):
        """Report that the node accepts requests."""
        return create_health_answer(serving=True, version=7)


def completed_future(body: bytes) -> Future[OutgoingResponse]:
    future: Future[OutgoingResponse] = Future()
    future.set_result(OutgoingResponse(200, (('X-Seen', 'yes'),), body))
    return future


def send_request(application, path='/map/a%20b?q=1', body=b'', **headers):
    """Send one request; return the status, headers and body of the response."""
    response_starts = []
    environment = {
        'REQUEST_METHOD': 'POST',
        'REQUEST_URI': path,
        'PATH_INFO': path.partition('?')[0],
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
        **headers,
    }
    chunks = application(
        environment, lambda *head: response_starts.append(head)
    )
    status, header_pairs = response_starts[0]
    return status, dict(header_pairs), b''.join(chunks)


def create_application(
    concurrent_requests: int = 4,
) -> tuple[HttpApplication, FakeRequestHandler]:
    handler = FakeRequestHandler()
    return HttpApplication(
        handler, HttpLimits(concurrent_requests, max_body_bytes=10)
    ), handler


def test_the_key_is_replaced_by_its_digest_and_the_path_stays_encoded():
    """Guards against passing on the key, and against decoding the path."""
    application, handler = create_application()
    status, headers, body = send_request(
        application,
        HTTP_AUTHORIZATION=f'Bearer {KEY}',
        HTTP_X_OTHER='dropped',
        HTTP_ACCEPT='text/plain',
    )
    request = handler.requests[0]
    assert (status, headers['X-Seen'], body) == (
        '200 OK',
        'yes',
        b'whole answer',
    )
    assert request.key_digest == digest_key(KEY)
    assert KEY not in repr(request)
    assert request.headers == (('accept', 'text/plain'),)
    assert request.path == '/map/a%20b?q=1'


def test_a_body_over_the_limit_is_refused_without_being_read():
    """Guards against large bodies that exhaust the memory of the node."""
    application, handler = create_application()
    status, headers, body = send_request(application, body=b'x' * 11)
    assert status.startswith('400')
    assert headers['Ebonycleat-Outcome'] == 'not-run'
    assert json.loads(body)['reason'] == 'bad-request'
    assert not handler.requests


def test_a_truncated_body_is_refused():
    """Guards against running a request with only part of its body."""
    application, handler = create_application()
    status, _, _ = send_request(application, body=b'half', CONTENT_LENGTH='9')
    assert status.startswith('400')
    assert not handler.requests


def test_a_body_without_a_valid_length_is_refused():
    """Guards against running a request without its body.

    The server reads only bodies whose length is declared.
    """
    application, handler = create_application()
    chunked_response = send_request(
        application, HTTP_TRANSFER_ENCODING='chunked'
    )
    negative_length_response = send_request(application, CONTENT_LENGTH='-1')
    assert chunked_response[0].startswith('400')
    assert negative_length_response[0].startswith('400')
    assert not handler.requests


def test_a_saturated_node_refuses_with_the_right_outcome():
    """Guards against callers that wait without an answer for a free thread."""
    application, _ = create_application(concurrent_requests=0)
    status, headers, _ = send_request(application)
    assert status.startswith('503')
    assert headers['Ebonycleat-Reason'] == 'node-saturated'
    assert headers['Ebonycleat-Outcome'] == 'not-run'
    assert headers['Retry-After'] == '1'
    repeated_response = send_request(application, HTTP_IDEMPOTENCY_KEY='k')
    assert repeated_response[1]['Ebonycleat-Outcome'] == 'unknown'


def test_operators_and_health_have_their_own_paths():
    """Guards against routing operators' requests like those of callers."""
    application, handler = create_application()
    send_request(application, path=OPERATOR_PATH, body=b'{}')
    _, _, health = send_request(application, path='/-/ebonycleat/health')
    assert len(handler.operator_requests) == 1
    assert json.loads(health) == {'serving': True, 'version': 7}
    assert not handler.requests
