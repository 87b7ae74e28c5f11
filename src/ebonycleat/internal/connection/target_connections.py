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
    """A response that knows whether the empty line after its head came."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a response that is not read yet (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.head_reader = _HeadReader(self.fp)

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
    """A connection that serves no request after one that was refused.

    A faulty target may send the refusal again, and its responses do not name
    their requests.
    """

    response_class = _TargetResponse

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create a connection that is not open yet (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.has_refused = False

    def getresponse(  # type: ignore[override]
        self,
    ) -> urllib3.HTTPResponse:
        """Read the head of a response (called by the HTTP library)."""
        response = super().getresponse()
        self.has_refused = response.status in REFUSAL_STATUSES
        return response


class TargetConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections to a target."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create an empty pool (see the HTTP library)."""
        super().__init__(*arguments, **options)
        self.ConnectionCls = TargetConnection

    def _put_conn(self, conn: Any) -> None:
        if conn is not None and conn.has_refused:
            conn.close()
        super()._put_conn(conn)


def is_head_complete(response: urllib3.BaseHTTPResponse) -> bool:
    """Tell whether the head of a target's response was received whole."""
    original = getattr(response, '_original_response', None)
    return isinstance(original, _TargetResponse) and original.is_head_complete
