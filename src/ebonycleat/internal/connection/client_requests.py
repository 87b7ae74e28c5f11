"""Requests that a node sends once, and how such a send can end."""

import abc
import dataclasses
import enum
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.request.call import HeaderPairs

UNLIMITED_IDLE_S = 60.0
"""Longer than any connection is kept."""


class SendFailureKind(enum.Enum):
    """Why a send ended without a whole answer."""

    NOT_CONNECTED = 'not-connected'
    CLOSED = 'closed'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailure:
    """No whole answer; ``was_sent`` tells if a byte may have left."""

    kind: SendFailureKind
    was_sent: bool
    detail: str = ''


SendResult: TypeAlias = HttpResponse | SendFailure


class OutgoingRequest(msgspec.Struct, frozen=True):
    """Bytes to send once, and how to know the answer to them.

    ``is_own_answer`` looks at the headers of an answer: servers may send a
    late extra answer of an earlier request first. ``freshness_s`` bounds how
    long a kept connection may have rested; zero asks for a new one.
    """

    encoded: bytes
    is_own_response: Callable[[HeaderPairs], bool]
    is_head: bool = False
    max_idle_s: float = UNLIMITED_IDLE_S


class AbortableConnection(abc.ABC):
    """The connection that a request is on."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close at once, whatever is under way."""


class InFlightRequest:
    """One request on its way; ``cancel`` closes its connection."""

    __slots__ = (
        'connection',
        'is_finished',
        'on_result',
        'request',
        'was_sent',
    )

    def __init__(
        self,
        request: OutgoingRequest,
        on_result: Callable[[SendResult], None],
    ) -> None:
        """Promise one result to ``on_result``."""
        self.request = request
        self.on_result = on_result
        self.connection: AbortableConnection | None = None
        self.is_finished = False
        self.was_sent = False

    def finish(self, result: SendResult) -> None:
        """Report the result once."""
        if not self.is_finished:
            self.is_finished = True
            self.connection = None
            self.on_result(result)

    def cancel(self) -> None:
        """Give up; the server sees its connection close."""
        connection = self.connection
        self.finish(
            SendFailure(SendFailureKind.CANCELLED, self.was_sent),
        )
        if connection is not None:
            connection.abort()
