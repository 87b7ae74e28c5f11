"""Calls and their results, as nodes pass them to each other.

A call names the team that it runs for but never contains the API key of the
caller: the node that receives the request replaces the key by its digest.
"""

import enum
import math
from typing import TypeAlias

import msgspec

from ebonycleat.internal.request.refusal import Refusal

HeaderPairs: TypeAlias = tuple[tuple[str, str], ...]


class Priority(enum.IntEnum):
    """Priority of a route; under overload the highest number is shed first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3
    LOWEST = 4


LOWEST_PRIORITY = max(Priority)


class Call(msgspec.Struct, frozen=True):
    """A request that a target is to run, as nodes pass it on.

    Each attempt to run a request is a copy of its call with a ``call_id`` of
    its own. ``root_id`` is the id of the request at the root of the call tree,
    which came from outside the fleet. ``depth`` is the number of calls between
    that root and this call. ``deadline`` is in seconds on the monotonic clock
    of the node that holds the call; between nodes the time that is left is
    sent instead, because their clocks differ. ``path`` includes the query
    string. ``key_digest`` is the SHA-256 of the caller's key in hexadecimal,
    so that requests in a queue can be refused once the key is withdrawn; it is
    empty on routes open to all. ``retry_allowance`` is the number of retries
    that may still be made on behalf of this call, lent from the retry limit of
    the root request. ``objective`` is the time, on the same clock as
    ``deadline``, until which an answer meets the route's latency objective; it
    equals the deadline where the route has none. While ``moves_left`` is
    positive, a gate may hand the call back for another target instead of
    letting it wait.
    """

    call_id: str
    root_id: str
    team: str
    route: str
    service: str
    priority: Priority
    idempotent: bool
    deadline: float
    method: str
    path: str
    headers: HeaderPairs = ()
    body: bytes = b''
    idempotency_key: str = ''
    key_digest: str = ''
    depth: int = 0
    retry_allowance: int = 0
    objective: float = math.inf
    moves_left: int = 0


class Answer(msgspec.Struct, frozen=True):
    """The complete response of a target to one call.

    ``retries_unused`` is the part of the call's ``retry_allowance`` that was
    not spent; the sender of the call gets it back.
    """

    call_id: str
    status: int
    headers: HeaderPairs = ()
    body: bytes = b''
    retries_unused: int = 0


class RefusedCall(msgspec.Struct, frozen=True):
    """The refusal that one call ended with.

    ``retries_unused`` is the part of the call's ``retry_allowance`` that was
    not spent; the sender of the call gets it back.
    """

    call_id: str
    refusal: Refusal
    retries_unused: int = 0


CallResult: TypeAlias = Answer | RefusedCall
