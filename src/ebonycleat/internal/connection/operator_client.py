"""Sends requests of operators to nodes until one of them answers.

A change that may have reached the log is repeated with the same operation id,
so that it takes effect only once.
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

# Time that a node may need in addition to the ``wait_s`` of the request.
RESPONSE_MARGIN_S: Final = 5.0


class NodeRequestFailed(ConnectionLayerError):
    """A node gave no valid answer.

    ``sent`` is True if the node may have carried out the request.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Store whether the request may have reached the node."""
        super().__init__(detail)
        self.sent = sent


@dataclasses.dataclass(frozen=True, slots=True)
class NoNodeAnswered:
    """No node gave an answer.

    ``failures`` has one line of text for each node that was tried.
    """

    may_have_taken_effect: bool
    failures: tuple[str, ...]


class OperatorTransport(abc.ABC):
    """Sends one request to one node and returns its answer."""

    @abc.abstractmethod
    def send(self, node: str, request: OperatorRequest) -> OperatorAnswer:
        """Send a request to the node at ``IP:port``.

        Raises ``NodeRequestFailed`` if it gives no valid answer.
        """


class HttpOperatorTransport(OperatorTransport):
    """Sends requests as JSON over HTTP."""

    def __init__(self, key: str, connect_timeout_s: float) -> None:
        """Send ``key``, the key of the operator, with each request."""
        self.key = key
        self.connect_timeout_s = connect_timeout_s
        self.pool = urllib3.PoolManager(retries=False)

    def send(self, node: str, request: OperatorRequest) -> OperatorAnswer:
        """Send a request to the node at ``IP:port``.

        Raises ``NodeRequestFailed`` if it gives no valid answer.
        """
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
                # Following a redirect would send the key to another server.
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
    """Tries the nodes in turn, starting with the last one that answered."""

    def __init__(
        self,
        nodes: Sequence[str],
        transport: OperatorTransport,
    ) -> None:
        """Try ``nodes``, as ``IP:port``, in this order at first."""
        self.nodes = list(nodes)
        self.transport = transport

    def send(
        self,
        request: OperatorRequest,
        *,
        is_change: bool,
    ) -> OperatorAnswer | NoNodeAnswered:
        """Return the answer of the first node that is ready.

        ``is_change`` is True if the request changes the configuration. Once
        such a request may have reached a node, later nodes get it with a
        higher ``attempt``.
        """
        may_have_taken_effect = request.attempt > 0
        failures: list[str] = []
        for node in tuple(self.nodes):
            try:
                answer = self.transport.send(node, request)
            except NodeRequestFailed as error:
                failures.append(f'{node}: {error}')
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
            failures.append(f'{node}: {answer.message}')
        return NoNodeAnswered(may_have_taken_effect, tuple(failures))


def _read_answer(response: urllib3.BaseHTTPResponse) -> OperatorAnswer:
    try:
        return msgspec.json.decode(response.data, type=OperatorAnswer)
    except (msgspec.DecodeError, RecursionError) as error:
        outcome = response.headers.get('Ebonycleat-Outcome', '')
        raise NodeRequestFailed(
            f'HTTP status {response.status}; the body is not an answer to an '
            'operator request',
            sent=outcome != 'not-run',
        ) from error


def _first_line(error: Exception) -> str:
    return str(error).split('\n', 1)[0]
