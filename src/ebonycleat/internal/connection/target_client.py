"""Blocking HTTP to the one target beside the node.

A worker thread sends one request and gets either the whole answer or a
typed failure that says whether the target can have run the request.
"""

import dataclasses
import enum
import http
import re
import socket
import time
import types
from collections.abc import Callable, Mapping
from typing import Self, TypeAlias

import urllib3

from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.internal.request.refusal import Outcome, Reason, Refusal

READ_BYTES = 65536
DEFAULT_MAX_RESPONSE_BYTES = 8_388_608
# A target on the same VM accepts in about 1 ms; a full accept queue does not
# get better by waiting.
CONNECT_TIMEOUT_S = 1

# The client frames the body itself. Framing taken from a caller could make
# the target see a second request inside the body.
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
TOKEN = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
HEADER_TEXT = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
NOT_CONNECTED_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
STATUSES_WITHOUT_BODY = frozenset((
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
))


class TargetFailureKind(enum.Enum):
    """What went wrong between the node and its target."""

    NO_TIME_LEFT = 'no-time-left'
    INVALID_REQUEST = 'invalid-request'
    NOT_CONNECTED = 'not-connected'
    BROKEN = 'broken'
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
        TargetFailureKind.TIMED_OUT: Reason.DEADLINE,
        TargetFailureKind.TRUNCATED: Reason.TRUNCATED_ANSWER,
        TargetFailureKind.UNDECLARED_LENGTH: Reason.TRUNCATED_ANSWER,
        TargetFailureKind.TOO_LARGE: Reason.TARGET_FAILED,
    })
)


@dataclasses.dataclass(frozen=True, slots=True)
class TargetResponse:
    """A whole answer; its length was checked against what was declared."""

    status: int
    headers: HeaderPairs
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TargetFailure:
    """No whole answer; ``NOT_RUN`` only if no byte can have been sent."""

    kind: TargetFailureKind
    outcome: Outcome
    detail: str

    def to_refusal(self, zone: str = '') -> Refusal:
        """The refusal that the caller sees for this failure."""
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
        pool: urllib3.HTTPConnectionPool,
        max_response_bytes: int,
        clock: Callable[[], float],
    ) -> None:
        """``clock`` returns seconds and bounds the time of whole answers."""
        self.pool = pool
        self.max_answer_bytes = max_response_bytes
        self.clock = clock

    def __enter__(self) -> Self:
        """Use the client until the block ends."""
        return self

    def __exit__(self, *details: object) -> None:
        """Close the pooled connections."""
        self.close()

    def close(self) -> None:
        """Close the pooled connections; a running send still ends."""
        self.pool.close()

    def accepts_connections(self) -> bool:
        """Tell whether the target accepts a connection now."""
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
        """Send one request once and read its whole answer.

        ``path`` is the path with its query. ``timeout_s`` covers connecting,
        sending and reading the whole answer. Never raises for anything that
        the target or the network does.
        """
        if timeout_s <= 0:
            return _not_run(TargetFailureKind.NO_TIME_LEFT, 'no time was left')
        mistake = _find_request_error(method, path, headers)
        if mistake:
            return _not_run(TargetFailureKind.INVALID_REQUEST, mistake)
        deadline = self.clock() + timeout_s
        try:
            answer = self._request(method, path, headers, body, timeout_s)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return _failure_without_answer(error)
        return self._read_response(answer, method, deadline)

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
        answer: urllib3.BaseHTTPResponse,
        method: str,
        deadline: float,
    ) -> TargetResult:
        """Read to the end, or close the connection with what is left on it."""
        result: TargetResult | None = _check_headers(answer, method)
        if result is None:
            try:
                result = self._read_body(answer, deadline)
            except urllib3.exceptions.HTTPError as error:
                result = _failure_in_answer(error)
        if isinstance(result, TargetFailure):
            answer.close()
        answer.release_conn()
        return result

    def _read_body(
        self,
        answer: urllib3.BaseHTTPResponse,
        deadline: float,
    ) -> TargetResult:
        body = bytearray()
        declared_bytes = getattr(answer, 'length_remaining', None) or 0
        if declared_bytes > self.max_answer_bytes:
            return self._response_too_large()
        while True:
            left_s = deadline - self.clock()
            if left_s <= 0:
                return _unknown(
                    TargetFailureKind.TIMED_OUT,
                    f'the answer was incomplete after {len(body)} bytes',
                )
            _limit_read_timeout(answer, left_s)
            part = answer.read1(READ_BYTES, decode_content=False)
            if not part:
                break
            body += part
            if len(body) > self.max_answer_bytes:
                return self._response_too_large()
        return TargetResponse(
            answer.status,
            tuple(answer.headers.iteritems()),
            bytes(body),
        )

    def _response_too_large(self) -> TargetFailure:
        return _unknown(
            TargetFailureKind.TOO_LARGE,
            f'the answer has more than {self.max_answer_bytes} bytes',
        )


