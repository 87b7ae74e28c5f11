"""Messages by which targets announce themselves, in the platform's format."""

from typing import Annotated, Literal

import msgspec

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
)
from ebonycleat.internal.connection.platform_interfaces import (
    ControlMessage,
    ControlProtocol,
    InvalidControlMessage,
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
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
    # Start of the target in Unix milliseconds; without it, it counts as the
    # oldest incarnation.
    born: _NotNegative = 0


class _Leaving(msgspec.Struct, frozen=True):
    born: _NotNegative = 0


_announcement_decoder = msgspec.json.Decoder(_Announcement)
_leaving_decoder = msgspec.json.Decoder(_Leaving)


class PlatformControlProtocol(ControlProtocol):
    """Reads heartbeats and deregistrations of targets.

    A heartbeat is a ``PUT`` of ``/instances/ID``, a deregistration a
    ``DELETE`` of it.
    """

    def parse_message(self, request: HttpRequest) -> ControlMessage:
        """Decode a message of a target."""
        path = request.target.partition('?')[0]
        instance = path.removeprefix(INSTANCE_PATH)
        if not path.startswith(INSTANCE_PATH) or not instance:
            return InvalidControlMessage(
                f'expected the path /instances/ID, found {path!r}'
            )
        try:
            return _parse_message(request, instance)
        except (msgspec.DecodeError, RecursionError) as error:
            return InvalidControlMessage(str(error))

    def render_acknowledgement(self, message: ControlMessage) -> HttpResponse:
        """Answer 200 to a valid message and 400 to an invalid one."""
        status = 400 if isinstance(message, InvalidControlMessage) else 200
        return HttpResponse(status, JSON_HEADERS, b'{}')


def _parse_message(request: HttpRequest, instance: str) -> ControlMessage:
    if request.method == 'DELETE':
        born = _leaving_decoder.decode(request.body).born if request.body else 0
        return TargetDeregistration(instance, born)
    if request.method != 'PUT':
        return InvalidControlMessage(
            f'expected PUT or DELETE, found {request.method!r}'
        )
    announcement = _announcement_decoder.decode(request.body)
    return TargetHeartbeat(
        instance=instance,
        service=announcement.info.service,
        slots=announcement.info.slots,
        state=TargetState(announcement.status.state),
        started_ms=announcement.born,
        sequence=announcement.status.seq,
        warm_up_left_s=announcement.status.warm_up_left_s,
    )
