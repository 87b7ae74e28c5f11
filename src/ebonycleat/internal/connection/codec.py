"""CBOR encoding of messages and log records, tagged with their class name.

The encoding is the array ``[name, fields]``, where ``fields`` is a map. Class
names and field names are therefore part of the format. Only classes that are
registered with a codec can be encoded and decoded.
"""

import io
from collections.abc import Iterable, Mapping
from typing import Any

import cbor2
import msgspec

from ebonycleat.internal.connection.errors import MalformedMessage

ENVELOPE_LENGTH = 2


class MessageCodec:
    """Encodes and decodes objects of the registered classes."""

    def __init__(self, classes: Iterable[type]) -> None:
        """Register classes.

        Raises ``ValueError`` if two of them have the same name.
        """
        known_classes = tuple(classes)
        self.class_by_name: Mapping[str, type] = {
            message_class.__name__: message_class
            for message_class in known_classes
        }
        if len(self.class_by_name) < len(known_classes):
            raise ValueError(
                'two message classes have the same name; names must be unique',
            )

    def encode(self, message: object) -> bytes:
        """Encode one message.

        Raises ``MalformedMessage`` if its class is not registered.
        """
        name = type(message).__name__
        if name not in self.class_by_name:
            raise MalformedMessage(f'{name} is not a registered message class')
        fields = msgspec.to_builtins(
            message,
            builtin_types=(bytes,),
            order='deterministic',
        )
        return cbor2.dumps([name, fields])

    def decode(self, encoded: bytes) -> Any:
        """Decode one message.

        Raises ``MalformedMessage`` if ``encoded`` is not exactly one message
        of a registered class.
        """
        name, fields = _split_envelope(encoded)
        message_class = self.class_by_name.get(name)
        if message_class is None:
            raise MalformedMessage(f'unknown message class {name!r}')
        try:
            return msgspec.convert(
                fields,
                message_class,
                builtin_types=(bytes,),
            )
        except (msgspec.ValidationError, RecursionError) as error:
            raise MalformedMessage(f'{name}: {error}') from error


def create_codec(*classes: type) -> MessageCodec:
    """Create a codec for the given classes."""
    return MessageCodec(classes)


def _split_envelope(encoded: bytes) -> tuple[str, Any]:
    stream = io.BytesIO(encoded)
    try:
        envelope = cbor2.load(stream)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessage(f'not valid CBOR: {error}') from error
    if stream.read(1):
        raise MalformedMessage('unexpected bytes after the end of the message')
    if not isinstance(envelope, list) or len(envelope) != ENVELOPE_LENGTH:
        raise MalformedMessage(
            'a message must be an array of its class name and its fields',
        )
    name, fields = envelope
    if not isinstance(name, str):
        raise MalformedMessage(
            f'a class name must be a string, found {name!r:.40}',
        )
    return name, fields
