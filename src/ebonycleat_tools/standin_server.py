"""HTTP server of the stand-ins; handlers can make connections fail."""

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

SOCKET_KEY = 'ebonycleat.socket'
HEADER_PREFIX = 'HTTP_'
# By default cheroot keeps only 10 idle connections and closes the others. A
# client that sends a request at that moment gets a connection error.
MAX_IDLE_CONNECTIONS = 4096
ACCEPT_QUEUE_LENGTH = 512
SHUTDOWN_TIMEOUT_S = 2
# Interval at which a handler that waits for a disconnect checks whether the
# server is stopping.
DISCONNECT_POLL_S = 0.25
MS_PER_S = 1000
DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR

logger = logging.getLogger(__name__)


class _Gateway(wsgi.Gateway_10):
    """Passes the socket to the application, to detect a disconnected client."""

    # cheroot's stubs declare no return type for this method.
    def get_environ(self) -> Any:  # noqa: WPS615 (cheroot's name)
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ[SOCKET_KEY] = self.req.conn.socket
        return environ


class _Server(wsgi.Server):
    """Writes errors to the log instead of standard error."""

    def error_log(
        self,
        msg: str = '',
        level: int = logging.INFO,
        traceback: bool = False,
    ) -> None:
        """Log a message, with the exception being handled if ``traceback``."""
        logger.log(level, 'server: %s', msg, exc_info=traceback)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Address of the server; each of the ``threads`` handles one request."""

    address: str
    port: int
    threads: int


@dataclasses.dataclass(frozen=True, slots=True)
class StandinRequest:
    """One request with its whole body."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    socket: Any


@dataclasses.dataclass(frozen=True, slots=True)
class StandinResponse:
    """One response; ``sent_bytes`` cuts the body off after that many bytes."""

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
    """Return a response with a JSON body."""
    body = json.dumps(fields, indent=1).encode()
    return StandinResponse(status, body, 'application/json')


def text_response(status: int, text: str) -> StandinResponse:
    """Return a response with a plain text body, used for errors."""
    return StandinResponse(status, text.encode(), 'text/plain; charset=utf-8')


def replace_fields(
    current: FieldsT,
    changes: Mapping[str, object],
) -> FieldsT:
    """Return a copy of a data class with some fields replaced.

    Raises ``msgspec.ValidationError`` for unknown fields and invalid values.
    """
    field_names = {field.name for field in dataclasses.fields(current)}
    unknown = sorted(changes.keys() - field_names)
    if unknown:
        raise msgspec.ValidationError(
            f'unknown fields {unknown}, allowed are {sorted(field_names)}',
        )
    fields = dataclasses.asdict(current)
    fields.update(changes)
    return msgspec.convert(fields, type(current))


def abort_connection() -> NoReturn:
    """Close the connection without an answer; for use in handlers."""
    raise ConnectionAbortedError(
        errno.ECONNABORTED, 'connection aborted by the stand-in'
    )


def wait_for_disconnect(
    wait_s: float,
    connection: socket.socket,
    stop_event: threading.Event,
    clock: Callable[[], float],
) -> bool:
    """Wait up to ``wait_s``; returns True as soon as the client disconnects.

    A client that has already sent its next request cannot be told apart from
    one that stays connected, so the rest of the wait ignores the connection.
    """
    poller = select.poll()
    poller.register(connection, select.POLLIN | select.POLLRDHUP)
    deadline = clock() + wait_s
    while not stop_event.is_set():
        remaining_s = deadline - clock()
        if remaining_s <= 0:
            return False
        events = poller.poll(min(remaining_s, DISCONNECT_POLL_S) * MS_PER_S)
        if any(event & DISCONNECT_EVENTS for _, event in events):
            return True
        if events:
            stop_event.wait(remaining_s)
    return False


@dataclasses.dataclass(frozen=True, slots=True)
class StandinApplication:
    """A WSGI application that passes requests to ``handle_request``."""

    handle_request: Handler
    max_body_bytes: int

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one request of the server."""
        response = self._handle_within_limit(environ)
        call_id = environ.get('HTTP_EBONYCLEAT_CALL_ID')
        named = [('Ebonycleat-Call-Id', call_id)] if call_id else []
        start_response(
            f'{response.status} {http.HTTPStatus(response.status).phrase}',
            [
                ('Content-Type', response.content_type),
                ('Content-Length', str(len(response.body))),
                *response.headers,
                *named,
            ],
        )
        return _send_body(response)

    def _handle_within_limit(self, environ: Environ) -> StandinResponse:
        declared_bytes = int(environ.get('CONTENT_LENGTH') or 0)
        if declared_bytes > self.max_body_bytes:
            return text_response(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f'at most {self.max_body_bytes} bytes are allowed',
            )
        return self.handle_request(_read_request(environ))


@contextlib.contextmanager
def serve(
    listen: ServerOptions,
    application: WsgiApplication,
    stop: Callable[[], object],
) -> Iterator[int]:
    """Serve while the context is open; yields the port.

    ``stop`` must wake handlers that wait, so that their threads finish.
    """
    server = _Server(
        (listen.address, listen.port),
        application,
        numthreads=listen.threads,
        request_queue_size=ACCEPT_QUEUE_LENGTH,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    server.gateway = _Gateway
    server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
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


def _send_body(response: StandinResponse) -> Iterator[bytes]:
    if response.sent_bytes is None:
        yield response.body
        return
    yield response.body[: response.sent_bytes]
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
        environ[SOCKET_KEY],
    )
