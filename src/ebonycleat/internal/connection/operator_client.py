"""Sends operators' requests to nodes until one answers.

A change that may have reached the log is sent again only under its own
operation id, so that it never takes effect twice.
"""

import abc
import dataclasses
from collections.abc import Sequence
from typing import Final

import msgspec
import urllib3

from ebonycleat.internal.connection.errors import ConnectionLayerError
from ebonycleat.internal.connection.operator_messages import (
    OPERATOR_PATH,
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)

# What a node may need beyond the wait that was asked for.
RESPONSE_MARGIN_S: Final = 5.0


class NodeRequestFailed(ConnectionLayerError):
    """A node gave no usable answer; ``sent`` says if it may have acted."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Remember whether the request may have reached the node."""
        super().__init__(detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class NoNodeAnswered:
    """No node answered; ``problems`` has a line for each that was tried."""

    may_have_taken_effect: bool
    failures: tuple[str, ...]


class OperatorTransport(abc.ABC):
    """Carries one request to one node and its answer back."""

    @abc.abstractmethod
    def send(self, node: str, request: OperatorRequest) -> OperatorAnswer:
        """Send to ``IP:port``; raise ``NodeRequestFailed`` without an answer."""


class HttpOperatorTransport(OperatorTransport):
    """Carries requests as JSON over HTTP."""

    def __init__(self, key: str, connect_timeout_s: float) -> None:
        """Authorise each request with the operator's key."""
        self.key = key
        self.connect_timeout_s = connect_timeout_s
        self.pool = urllib3.PoolManager(retries=False)

    def send(self, node: str, request: OperatorRequest) -> OperatorAnswer:
        """Send to ``IP:port``; raise ``NodeRequestFailed`` without an answer."""
        try:
            response = self.pool.request(
                'POST',
                f'http://{node}{OPERATOR_PATH}',
                body=msgspec.json.encode(request),
                headers={
                    'Authorization': f'Bearer {self.key}',
                    'Content-Type': 'application/json',
                },
                timeout=urllib3.Timeout(
                    connect=self.connect_timeout_s,
                    read=request.wait_s + RESPONSE_MARGIN_S,
                ),
                # A redirect would hand the key to somebody else.
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise NodeRequestFailed(_first_line(error), sent=False) from error
        except urllib3.exceptions.HTTPError as error:
            raise NodeRequestFailed(_first_line(error), sent=True) from error
        return _read_answer(response)


class OperatorClient:
    """Tries one node after the other, the last good one first."""

    def __init__(
        self,
        nodes: Sequence[str],
        transport: OperatorTransport,
    ) -> None:
        """Use these nodes, in their order."""
        self.nodes = list(nodes)
        self.transport = transport

    def send(
        self,
        request: OperatorRequest,
        *,
        is_change: bool,
    ) -> OperatorAnswer | NoNodeAnswered:
        """Return the first answer of a node that can give one."""
        may_have_taken_effect = request.attempt > 0
        problems: list[str] = []
        for node in tuple(self.nodes):
            try:
                answer = self.transport.send(node, request)
            except NodeRequestFailed as error:
                problems.append(f'{node}: {error}')
                if is_change and error.sent:
                    may_have_taken_effect = True
                    request = dataclasses.replace(
                        request,
                        attempt=request.attempt + 1,
                    )
                continue
            if answer.status is not AnswerStatus.NOT_READY:
                self.nodes.remove(node)
                self.nodes.insert(0, node)
                return answer
            problems.append(f'{node}: {answer.message}')
        return NoNodeAnswered(may_have_taken_effect, tuple(problems))


def _read_answer(response: urllib3.BaseHTTPResponse) -> OperatorAnswer:
    try:
        return msgspec.json.decode(response.data, type=OperatorAnswer)
    except (msgspec.DecodeError, RecursionError) as error:
        outcome = response.headers.get('Ebonycleat-Outcome', '')
        raise NodeRequestFailed(
            f'HTTP status {response.status} without an answer for operators',
            sent=outcome != 'not-run',
        ) from error


def _first_line(error: Exception) -> str:
    return str(error).split('\n', 1)[0]
