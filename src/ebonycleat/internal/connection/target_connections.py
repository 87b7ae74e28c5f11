"""Connections to a target that notice what the HTTP library passes over.

The library takes the end of a connection for the end of a response's head, so
a status without a body would look complete although headers are missing. It
also reuses a connection after any complete response.
"""

import contextlib
from http.client import HTTPResponse
from typing import Any

import urllib3

from ebonycleat.internal.connection.http_messages import REFUSAL_STATUSES

CALL_ID_HEADER = 'Ebonycleat-Call-Id'
"""Names a request to a target, and the same request in the response."""

END_OF_HEAD = frozenset((b'\r\n', b'\n'))


class _HeadReader:
    """Reads lines from a file and keeps the last one."""

    def __init__(self, file: Any) -> None:
        self.file = file
        self.last_line = b''

    def readline(self, limit: int) -> bytes:
        line: bytes = self.file.readline(limit)
        self.last_line = line
        return line

    def close(self) -> None:
        self.file.close()


class _TargetResponse(HTTPResponse):
    """A response that knows whether the empty line after its head came.

    ``is_first`` is True if it is the first response on its connection.
    """

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a response that is not read yet (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.head_reader = _HeadReader(self.fp)
        self.is_first = True

    @property
    def is_head_complete(self) -> bool:
        """Whether the empty line after the head was received."""
        return self.head_reader.last_line in END_OF_HEAD

    def begin(self) -> None:
        """Read the head (called by the HTTP library)."""
        self.fp = self.head_reader  # type: ignore[assignment]
        with contextlib.ExitStack() as stack:
            stack.callback(self.restore_file)
            super().begin()

    def restore_file(self) -> None:
        """Read the body without noting its lines, unless already closed."""
        if self.fp is not None:
            self.fp = self.head_reader.file


class TargetConnection(urllib3.connection.HTTPConnection):
    """A connection that notes what the last response said of its request.

    A faulty target may send a response again when the next request waits for
    its own. Only a response that names its request shows that the target's
    responses can be told apart.
    """

    response_class = _TargetResponse

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a connection that is not open yet (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.has_refused = False
        self.names_calls = False
        self.has_responded = False

    def close(self) -> None:
        """Close the connection; the HTTP library may open it again."""
        super().close()
        self.has_responded = False

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.HTTPResponse:
        """Read the head of a response (called by the HTTP library)."""
        response = super().getresponse()
        self.has_refused = response.status in REFUSAL_STATUSES
        self.names_calls = CALL_ID_HEADER in response.headers
        original = _original_of(response)
        if original is not None:
            original.is_first = not self.has_responded
        self.has_responded = True
        return response


class TargetConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections to a target.

    After a refusal, or a response that does not name its request, a connection
    is used no more. ``keeps_unnamed`` keeps it in the latter case.
    """

    def __init__(
        self, *arguments: Any, keeps_unnamed: bool, **options: Any
    ) -> None:
        """Create an empty pool (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.ConnectionCls = TargetConnection
        self.keeps_unnamed = keeps_unnamed

    def _put_conn(self, conn: Any) -> None:
        if conn is not None:
            is_named = conn.names_calls or self.keeps_unnamed
            if conn.has_refused or not is_named:
                conn.close()
        super()._put_conn(conn)


def is_head_complete(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether the head of a target's response was received whole."""
    original = _original_of(response)
    return original is not None and original.is_head_complete


def may_answer_call(response: urllib3.BaseHTTPResponse, call_id: str) -> bool:
    """Tell whether a response names a call, or is the first and names none.

    Any later response without a name may be a copy of an earlier one.
    """
    named = response.headers.get(CALL_ID_HEADER)
    if named is not None:
        return named == call_id
    original = _original_of(response)
    return original is not None and original.is_first


def _original_of(
    response: urllib3.BaseHTTPResponse,
) -> _TargetResponse | None:
    original = getattr(response, '_original_response', None)
    return original if isinstance(original, _TargetResponse) else None
