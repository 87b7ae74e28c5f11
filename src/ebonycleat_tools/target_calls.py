"""Further calls that a target stand-in makes while it runs a request."""

import dataclasses
import http
from collections.abc import Mapping
from typing import Annotated, Any

import urllib3
from msgspec import Meta

CONTEXT_HEADER = 'ebonycleat-context'
TIMEOUT_HEADER = 'ebonycleat-timeout-ms'
# What a node tells its target; callers say TIMEOUT_HEADER to a node.
DEADLINE_HEADER = 'ebonycleat-deadline-ms'
KEY_HEADER = 'idempotency-key'
REASON_HEADER = 'Ebonycleat-Reason'

MS_PER_S = 1000
# A run without the header is bounded all the same.
LONGEST_RUN_S = 600
POOL_SIZE = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DownstreamCall:
    """One call to another service, by a path that the node routes."""

    path: Annotated[
        str,
        Meta(pattern='^/', description='a path that starts with a slash'),
    ]
    method: Annotated[
        str,
        Meta(pattern=r'^[A-Z]{1,16}\Z', description='an HTTP method'),
    ] = 'GET'
    body: str = ''


class DownstreamCaller:
    """Makes the calls of one run through the node of the target."""

    def __init__(
        self,
        node: str,
        calls: tuple[DownstreamCall, ...],
        timeout_s: float,
    ) -> None:
        """``timeout_s`` bounds each call; the run's deadline does so too."""
        self.node = node.rstrip('/')
        self.calls = calls
        self.timeout_s = timeout_s
        self.pools = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def make_calls(
        self,
        received: Mapping[str, str],
        left_s: float,
    ) -> list[dict[str, Any]]:
        """Call one after the other; the context received is passed on."""
        timeout_s = min(self.timeout_s, left_s)
        headers = {TIMEOUT_HEADER: str(int(timeout_s * MS_PER_S))}
        for name in received.keys() & {CONTEXT_HEADER, KEY_HEADER}:
            headers[name] = received[name]
        return [self._make_one(call, headers, timeout_s) for call in self.calls]

    def close(self) -> None:
        """Close the pooled connections."""
        self.pools.clear()

    def _make_one(
        self,
        call: DownstreamCall,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> dict[str, Any]:
        try:
            answer = self.pools.request(
                call.method,
                f'{self.node}{call.path}',
                body=call.body or None,
                headers=headers,
                timeout=max(timeout_s, 1 / MS_PER_S),
            )
        except urllib3.exceptions.HTTPError as error:
            return _describe(call, 0, type(error).__name__)
        reason = answer.headers.get(REASON_HEADER, '')
        return _describe(call, answer.status, reason)


def read_timeout_s(headers: Mapping[str, str]) -> float:
    """Seconds that the caller still waits, by either header."""
    left_s: float = LONGEST_RUN_S
    for name in (DEADLINE_HEADER, TIMEOUT_HEADER):
        text = headers.get(name, '')
        if text.isascii() and text.isdigit():
            left_s = min(left_s, int(text) / MS_PER_S)
    return left_s


def _describe(call: DownstreamCall, status: int, reason: str) -> dict[str, Any]:
    return {
        'path': call.path,
        'status': status,
        'reason': reason,
        'answered': 0 < status < http.HTTPStatus.BAD_REQUEST,
    }
