"""Frames of links: messages with their length in front.

The body of a large call or response is neither copied into its frame nor out of
it. A node holds each body once, however large it is.
"""

from collections.abc import Callable

import msgspec

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    CallRequest,
    CallResponse,
    MeshMessage,
)

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 134_217_728
"""Enough for the largest body that callers may send, and its headers."""

MAX_JOINED_BYTES = 65_536
"""Larger messages are not copied behind their length."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMeshMessage)

_LONG_BYTES_MARK = b'\xc6'
_SHORT_ARRAY_LIMIT = 16
_LONG_ARRAY_MARK = 0xDC
_LONG_ARRAY_HEAD_BYTES = 3
"""The encoding of MessagePack: an array with fewer elements than the limit has
a head of one byte. The mark of long bytes is followed by four bytes of
length."""

_SMALL_NUMBER_LIMIT = 0x80
_NUMBER_SIZE_MASK = 3
"""Numbers from the limit on follow a mark, whose low bits tell their size."""

NUMBER_PEEK_BYTES = 16
"""A frame's beginning up to its tag and number, and some more."""


class DroppedMessage(msgspec.Struct, frozen=True):
    """A call or its response that arrived and for which there was no room."""

    number: int
    is_request: bool


def _create_view_class(
    message_class: type[CallRequest | CallResponse],
) -> type[msgspec.Struct]:
    """Create a class for decoding a body as a view of its frame.

    A body that is decoded as bytes is copied while the frame is still there.
    """
    fields: list[tuple[str, object] | tuple[str, object, object]] = []
    for field in msgspec.structs.fields(message_class):
        field_type = memoryview if field.name == 'body' else field.type
        if field.default is msgspec.NODEFAULT:
            fields.append((field.name, field_type))
        else:
            fields.append((field.name, field_type, field.default))
    return msgspec.defstruct(
        f'{message_class.__name__}View',
        fields,
        bases=(MeshMessage,),
        frozen=True,
        array_like=True,
        tag=message_class.__struct_config__.tag,
    )


_view_classes = {
    one.__struct_config__.tag: (one, _create_view_class(one))
    for one in (CallRequest, CallResponse)
}
_view_decoders = {
    tag: (message_class, msgspec.msgpack.Decoder(view_class))
    for tag, (message_class, view_class) in _view_classes.items()
}


def encode_frame(message: AnyMeshMessage) -> bytes:
    """Encode a message with its length in front."""
    return b''.join(encode_frame_parts(message))


def encode_frame_parts(
    message: AnyMeshMessage,
) -> tuple[bytes | memoryview, ...]:
    """Encode a frame, a large one in parts that need not be joined.

    A large body is a part of its own, which is not copied.
    """
    if isinstance(message, (CallRequest, CallResponse)):
        if len(message.body) > MAX_JOINED_BYTES:
            return _encode_around_body(message)
    encoded = _encoder.encode(message)
    prefix = len(encoded).to_bytes(LENGTH_BYTES, 'big')
    if len(encoded) > MAX_JOINED_BYTES:
        return prefix, encoded
    return (prefix + encoded,)


def _encode_around_body(
    message: CallRequest | CallResponse,
) -> tuple[bytes | memoryview, ...]:
    elements = (
        message.__struct_config__.tag,
        *msgspec.structs.astuple(message),
    )
    body_index = message.__struct_fields__.index('body') + 1
    before, after = elements[:body_index], elements[body_index + 1 :]
    head = b''.join((
        _encode_array_head(len(elements)),
        *(_encoder.encode(element) for element in before),
        _LONG_BYTES_MARK,
        len(message.body).to_bytes(LENGTH_BYTES, 'big'),
    ))
    tail = b''.join(_encoder.encode(element) for element in after)
    length = len(head) + len(message.body) + len(tail)
    prefix = length.to_bytes(LENGTH_BYTES, 'big')
    return prefix + head, memoryview(message.body), tail


def _encode_array_head(count: int) -> bytes:
    # The head of an array does not depend on what is in it.
    is_short = count < _SHORT_ARRAY_LIMIT
    head_bytes = 1 if is_short else _LONG_ARRAY_HEAD_BYTES
    return _encoder.encode(tuple(range(count)))[:head_bytes]


def always_fits(length: int, is_call: bool) -> bool:
    """Accept a frame of any length."""
    return True


