"""Calls to other services that a target stand-in makes during a run."""

import dataclasses
import http
from collections.abc import Mapping
from typing import Annotated, Any

import urllib3
from msgspec import Meta

CONTEXT_HEADER = 'ebonycleat-context'
TIMEOUT_HEADER = 'ebonycleat-timeout-ms'
# Sent by a node to its target; callers send TIMEOUT_HEADER to a node.
DEADLINE_HEADER = 'ebonycleat-deadline-ms'
KEY_HEADER = 'idempotency-key'
REASON_HEADER = 'Ebonycleat-Reason'

MS_PER_S = 1000
# Time limit of a run, also when its request has neither time header.
MAX_RUN_S = 600
POOL_SIZE = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DownstreamCall:
    """One call to another service; the node routes it by its path."""

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
    """Makes the configured calls of each run through the target's node."""

    def __init__(
        self,
        node: str,
        calls: tuple[DownstreamCall, ...],
        timeout_s: float,
    ) -> None:
        """``timeout_s`` limits each call, as does the deadline of the run."""
        self.node = node.rstrip('/')
        self.calls = calls
        self.timeout_s = timeout_s
        self.connections = urllib3.PoolManager(maxsize=POOL_SIZE, retries=False)

    def make_calls(
        self,
        received_headers: Mapping[str, str],
        remaining_s: float,
    ) -> list[dict[str, Any]]:
        """Make the calls one after the other and return their results.

        Each call carries the context header and the Idempotency-Key of the
        received request.
        """
        timeout_s = min(self.timeout_s, remaining_s)
        headers = {TIMEOUT_HEADER: str(int(timeout_s * MS_PER_S))}
        for name in received_headers.keys() & {CONTEXT_HEADER, KEY_HEADER}:
            headers[name] = received_headers[name]
        return [
            self._make_call(call, headers, timeout_s) for call in self.calls
        ]

    def close(self) -> None:
        """Close the pooled connections."""
        self.connections.clear()

    def _make_call(
        self,
        call: DownstreamCall,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> dict[str, Any]:
        try:
            response = self.connections.request(
                call.method,
                f'{self.node}{call.path}',
                body=call.body or None,
                headers=headers,
                timeout=max(timeout_s, 1 / MS_PER_S),
            )
        except urllib3.exceptions.HTTPError as error:
            return _create_result(call, 0, type(error).__name__)
        reason = response.headers.get(REASON_HEADER, '')
        return _create_result(call, response.status, reason)


def read_timeout_s(headers: Mapping[str, str]) -> float:
    """Return the seconds left for a run: the smaller value of both headers.

    It is at most ``MAX_RUN_S``.
    """
    remaining_s: float = MAX_RUN_S
    for name in (DEADLINE_HEADER, TIMEOUT_HEADER):
        text = headers.get(name, '')
        if text.isascii() and text.isdigit():
            remaining_s = min(remaining_s, int(text) / MS_PER_S)
    return remaining_s


def _create_result(
    call: DownstreamCall, status: int, reason: str
) -> dict[str, Any]:
    return {
        'path': call.path,
        'status': status,
        'reason': reason,
        'answered': 0 < status < http.HTTPStatus.BAD_REQUEST,
    }
