"""Blocking HTTP client for the target of a node.

A worker thread sends one request and gets either the complete response or a
failure that tells whether the target may have run the request.
"""

import dataclasses
import enum
import http
import itertools
import re
import socket
import time
import types
from collections.abc import Callable, Mapping
from typing import Self, TypeAlias

import urllib3

from ebonycleat.internal.connection.http_messages import is_valid_status
from ebonycleat.internal.connection.target_connections import (
    CALL_ID_HEADER,
    TargetConnectionPool,
    is_head_complete,
    may_answer_call,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.internal.request.refusal import Outcome, Reason, Refusal

READ_CHUNK_BYTES = 65536
DEFAULT_MAX_RESPONSE_BYTES = 8_388_608
# A target on the same VM accepts in about 1 ms. If its accept queue is full,
# waiting longer does not help.
CONNECT_TIMEOUT_S = 1

# The HTTP library sets these headers itself. If those of a caller were
# forwarded, the target could read a part of the body as a second request
# (request smuggling).
FRAMING_HEADERS = frozenset((
    'connection',
    'content-length',
    'expect',
    'keep-alive',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))
HTTP_TOKEN = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
NOT_CONNECTED_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
STATUSES_WITHOUT_BODY = frozenset((
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
))


class TargetFailureKind(enum.Enum):
    """Why a request got no complete response from the target."""

    NO_TIME_LEFT = 'no-time-left'
    INVALID_REQUEST = 'invalid-request'
    NOT_CONNECTED = 'not-connected'
    BROKEN = 'broken'
    FOREIGN = 'foreign'
    TIMED_OUT = 'timed-out'
    TRUNCATED = 'truncated'
    UNDECLARED_LENGTH = 'undeclared-length'
    TOO_LARGE = 'too-large'


REASON_BY_FAILURE_KIND: Mapping[TargetFailureKind, Reason] = (
    types.MappingProxyType({
        TargetFailureKind.NO_TIME_LEFT: Reason.DEADLINE,
        TargetFailureKind.INVALID_REQUEST: Reason.BAD_REQUEST,
        TargetFailureKind.NOT_CONNECTED: Reason.TARGET_FAILED,
        TargetFailureKind.BROKEN: Reason.TARGET_FAILED,
        TargetFailureKind.FOREIGN: Reason.TARGET_FAILED,
        TargetFailureKind.TIMED_OUT: Reason.DEADLINE,
        TargetFailureKind.TRUNCATED: Reason.TRUNCATED_ANSWER,
        TargetFailureKind.UNDECLARED_LENGTH: Reason.TRUNCATED_ANSWER,
        TargetFailureKind.TOO_LARGE: Reason.TARGET_FAILED,
    })
)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResponse:
    """A complete response, checked against its declared length."""

    status: int
    headers: HeaderPairs
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """A request that got no complete response.

    The outcome is ``NOT_RUN`` only if no byte of it can have been sent.
    """

    kind: TargetFailureKind
    outcome: Outcome
    detail: str

    def to_refusal(self, zone: str = '') -> Refusal:
        """Return the refusal that this failure becomes for the caller."""
        return Refusal(
            REASON_BY_FAILURE_KIND[self.kind],
            self.outcome,
            self.detail,
            zone=zone,
        )


TargetResult: TypeAlias = TargetResponse | TargetFailure


class TargetClient:
    """A pool of connections to one target, shared by worker threads."""

    def __init__(
        self,
        pool: TargetConnectionPool,
        max_response_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        """Use ``pool`` for connections; ``clock`` returns seconds.

        A response with a body of more than ``max_response_bytes`` is a
        failure.
        """
        self.pool = pool
        self.max_response_bytes = max_response_bytes
        self.clock = clock
        self.call_numbers = itertools.count(1)

    def __enter__(self) -> Self:
        """Return the client."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close the pooled connections."""
        self.close()

    def close(self) -> None:
        """Close the idle connections; requests in flight are completed."""
        self.pool.close()

    def accepts_connections(self) -> bool:
        """Return whether the target accepts a connection now."""
        address = (self.pool.host, self.pool.port)
        try:
            socket.create_connection(address, CONNECT_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def send(
        self,
        method: str,
        path: str,
        headers: HeaderPairs,
        body: bytes,
        timeout_s: float,
    ) -> TargetResult:
        """Send a request once and read its complete response.

        ``path`` includes the query string. ``timeout_s`` covers connecting,
        sending, and reading the complete response. Faults of the target and
        the network are returned as failures and never raised.
        """
        if timeout_s <= 0:
            return _failure_not_run(
                TargetFailureKind.NO_TIME_LEFT,
                'the deadline passed before the request was sent',
            )
        request_error = _find_request_error(method, path, headers)
        if request_error:
            return _failure_not_run(
                TargetFailureKind.INVALID_REQUEST, request_error
            )
        deadline = self.clock() + timeout_s
        call_id = str(next(self.call_numbers))
        named_headers = (*headers, (CALL_ID_HEADER, call_id))
        try:
            response = self._request(
                method, path, named_headers, body, timeout_s
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return _failure_before_response(error)
        is_own = self.pool.keeps_unnamed or may_answer_call(response, call_id)
        if not is_own:
            response.close()
            return _FOREIGN_RESPONSE
        return self._read_response(response, method, deadline)

    def _request(
        self,
        method: str,
        path: str,
        headers: HeaderPairs,
        body: bytes,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        return self.pool.urlopen(
            method,
            path,
            body=body or None,
            headers=_prepare_headers(headers),
            retries=False,
            redirect=False,
            assert_same_host=False,
            preload_content=False,
            decode_content=False,
            timeout=urllib3.Timeout(
                connect=min(timeout_s, CONNECT_TIMEOUT_S),
                total=timeout_s,
            ),
        )

    def _read_response(
        self,
        response: urllib3.BaseHTTPResponse,
        method: str,
        deadline: float,
    ) -> TargetResult:
        """Read a response to its end; after a failure close its connection.

        A connection with unread data must not be reused.
        """
        result: TargetResult | None = _check_headers(response, method)
        if result is None:
            try:
                result = self._read_body(response, deadline)
            except urllib3.exceptions.HTTPError as error:
                result = _failure_during_response(error)
        if isinstance(result, TargetFailure):
            response.close()
        response.release_conn()
        return result

    def _read_body(
        self,
        response: urllib3.BaseHTTPResponse,
        deadline: float,
    ) -> TargetResult:
        body = bytearray()
        declared_bytes = getattr(response, 'length_remaining', None) or 0
        if declared_bytes > self.max_response_bytes:
            return self._response_too_large()
        while True:
            time_left_s = deadline - self.clock()
            if time_left_s <= 0:
                return _failure_outcome_unknown(
                    TargetFailureKind.TIMED_OUT,
                    'the response was incomplete at the deadline, after '
                    f'{len(body)} bytes of its body',
                )
            _limit_read_timeout(response, time_left_s)
            chunk = response.read1(READ_CHUNK_BYTES, decode_content=False)
            if not chunk:
                break
            body += chunk
            if len(body) > self.max_response_bytes:
                return self._response_too_large()
        return TargetResponse(
            response.status,
            tuple(
                pair
                for pair in response.headers.iteritems()
                if pair[0].lower() != CALL_ID_HEADER.lower()
            ),
            bytes(body),
        )

    def _response_too_large(self) -> TargetFailure:
        return _failure_outcome_unknown(
            TargetFailureKind.TOO_LARGE,
            'the body of the response has more than '
            f'{self.max_response_bytes} bytes, the limit of this node',
        )


def create_target_client(
    host: str,
    port: int,
    pool_size: int,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
    clock: Callable[[], float] = time.monotonic,
    *,
    keeps_unnamed: bool = False,
) -> TargetClient:
    """Create a client that keeps up to ``pool_size`` idle connections.

    Only connections to a target that names the request in its responses are
    kept, unless ``keeps_unnamed`` trusts it to answer each request once.
    """
    pool = TargetConnectionPool(
        host,
        port,
        maxsize=pool_size,
        block=False,
        keeps_unnamed=keeps_unnamed,
    )
    return TargetClient(pool, max_response_bytes, clock)


def _find_request_error(method: str, path: str, headers: HeaderPairs) -> str:
    """Describe why a request cannot be sent; return '' for a valid one.

    After this check any error is one of the target or the network.
    """
    if not HTTP_TOKEN.fullmatch(method):
        return f'the method {method!r:.60} is not a valid HTTP token'
    if not path.startswith('/'):
        return f'the path {path!r:.60} must start with a slash'
    for name, text in headers:
        if not HTTP_TOKEN.fullmatch(name):
            return f'the header name {name!r:.60} is not a valid HTTP token'
        if not HEADER_VALUE.fullmatch(text):
            return (
                f'the value of the header {name} has characters that HTTP '
                'does not allow'
            )
    return ''


def _failure_before_response(error: Exception) -> TargetFailure:
    """Classify an error before the response.

    Only an error in connecting shows that no byte was sent.
    """
    if isinstance(error, NOT_CONNECTED_ERRORS):
        return _failure_not_run(
            TargetFailureKind.NOT_CONNECTED, _describe(error)
        )
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return _failure_outcome_unknown(
            TargetFailureKind.TIMED_OUT, _describe(error)
        )
    return _failure_outcome_unknown(TargetFailureKind.BROKEN, _describe(error))


def _failure_during_response(error: Exception) -> TargetFailure:
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return _failure_outcome_unknown(
            TargetFailureKind.TIMED_OUT, _describe(error)
        )
    return _failure_outcome_unknown(
        TargetFailureKind.TRUNCATED, _describe(error)
    )


def _prepare_headers(headers: HeaderPairs) -> urllib3.HTTPHeaderDict:
    prepared = urllib3.HTTPHeaderDict()
    for name, text in headers:
        if name.lower() not in FRAMING_HEADERS:
            prepared.add(name, text)
    for default_header in ('Accept-Encoding', 'User-Agent'):
        if default_header not in prepared:
            prepared.add(default_header, urllib3.util.SKIP_HEADER)
    return prepared


def _check_headers(
    response: urllib3.BaseHTTPResponse,
    method: str,
) -> TargetFailure | None:
    if not is_valid_status(response.status):
        return _failure_outcome_unknown(
            TargetFailureKind.BROKEN,
            f'the target sent status {response.status}, which no response has',
        )
    if response.status < http.HTTPStatus.OK:
        # The final response follows on the same connection and would be taken
        # for the response to the next request.
        return _failure_outcome_unknown(
            TargetFailureKind.BROKEN,
            'the target must not send interim responses; it sent status '
            f'{response.status}',
        )
    if method == 'HEAD' or response.status in STATUSES_WITHOUT_BODY:
        return _check_end_of_head(response)
    is_chunked = (
        response.headers.get('Transfer-Encoding', '').lower() == 'chunked'
    )
    if is_chunked or 'Content-Length' in response.headers:
        return _check_end_of_head(response)
    return _failure_outcome_unknown(
        TargetFailureKind.UNDECLARED_LENGTH,
        'the target declared no length, so the response may be truncated; '
        'make the target send Content-Length or use chunked encoding',
    )


def _check_end_of_head(
    response: urllib3.BaseHTTPResponse,
) -> TargetFailure | None:
    if is_head_complete(response):
        return None
    return _failure_outcome_unknown(
        TargetFailureKind.TRUNCATED,
        'the connection ended in the headers of the response',
    )


def _limit_read_timeout(
    response: urllib3.BaseHTTPResponse, time_left_s: float
) -> None:
    """Set the time-out of the next read to the time that is left.

    The time-out of the HTTP library applies to each read separately and would
    not limit the time of the complete response.
    """
    connection_socket = getattr(response.connection, 'sock', None)
    if connection_socket is not None:
        connection_socket.settimeout(time_left_s)


def _failure_not_run(kind: TargetFailureKind, detail: str) -> TargetFailure:
    return TargetFailure(kind, Outcome.NOT_RUN, detail)


def _failure_outcome_unknown(
    kind: TargetFailureKind, detail: str
) -> TargetFailure:
    return TargetFailure(kind, Outcome.UNKNOWN, detail)


_FOREIGN_RESPONSE = _failure_outcome_unknown(
    TargetFailureKind.FOREIGN,
    'the target sent the response to another request',
)


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