class FrameDecoder:
    """Splits a byte stream into messages.

    A frame above ``MAX_JOINED_BYTES`` is collected in ``large`` until it has
    ``large_length`` bytes. If there is no room for it, ``skipped`` bytes of it
    are left to be skipped: other messages follow it on the same connection.
    """

    def __init__(
        self, has_room: Callable[[int, bool], bool] = always_fits
    ) -> None:
        """Create a decoder with an empty buffer.

        ``has_room`` is asked with the length of each large frame and whether
        it is a call or its response.
        """
        self.has_room = has_room
        self.buffer = bytearray()
        self.large = bytearray()
        self.large_length = 0
        self.skipped = 0

    def feed(self, received: bytes) -> list[AnyMeshMessage | DroppedMessage]:
        """Add received bytes and return the messages that are now complete.

        Raises ``MalformedMessage`` for a frame that is too long or cannot be
        decoded.
        """
        messages: list[AnyMeshMessage | DroppedMessage] = []
        rest = memoryview(received)
        while rest:
            if self.skipped:
                count = min(self.skipped, len(rest))
                self.skipped -= count
                rest = rest[count:]
            elif self.large_length:
                rest = self.fill_large(rest, messages)
            else:
                self.buffer += rest
                rest = self.split_buffer(messages)
        return messages

    def fill_large(
        self,
        received: memoryview,
        messages: list[AnyMeshMessage | DroppedMessage],
    ) -> memoryview:
        """Add bytes to a large frame; returns those that follow it."""
        count = min(self.large_length - len(self.large), len(received))
        self.large += received[:count]
        if len(self.large) == self.large_length:
            frame = self.large
            self.large = bytearray()
            self.large_length = 0
            messages.append(_decode_large(frame))
        return received[count:]

    def split_buffer(
        self, messages: list[AnyMeshMessage | DroppedMessage]
    ) -> memoryview:
        """Decode the frames in the buffer.

        Returns what belongs to a large frame, or nothing.
        """
        start = 0
        while len(self.buffer) - start >= LENGTH_BYTES:
            body_start = start + LENGTH_BYTES
            length = int.from_bytes(self.buffer[start:body_start], 'big')
            if length > MAX_FRAME_BYTES:
                raise MalformedMessage(
                    f'a frame of {length} bytes is longer than MAX_FRAME_BYTES',
                )
            end = body_start + length
            is_peeked = len(self.buffer) - body_start >= NUMBER_PEEK_BYTES
            if length > MAX_JOINED_BYTES and is_peeked:
                rest = memoryview(bytes(self.buffer[body_start:]))
                self.buffer = bytearray()
                self.start_large(length, rest, messages)
                return rest
            if len(self.buffer) < end:
                break
            with memoryview(self.buffer)[body_start:end] as frame:
                messages.append(_decode(frame))
            start = end
        if start:
            self.buffer = self.buffer[start:]
        return memoryview(b'')

    def start_large(
        self,
        length: int,
        beginning: memoryview,
        messages: list[AnyMeshMessage | DroppedMessage],
    ) -> None:
        """Collect a large frame, or skip it if there is no room."""
        dropped = _peek_call(beginning)
        if self.has_room(length, dropped is not None) or dropped is None:
            self.large_length = length
        else:
            self.skipped = length
            messages.append(dropped)


def _peek_call(beginning: memoryview) -> DroppedMessage | None:
    """Return what must be known of a call or response to drop it."""
    is_long = beginning[0] == _LONG_ARRAY_MARK
    start = _LONG_ARRAY_HEAD_BYTES if is_long else 1
    tag = beginning[start]
    if tag not in _view_decoders:
        return None
    number = beginning[start + 1]
    # Beyond the small numbers, a byte of 0xcc to 0xcf tells their size.
    if number >= _SMALL_NUMBER_LIMIT:
        size = 1 << (number & _NUMBER_SIZE_MASK)
        digits = beginning[start + 2 : start + 2 + size]
        number = int.from_bytes(digits, 'big')
    return DroppedMessage(number, tag == CallRequest.__struct_config__.tag)


def _decode_large(frame: bytearray) -> AnyMeshMessage:
    view = memoryview(frame)
    is_long = frame[0] == _LONG_ARRAY_MARK
    tag = frame[_LONG_ARRAY_HEAD_BYTES if is_long else 1]
    if tag not in _view_decoders:
        return _decode(view)
    message_class, decoder = _view_decoders[tag]
    try:
        decoded = decoder.decode(view)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage(
            f'the frame is not a valid message: {error}'
        ) from error
    message: AnyMeshMessage = message_class(*msgspec.structs.astuple(decoded))
    return message


def _decode(encoded: memoryview) -> AnyMeshMessage:
    try:
        message: AnyMeshMessage = _decoder.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessage(
            f'the frame is not a valid message: {error}'
        ) from error
    return message
