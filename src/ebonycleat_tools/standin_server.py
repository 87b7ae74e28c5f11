"""What the stand-ins share: an HTTP server that can fail on purpose."""

import contextlib
import dataclasses
import errno
import http
import json
import logging
import select
import socket
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import TYPE_CHECKING, Any, NoReturn, TypeAlias, TypeVar
from urllib.parse import parse_qsl

import msgspec
from cheroot import wsgi

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

Environ: TypeAlias = dict[str, Any]
StartResponse: TypeAlias = Callable[..., Any]
WsgiApplication: TypeAlias = Callable[[Environ, StartResponse], Iterable[bytes]]

FieldsT = TypeVar('FieldsT', bound='DataclassInstance')

SOCKET_IN_ENVIRON = 'ebonycleat.socket'
HEADER_PREFIX = 'HTTP_'
# cheroot closes all but 10 idle connections by default, and a client that
# sends at that moment sees a broken connection.
IDLE_CONNECTIONS = 4096
ACCEPT_QUEUE_LENGTH = 512
SHUTDOWN_S = 2
# How long a stopped server may go on waiting for a client.
LEAVE_STEP_S = 0.25
MS_PER_S = 1000
CLIENT_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR

logger = logging.getLogger(__name__)


class _Gateway(wsgi.Gateway_10):
    """Shows the socket to the application, so it can see a client leave."""

    # cheroot's stubs declare no result for this method.
    def get_environ(self) -> Any:  # noqa: WPS615 (cheroot's name)
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_IN_ENVIRON] = self.req.conn.socket
        return environ


class _Server(wsgi.Server):
    """Writes its errors as log lines, not to standard error."""

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Write one line, with the exception being handled if wanted."""
        logger.log(level, 'server: %s', msg, exc_info=traceback)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Number of ``threads`` is how many requests are read at a time."""

    address: str
    port: int
    threads: int


@dataclasses.dataclass(frozen=True, slots=True)
class StandinRequest:
    """One request, read whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    socket: Any


@dataclasses.dataclass(frozen=True, slots=True)
class StandinResponse:
    """One answer; only ``sent_bytes`` of the body are sent, if given."""

    status: int
    body: bytes = b''
    content_type: str = 'application/octet-stream'
    headers: tuple[tuple[str, str], ...] = ()
    sent_bytes: int | None = None


Handler: TypeAlias = Callable[[StandinRequest], StandinResponse]


def json_response(
    fields: object,
    status: int = http.HTTPStatus.OK,
) -> StandinResponse:
    """An answer for people and tests."""
    body = json.dumps(fields, indent=1).encode()
    return StandinResponse(status, body, 'application/json')


def text_response(status: int, text: str) -> StandinResponse:
    """An error that says what to do."""
    return StandinResponse(status, text.encode(), 'text/plain; charset=utf-8')


def replace_fields(
    current: FieldsT,
    changes: Mapping[str, object],
) -> FieldsT:
    """Replace fields of a dataclass; raises ``msgspec.ValidationError``."""
    known = {field.name for field in dataclasses.fields(current)}
    unknown = sorted(changes.keys() - known)
    if unknown:
        raise msgspec.ValidationError(
            f'unknown names {unknown}, allowed are {sorted(known)}',
        )
    fields = dataclasses.asdict(current)
    fields.update(changes)
    return msgspec.convert(fields, type(current))


def abort_connection() -> NoReturn:
    """Close the connection without an answer; call it in a handler."""
    raise ConnectionAbortedError(errno.ECONNABORTED, 'closed on purpose')


def wait_for_disconnect(
    wait_s: float,
    connection: socket.socket,
    stopped: threading.Event,
    clock: Callable[[], float],
) -> bool:
    """Wait as if at work; True at once when the client closes.

    A client that sends the next request early cannot be told from one that
    stays, so the wait then ends without looking at the connection.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLRDHUP)
    deadline = clock() + wait_s
    while not stopped.is_set():
        left_s = deadline - clock()
        if left_s <= 0:
            return False
        events = poller.poll(min(left_s, LEAVE_STEP_S) * MS_PER_S)
        if any(event & CLIENT_LEFT for _, event in events):
            return True
        if events:
            stopped.wait(left_s)
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class StandinApplication:
    """A WSGI application that hands whole requests to ``answer``."""

    answer: Handler
    max_body_bytes: int

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request of the server."""
        answer = self._answer_within_limit(environ)
        start_response(
            f'{answer.status} {http.HTTPStatus(answer.status).phrase}',
            [
                ('Content-Type', answer.content_type),
                ('Content-Length', str(len(answer.body))),
                *answer.headers,
            ],
        )
        return _send_body(answer)

    def _answer_within_limit(self, environ: Environ) -> StandinResponse:
        declared_bytes = int(environ.get('CONTENT_LENGTH') or 0)
        if declared_bytes > self.max_body_bytes:
            return text_response(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'at most {self.max_body_bytes} bytes are allowed',
            )
        return self.answer(_read_request(environ))


@contextlib.contextmanager
def serve(
    listen: ServerOptions,
    application: WsgiApplication,
    stop: Callable[[], object],
) -> Iterator[int]:
    """Serve until the block ends; gives the port.

    ``stop`` must end the waits of handlers, so that their threads finish.
    """
    server = _Server(
        (listen.address, listen.port),
        application,
        numthreads=listen.threads,
        request_queue_size=ACCEPT_QUEUE_LENGTH,
        shutdown_timeout=SHUTDOWN_S,
    )
    server.gateway = _Gateway
    server.keep_alive_conn_limit = IDLE_CONNECTIONS
    server.prepare()
    thread = threading.Thread(target=server.serve, name='standin-server')
    thread.start()
    try:
        yield server.bind_addr[1]
    finally:
        _shut_down(server, thread, stop)


def _shut_down(
    server: wsgi.Server,
    thread: threading.Thread,
    stop: Callable[[], object],
) -> None:
    stop()
    server.stop()
    thread.join()


def _send_body(answer: StandinResponse) -> Iterator[bytes]:
    if answer.sent_bytes is None:
        yield answer.body
        return
    yield answer.body[: answer.sent_bytes]
    abort_connection()


def _read_request(environ: Environ) -> StandinRequest:
    headers = {
        name.removeprefix(HEADER_PREFIX).replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith(HEADER_PREFIX)
    }
    return StandinRequest(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        dict(parse_qsl(environ['QUERY_STRING'])),
        headers,
        environ['wsgi.input'].read(),
        environ[SOCKET_IN_ENVIRON],
    )
