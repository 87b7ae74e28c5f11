"""Connections to a target that are not reused after a refusal."""

from http import HTTPStatus
from typing import Any

import urllib3

REFUSAL_STATUSES = frozenset((
    HTTPStatus.REQUEST_TIMEOUT,
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
))


class TargetConnection(urllib3.connection.HTTPConnection):
    """A connection that serves no request after one that was refused.

    A faulty target may send the refusal again, and its responses do not name
    their requests.
    """

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
