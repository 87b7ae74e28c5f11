"""Messages between the nodes of a mesh, and their compact encoding.

Bytes between availability zones are the largest running cost of a calm day,
so messages travel as MessagePack arrays without field names.
"""

from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.request.call import HeaderPairs

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 134_217_728
"""Room for the largest body that callers may send, and its headers."""


class MeshMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all messages."""


class LoadReport(MeshMessage, frozen=True, tag=0):
    """Load of a gate: waiting and running calls and the limit of the latter.

    ``latency_ms`` includes waiting; ``level`` is the admission level.
    ``shares`` names full services with the shares of direct requests and of
    calls that they can take, in thousandths; ``costs`` has, for each of them,
    the thousandths of a call there that one request causes.
    """

    queued: int
    running: int
    limit: int
    latency_ms: int
    level: int
    is_draining: bool
    shares: tuple[tuple[str, int, int], ...] = ()
    costs: tuple[int, ...] = ()


class Hello(MeshMessage, frozen=True, tag=1):
    """First message on a link: who has connected."""

    node: str
    service: str


class CallRequest(MeshMessage, frozen=True, tag=2):
    """Run a call at the receiver's target.

    ``number`` identifies the call on this link. ``left_ms`` is the time that
    is left, since the clocks of two VMs differ. ``key_mark`` is a digest of
    the caller's key, empty on routes open to all. ``origin_service`` is the
    service of the VM where the request began.
    """

    number: int
    request_id: str
    team: str
    route: str
    service: str
    origin_service: str
    priority: int
    is_idempotent: bool
    depth: int
    time_left_ms: int
    method: str
    target: str
    host: str
    headers: HeaderPairs
    body: bytes
    key_fingerprint: bytes


class CallResponse(MeshMessage, frozen=True, tag=3):
    """The whole answer of the target, with the load of its gate."""

    number: int
    status: int
    headers: HeaderPairs
    body: bytes
    load: LoadReport


class CallRefusal(MeshMessage, frozen=True, tag=4):
    """No answer; ``has_not_run`` is a promise and false means unknown.

    ``reason`` is the value of a ``Reason``.
    """

    number: int
    reason: str
    has_not_run: bool
    retry_after_ms: int
    load: LoadReport


class CancelCall(MeshMessage, frozen=True, tag=5):
    """The caller has left; nobody waits for the result."""

    number: int


class Ping(MeshMessage, frozen=True, tag=6):
    """Asks for a sign of life."""


class Pong(MeshMessage, frozen=True, tag=7):
    """A sign of life."""


class FreshnessRequest(MeshMessage, frozen=True, tag=8):
    """Ask how old the receiver's proof of the configuration is.

    ``version`` is the asker's; ``members_offset`` is how far the asker has
    followed the members. The receiver sends what is newer.
    """

    number: int
    version: int
    members_offset: int


class FreshnessReply(MeshMessage, frozen=True, tag=9):
    """Age of the answerer's proof when it answered; negative: none."""

    number: int
    version: int
    age_ms: int


class ConfigurationUpdate(MeshMessage, frozen=True, tag=10):
    """A configuration as it stands in the store."""

    version: int
    record: bytes


class MembersUpdate(MeshMessage, frozen=True, tag=11):
    """Changed members as they stand in the store, up to an offset.

    ``is_whole`` tells that members not named here do not exist.
    """

    offset: int
    records: tuple[tuple[str, bytes], ...]
    is_complete: bool


class TokenExchangeRequest(MeshMessage, frozen=True, tag=12):
    """Parts of teams lent to the receiver, and tokens wanted from it.

    ``lent`` names the sender's parts with the tokens that they hold; each is
    lent for one lease. ``wanted`` names teams with the tokens needed now and
    those that could be used soon. ``is_own_zone`` is false between leaders of zones.
    """

    number: int
    lent: tuple[tuple[str, float], ...]
    wanted: tuple[tuple[str, float, float], ...]
    is_same_zone: bool


class TokenExchangeReply(MeshMessage, frozen=True, tag=13):
    """Tokens of teams given for the exchange with this number."""

    number: int
    granted: tuple[tuple[str, float], ...]


AnyMeshMessage: TypeAlias = (
    Hello
    | CallRequest
    | CallResponse
    | CallRefusal
    | CancelCall
    | Ping
    | Pong
    | FreshnessRequest
    | FreshnessReply
    | ConfigurationUpdate
    | MembersUpdate
    | TokenExchangeRequest
    | TokenExchangeReply
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMeshMessage)


def encode_frame(message: AnyMeshMessage) -> bytes:
    """One message with its length before it."""
    encoded = _encoder.encode(message)
    return len(encoded).to_bytes(LENGTH_BYTES, 'big') + encoded


class FrameDecoder:
    """Cuts received bytes into messages."""

    def __init__(self) -> None:
        """Start without bytes."""
        self.buffer = bytearray()

    def feed(self, received: bytes) -> list[AnyMeshMessage]:
        """Return the messages that became whole.

        Raises ``MalformedMessage`` for bytes that are no message.
        """
        self.buffer += received
        messages: list[AnyMeshMessage] = []
        start = 0
        while len(self.buffer) - start >= LENGTH_BYTES:
            body_start = start + LENGTH_BYTES
            length = int.from_bytes(self.buffer[start:body_start], 'big')
            if length > MAX_FRAME_BYTES:
                raise MalformedMessage(f'a frame of {length} bytes')
            end = body_start + length
            if len(self.buffer) < end:
                break
            messages.append(_decode(bytes(self.buffer[body_start:end])))
            start = end
        if start:
            self.buffer = self.buffer[start:]
        return messages


def _decode(encoded: bytes) -> AnyMeshMessage:
    try:
        message: AnyMeshMessage = _decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage(f'not a message: {error}') from error
    return message
