"""HTTP front for callers and operators on cherrypy's server.

Worker threads only move bytes: they parse a request, hand it to the loop
and wait for the answer. A grafted WSGI application avoids the dispatch
machinery of cherrypy's page handlers, which costs a third of the calls a
second that one node can serve.
"""

import abc
import contextlib
import dataclasses
import json
import threading
import uuid
from collections.abc import Callable, Iterable, Iterator
from concurrent import futures
from http import HTTPStatus
from typing import Any, TypeAlias

from cheroot import wsgi

from ebonycleat.internal.request.incoming import (
    IncomingRequest,
    OutgoingResponse,
    create_incoming_request,
)
from ebonycleat.internal.request.outgoing import refuse_request, render_refusal
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_not_run,
    refuse_outcome_unknown,
)

Environment: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[[str, list[tuple[str, str]]], Any]
WsgiApplication: TypeAlias = Callable[
    [Environment, StartResponse],
    Iterable[bytes],
]

OPERATOR_PATH = '/-/ebonycleat/operator'
HEALTH_PATH = '/-/ebonycleat/health'
# Threads above slots and queue, so that a full node can still refuse.
SPARE_THREADS = 16
# The decisions answer each request by its deadline; a longer wait means
# that the loop stopped, which callers must not wait for.
ANSWER_WAIT_S = 75.0
ACCEPT_BACKLOG = 2048
# The server closes idle connections beyond this; its default of 10 would
# make hundreds of connected callers connect again for each request.
MAX_IDLE_CONNECTIONS = 8192


class RequestHandler(abc.ABC):
    """Where the HTTP front hands requests over; called on its threads."""

    @abc.abstractmethod
    def submit(
        self,
        request: IncomingRequest,
    ) -> futures.Future[OutgoingResponse]:
        """Start a caller's request."""

    @abc.abstractmethod
    def submit_operator(
        self,
        request: IncomingRequest,
    ) -> futures.Future[OutgoingResponse]:
        """Start an operator's request."""

    @abc.abstractmethod
    def health(self) -> OutgoingResponse:
        """Tell whether this node takes requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpLimits:
    """Sizes of the HTTP front.

    ``concurrent_requests`` is slots plus queue length of the target;
    ``body_bytes`` bounds the body of one request.
    """

    concurrent_requests: int
    max_body_bytes: int


class HttpApplication:
    """The WSGI application of one node."""

    def __init__(self, handler: RequestHandler, limits: HttpLimits) -> None:
        """Serve ``port`` within ``limits``."""
        self.handler = handler
        self.limits = limits
        self.free_places = threading.Semaphore(limits.concurrent_requests)

    def __call__(
        self,
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one HTTP request."""
        answer = self.answer(environment)
        status = HTTPStatus(answer.status)
        headers = [*answer.headers, ('Content-Length', str(len(answer.body)))]
        start_response(f'{status.value} {status.phrase}', headers)
        return [answer.body]

    def answer(self, environment: Environment) -> OutgoingResponse:
        """Produce the answer to one HTTP request."""
        request_id = uuid.uuid4().hex
        if environment['PATH_INFO'] == HEALTH_PATH:
            return self.handler.health()
        # Without its body, which may be too large to be read at all.
        request = create_incoming_request(
            request_id,
            environment['REQUEST_METHOD'],
            # The raw form: PATH_INFO has lost the percent encoding.
            environment['REQUEST_URI'],
            _headers(environment),
            b'',
        )
        if not self.free_places.acquire(blocking=False):
            return refuse_request(request, _SATURATED)
        with self.place_freed():
            body = self.read_body(environment)
            if isinstance(body, Refusal):
                return refuse_request(request, body)
            return self.wait_for_answer(
                dataclasses.replace(request, body=body),
            )

    @contextlib.contextmanager
    def place_freed(self) -> Iterator[None]:
        """Free the request's place at the end."""
        try:
            yield
        finally:
            self.free_places.release()

    def read_body(self, environment: Environment) -> bytes | Refusal:
        """Read the body; refuse one that is too large or cut off."""
        declared = environment.get('CONTENT_LENGTH') or '0'
        is_chunked = 'HTTP_TRANSFER_ENCODING' in environment
        if is_chunked or not declared.isdecimal():
            return refuse_not_run(
                Reason.BAD_REQUEST,
                'send the body with a Content-Length and not in chunks',
            )
        length = int(declared)
        if length > self.limits.max_body_bytes:
            return refuse_not_run(
                Reason.BAD_REQUEST,
                f'the body has {length} bytes; '
                f'send at most {self.limits.max_body_bytes}',
            )
        if not length:
            return b''
        body: bytes = environment['wsgi.input'].read(length)
        if len(body) == length:
            return body
        return refuse_not_run(Reason.BAD_REQUEST, 'the body is cut off')

    def wait_for_answer(self, request: IncomingRequest) -> OutgoingResponse:
        """Hand the request to the loop and wait."""
        if request.path == OPERATOR_PATH:
            future = self.handler.submit_operator(request)
        else:
            future = self.handler.submit(request)
        try:
            return future.result(ANSWER_WAIT_S)
        except (TimeoutError, futures.CancelledError):
            return render_refusal(request.request_id, _STOPPED)


@contextlib.contextmanager
def run_http_server(
    application: WsgiApplication,
    limits: HttpLimits,
    host: str,
    port: int,
) -> Iterator[int]:
    """Serve on cherrypy's server while the context is open.

    Yields the bound port. Raises ``OSError`` when the address is taken.
    """
    server = create_http_server(application, limits, host, port)
    server.prepare()
    thread = threading.Thread(target=server.serve, name='http-accept')
    thread.start()
    try:
        yield server.bind_addr[1]
    finally:
        server.stop()
        thread.join()


def create_http_server(
    application: WsgiApplication,
    limits: HttpLimits,
    host: str,
    port: int,
) -> Any:
    """Create a server with a thread for each request it may hold."""
    server = wsgi.Server(
        (host, port),
        application,
        numthreads=limits.concurrent_requests + SPARE_THREADS,
        request_queue_size=ACCEPT_BACKLOG,
        server_name='ebonycleat',
    )
    server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    server.max_request_body_size = limits.max_body_bytes * 2
    return server


_SATURATED = refuse_not_run(
    Reason.NODE_SATURATED,
    'this node holds as many requests as its target can queue',
    retry_after_s=1,
)

_STOPPED = refuse_outcome_unknown(
    Reason.OUTCOME_UNKNOWN,
    'the node stopped before it knew the outcome',
)


def _headers(environment: Environment) -> dict[str, str]:
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environment.items()
        if name.startswith('HTTP_')
    }
    if environment.get('CONTENT_TYPE'):
        headers['content-type'] = environment['CONTENT_TYPE']
    return headers


def create_health_answer(*, serving: bool, version: int) -> OutgoingResponse:
    """Render the health answer of a node."""
    status = HTTPStatus.OK if serving else HTTPStatus.SERVICE_UNAVAILABLE
    body = json.dumps({'serving': serving, 'version': version}).encode()
    return OutgoingResponse(
        status, (('Content-Type', 'application/json'),), body
    )
