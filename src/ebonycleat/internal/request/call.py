"""The typed form of one request on its way through the nodes.

A call carries the team but never the key: the key is digested where the
request enters and is dropped there.
"""

import enum
from typing import TypeAlias

import msgspec

from ebonycleat.internal.request.refusal import Refusal

HeaderPairs: TypeAlias = tuple[tuple[str, str], ...]


class Priority(enum.IntEnum):
    """Shedding order of routes: the highest number is shed first."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3
    LOWEST = 4


LOWEST_PRIORITY = max(Priority)


class Call(msgspec.Struct, frozen=True):
    """One attempt to run a request.

    ``deadline`` is in seconds on the clock of the node that holds the call;
    peers exchange the time that is left, because their clocks differ.
    ``depth`` counts the hops that the root request has already passed.
    ``key_digest`` is the SHA-256 of the caller's key in hexadecimal, empty
    on routes open to all; it lets a withdrawal reach queued requests.
    ``retry_allowance`` is the part of the root's ledger handed to this call.
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


class Answer(msgspec.Struct, frozen=True):
    """The whole answer of a target to one call.

    ``retries_unused`` refunds the part of the ledger that was not spent.
    """

    call_id: str
    status: int
    headers: HeaderPairs = ()
    body: bytes = b''
    retries_unused: int = 0


class RefusedCall(msgspec.Struct, frozen=True):
    """A refusal as the result of one call.

    ``retries_unused`` refunds the part of the ledger that was not spent.
    """

    call_id: str
    refusal: Refusal
    retries_unused: int = 0


CallResult: TypeAlias = Answer | RefusedCall
