"""Heartbeats and deregistrations of targets, in the platform's format."""

from typing import Annotated, Literal

import msgspec

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
)
from ebonycleat.internal.connection.platform_interfaces import (
    MAX_SLOTS,
    MAX_UNIX_TIME_MS,
    ControlMessage,
    ControlProtocol,
    InvalidControlMessage,
    TargetDeregistration,
    TargetHeartbeat,
    TargetState,
)

INSTANCE_PATH = '/instances/'
JSON_HEADERS = (('content-type', 'application/json'),)

MAX_SEQUENCE = 2**53 - 1
"""The largest whole number that every JSON program reads exactly."""

MAX_NAME_LENGTH = 255

# JSON has numbers of any size; the records of members have 64 bits.
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)]
_UnixTimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_TIME_MS)]
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class _Info(msgspec.Struct, frozen=True):
    service: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _Status(msgspec.Struct, frozen=True):
    state: Literal['ready', 'draining']
    seq: _Sequence
    warm_up_left_s: Annotated[float, msgspec.Meta(ge=0)] = msgspec.field(
        name='warmupLeftS',
        default=0,
    )


class _Heartbeat(msgspec.Struct, frozen=True):
    address: _Name
    info: _Info
    status: _Status
    # Start of the target in Unix milliseconds; if absent, the target counts as
    # its oldest incarnation.
    born: _UnixTimeMs = 0


class _Deregistration(msgspec.Struct, frozen=True):
    born: _UnixTimeMs = 0


_heartbeat_decoder = msgspec.json.Decoder(_Heartbeat)
_deregistration_decoder = msgspec.json.Decoder(_Deregistration)


class PlatformControlProtocol(ControlProtocol):
    """Reads heartbeats and deregistrations of targets.

    A heartbeat is a ``PUT`` of ``/instances/ID``, a deregistration a
    ``DELETE`` of it.
    """

    def parse_message(self, request: HttpRequest) -> ControlMessage:
        """Decode a message of a target."""
        path = request.request_target.partition('?')[0]
        instance = path.removeprefix(INSTANCE_PATH)
        if not path.startswith(INSTANCE_PATH) or not instance:
            return InvalidControlMessage(
                f'expected the path /instances/ID, found {path!r}'
            )
        if len(instance) > MAX_NAME_LENGTH:
            return InvalidControlMessage(
                f'the instance id has {len(instance)} characters, '
                f'{MAX_NAME_LENGTH} are allowed'
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
        born = (
            _deregistration_decoder.decode(request.body).born
            if request.body
            else 0
        )
        return TargetDeregistration(instance, born)
    if request.method != 'PUT':
        return InvalidControlMessage(
            f'expected PUT or DELETE, found {request.method!r}'
        )
    heartbeat = _heartbeat_decoder.decode(request.body)
    return TargetHeartbeat(
        instance=instance,
        service=heartbeat.info.service,
        slots=heartbeat.info.slots,
        state=TargetState(heartbeat.status.state),
        started_ms=heartbeat.born,
        sequence=heartbeat.status.seq,
        warm_up_left_s=heartbeat.status.warm_up_left_s,
    )