def create_target_client(
    host: str,
    port: int,
    pool_size: int,
    max_response_bytes: int = DEFAULT_MAX_RESPONSE_BYTES,
    clock: Callable[[], float] = time.monotonic,
) -> TargetClient:
    """Build a client that keeps up to ``pool_size`` idle connections."""
    pool = urllib3.HTTPConnectionPool(
        host,
        port,
        maxsize=pool_size,
        block=False,
    )
    return TargetClient(pool, max_response_bytes, clock)


def _find_request_error(method: str, path: str, headers: HeaderPairs) -> str:
    """Say what cannot be sent, so that no later error needs to mean it."""
    if not TOKEN.fullmatch(method):
        return f'the method {method!r:.60} is not an HTTP token'
    if not path.startswith('/'):
        return f'the path {path!r:.60} does not start with a slash'
    for name, text in headers:
        if not TOKEN.fullmatch(name):
            return f'the header name {name!r:.60} is not an HTTP token'
        if not HEADER_TEXT.fullmatch(text):
            return f'the header {name} has characters that HTTP forbids'
    return ''


def _failure_without_answer(error: Exception) -> TargetFailure:
    """Only an error in connecting proves that no byte was sent."""
    if isinstance(error, NOT_CONNECTED_ERRORS):
        return _not_run(TargetFailureKind.NOT_CONNECTED, _describe(error))
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return _unknown(TargetFailureKind.TIMED_OUT, _describe(error))
    return _unknown(TargetFailureKind.BROKEN, _describe(error))


def _failure_in_answer(error: Exception) -> TargetFailure:
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return _unknown(TargetFailureKind.TIMED_OUT, _describe(error))
    return _unknown(TargetFailureKind.TRUNCATED, _describe(error))


def _prepare_headers(headers: HeaderPairs) -> urllib3.HTTPHeaderDict:
    own = urllib3.HTTPHeaderDict()
    for name, text in headers:
        if name.lower() not in FRAMING_HEADERS:
            own.add(name, text)
    for added_by_urllib3 in ('Accept-Encoding', 'User-Agent'):
        if added_by_urllib3 not in own:
            own.add(added_by_urllib3, urllib3.util.SKIP_HEADER)
    return own


def _check_headers(
    answer: urllib3.BaseHTTPResponse,
    method: str,
) -> TargetFailure | None:
    if answer.status < http.HTTPStatus.OK:
        # The final answer follows on the same connection and would be taken
        # for the answer to the next request.
        return _unknown(
            TargetFailureKind.BROKEN,
            f'the target sent an interim answer with status {answer.status}',
        )
    if method == 'HEAD' or answer.status in STATUSES_WITHOUT_BODY:
        return None
    if 'Content-Length' in answer.headers:
        return None
    if answer.headers.get('Transfer-Encoding', '').lower() == 'chunked':
        return None
    return _unknown(
        TargetFailureKind.UNDECLARED_LENGTH,
        'the target declared no length, so the answer may be cut off; '
        'make it send Content-Length or use chunked encoding',
    )


def _limit_read_timeout(
    answer: urllib3.BaseHTTPResponse, left_s: float
) -> None:
    """Bound the next read by the time left, not by the time per read."""
    sock = getattr(answer.connection, 'sock', None)
    if sock is not None:
        sock.settimeout(left_s)


def _not_run(kind: TargetFailureKind, detail: str) -> TargetFailure:
    return TargetFailure(kind, Outcome.NOT_RUN, detail)


def _unknown(kind: TargetFailureKind, detail: str) -> TargetFailure:
    return TargetFailure(kind, Outcome.UNKNOWN, detail)


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
