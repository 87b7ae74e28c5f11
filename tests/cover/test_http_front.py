"""The HTTP front, called as a WSGI server calls it."""

import io
import json
from concurrent.futures import Future

from ebonycleat.internal.process.http_server import (
    OPERATOR_PATH,
    RequestHandler,
    HttpApplication,
    HttpLimits,
    create_health_answer,
)
from ebonycleat.internal.request.incoming import OutgoingResponse, digest_key

KEY = 'key-that-nobody-may-see'


class FakePort(RequestHandler):
    """Keeps what is handed over and answers at once."""

    def __init__(self) -> None:
        self.requests = []
        self.operator_requests = []

    def submit(self, request):
        """Answer a caller."""
        self.requests.append(request)
        return done(b'whole answer')

    def submit_operator(self, request):
        """Answer an operator."""
        self.operator_requests.append(request)
        return done(b'{}')

    def health(self):
        """Serve."""
        return create_health_answer(serving=True, version=7)


def done(body: bytes) -> Future[OutgoingResponse]:
    future: Future[OutgoingResponse] = Future()
    future.set_result(OutgoingResponse(200, (('X-Seen', 'yes'),), body))
    return future


def call(application, path='/map/a%20b?q=1', body=b'', **headers):
    """Send one request; return status, headers and body."""
    started = []
    environment = {
        'REQUEST_METHOD': 'POST',
        'REQUEST_URI': path,
        'PATH_INFO': path.partition('?')[0],
        'CONTENT_LENGTH': str(len(body)),
        'wsgi.input': io.BytesIO(body),
        **headers,
    }
    parts = application(environment, lambda *head: started.append(head))
    status, pairs = started[0]
    return status, dict(pairs), b''.join(parts)


def create_application(places: int = 4) -> tuple[HttpApplication, FakePort]:
    port = FakePort()
    return HttpApplication(port, HttpLimits(places, max_body_bytes=10)), port


def test_the_key_is_replaced_by_its_digest_and_the_path_stays_encoded():
    """Guards against a key that travels on, and against decoded paths."""
    application, port = create_application()
    status, headers, body = call(
        application,
        HTTP_AUTHORIZATION=f'Bearer {KEY}',
        HTTP_X_OTHER='dropped',
        HTTP_ACCEPT='text/plain',
    )
    request = port.requests[0]
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
    """Guards against a body that fills the memory of the node."""
    application, port = create_application()
    status, headers, body = call(application, body=b'x' * 11)
    assert status.startswith('400')
    assert headers['Ebonycleat-Outcome'] == 'not-run'
    assert json.loads(body)['reason'] == 'bad-request'
    assert not port.requests


def test_a_body_that_is_cut_off_is_refused():
    """Guards against running half a request."""
    application, port = create_application()
    status, _, _ = call(application, body=b'half', CONTENT_LENGTH='9')
    assert status.startswith('400')
    assert not port.requests


def test_a_body_in_chunks_is_refused():
    """Guards against running a request without the body it came with."""
    application, port = create_application()
    chunked = call(application, HTTP_TRANSFER_ENCODING='chunked')
    negative = call(application, CONTENT_LENGTH='-1')
    assert chunked[0].startswith('400')
    assert negative[0].startswith('400')
    assert not port.requests


def test_a_full_node_refuses_truthfully():
    """Guards against a caller that waits in silence for a free thread."""
    application, _ = create_application(places=0)
    status, headers, _ = call(application)
    assert status.startswith('503')
    assert headers['Ebonycleat-Reason'] == 'node-saturated'
    assert headers['Ebonycleat-Outcome'] == 'not-run'
    assert headers['Retry-After'] == '1'
    repeated = call(application, HTTP_IDEMPOTENCY_KEY='k')
    assert repeated[1]['Ebonycleat-Outcome'] == 'unknown'


def test_operators_and_health_have_their_own_paths():
    """Guards against operators' requests that are routed as calls."""
    application, port = create_application()
    call(application, path=OPERATOR_PATH, body=b'{}')
    _, _, health = call(application, path='/-/ebonycleat/health')
    assert len(port.operator_requests) == 1
    assert json.loads(health) == {'serving': True, 'version': 7}
    assert not port.requests
