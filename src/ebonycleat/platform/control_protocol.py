"""How targets announce themselves on the platform."""

from typing import Annotated, Literal

import msgspec

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    HttpRequest,
)
from ebonycleat.internal.connection.platform_interfaces import (
    ControlProtocol,
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
    ControlMessage,
    InvalidControlMessage,
)

INSTANCE_PATH = '/instances/'
JSON_HEADERS = (('content-type', 'application/json'),)

_NotNegative = Annotated[int, msgspec.Meta(ge=0)]


class _Info(msgspec.Struct, frozen=True):
    service: str
    slots: Annotated[int, msgspec.Meta(ge=1)]


class _Status(msgspec.Struct, frozen=True):
    state: Literal['ready', 'draining']
    seq: _NotNegative
    warm_up_left_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        name='warmupLeftS',
        default=0,
    )


class _Announcement(msgspec.Struct, frozen=True):
    address: str
    info: _Info
    status: _Status
    # Unix milliseconds of the target's start; absent counts as the oldest.
    born: _NotNegative = 0


class _Leaving(msgspec.Struct, frozen=True):
    born: _NotNegative = 0


_read_announcement = msgspec.json.Decoder(_Announcement)
_read_leaving = msgspec.json.Decoder(_Leaving)


class PlatformControlProtocol(ControlProtocol):
    """``PUT`` and ``DELETE`` of an instance."""

    def parse_message(self, request: HttpRequest) -> ControlMessage:
        """Decode a message of the target."""
        path = request.request_target.partition('?')[0]
        instance = path.removeprefix(INSTANCE_PATH)
        if not path.startswith(INSTANCE_PATH) or not instance:
            return InvalidControlMessage(f'no such path: {path!r}')
        try:
            return _read_word(request, instance)
        except (msgspec.DecodeError, RecursionError) as error:
            return InvalidControlMessage(str(error))

    def render_acknowledgement(self, message: ControlMessage) -> HttpResponse:
        """Acknowledge what was accepted, or refuse what cannot be read."""
        status = 400 if isinstance(message, InvalidControlMessage) else 200
        return HttpResponse(status, JSON_HEADERS, b'{}')


def _read_word(request: HttpRequest, instance: str) -> ControlMessage:
    if request.method == 'DELETE':
        born = _read_leaving.decode(request.body).born if request.body else 0
        return TargetDeregistration(instance, born)
    if request.method != 'PUT':
        return InvalidControlMessage(f'no such call: {request.method!r}')
    said = _read_announcement.decode(request.body)
    return TargetHeartbeat(
        instance=instance,
        service=said.info.service,
        slots=said.info.slots,
        state=TargetState(said.status.state),
        started_ms=said.born,
        sequence=said.status.seq,
        warm_up_left_s=said.status.warm_up_left_s,
    )
