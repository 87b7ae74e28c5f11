"""Requests of the HTTP client, and the results that they can have."""

import abc
import dataclasses
import enum
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.request.call import HeaderPairs

DEFAULT_MAX_IDLE_S = 60.0
"""Longer than servers usually keep idle connections open.

With this default, any idle connection of the pool may be used.
"""


class SendFailureKind(enum.Enum):
    """Why a request got no complete response."""

    NOT_CONNECTED = 'not-connected'
    CLOSED = 'closed'
    TRUNCATED = 'truncated'
    MALFORMED = 'malformed'
    TOO_LARGE = 'too-large'
    NO_ROOM = 'no-room'
    ENDLESS = 'endless'
    SILENT = 'silent'
    EXPIRED = 'expired'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class SendFailure:
    """A request that got no complete response.

    If ``was_sent`` is False, no byte of the request has left this process, so
    the server cannot have run it.
    """

    kind: SendFailureKind
    was_sent: bool
    detail: str = ''


SendResult: TypeAlias = HttpResponse | SendFailure


def accept_any_headers(headers: HeaderPairs) -> bool:
    """Accept a response whose headers need not name the request."""
    return True


def always_allow() -> bool:
    """Allow a request that needs no permission."""
    return True


class OutgoingRequest(msgspec.Struct, frozen=True):
    """An encoded request, to be sent once.

    ``body`` is written behind ``encoded``; a small one may be part of that.

    ``is_own_response`` decides by the headers of a response whether it belongs
    to this request: a server may first send a late extra response to an
    earlier one. ``is_identified_response`` must hold too if the connection has
    brought a response before, of which this one may be a copy. A request with
    the same ``request_id`` as one that was refused uses another connection,
    where no copy of that refusal can arrive. ``is_head`` is True for a HEAD
    request, whose response has no body.

    An idle connection is used only if it has been idle for at most
    ``max_idle_s`` seconds; a negative value always opens a new one. A request
    that ``is_single`` has a connection of its own. Opening a connection takes
    time, in which the process may even be paused: ``may_send`` is asked again
    right before the request is written on a new one.
    """

    encoded: bytes
    is_own_response: Callable[[HeaderPairs], bool]
    is_head: bool = False
    max_idle_s: float = DEFAULT_MAX_IDLE_S
    is_identified_response: Callable[[HeaderPairs], bool] = accept_any_headers
    request_id: str = ''
    is_single: bool = False
    may_send: Callable[[], bool] = always_allow
    body: bytes = b''


class AbortableConnection(abc.ABC):
    """A connection that can be closed while a request is in flight on it."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection at once, without sending buffered data."""


class InFlightRequest:
    """A request that was passed to the client and has no result yet."""

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
        """Create an unsent request; ``on_result`` gets its one result."""
        self.request = request
        self.on_result = on_result
        self.connection: AbortableConnection | None = None
        self.is_finished = False
        self.was_sent = False

    def finish(self, result: SendResult) -> None:
        """Report the result, unless one was reported before."""
        if not self.is_finished:
            self.is_finished = True
            self.connection = None
            self.on_result(result)

    def cancel(self, kind: SendFailureKind = SendFailureKind.CANCELLED) -> None:
        """Report a failure and close the connection of the request."""
        connection = self.connection
        self.finish(SendFailure(kind, self.was_sent))
        if connection is not None:
            connection.abort()
