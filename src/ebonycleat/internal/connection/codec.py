"""CBOR encoding of frozen dataclasses, tagged with their class name.

One envelope serves peer messages and log records: ``[name, fields]``. A
registry of allowed classes keeps unknown names from being looked up.
"""

import io
from collections.abc import Iterable, Mapping
from typing import Any

import cbor2
import msgspec

from ebonycleat.internal.connection.errors import MalformedMessage

ENVELOPE_LENGTH = 2


class MessageCodec:
    """Encodes and decodes the registered classes."""

    def __init__(self, classes: Iterable[type]) -> None:
        """Allow exactly these classes; their names must be distinct."""
        known_classes = tuple(classes)
        self.class_by_name: Mapping[str, type] = {
            known.__name__: known for known in known_classes
        }
        if len(self.class_by_name) < len(known_classes):
            raise ValueError('two message classes have the same name')

    def encode(self, message: object) -> bytes:
        """Encode one message; its class must be registered."""
        name = type(message).__name__
        if name not in self.class_by_name:
            raise MalformedMessage(f'{name} is not a registered message')
        fields = msgspec.to_builtins(
            message,
            builtin_types=(bytes,),
            order='deterministic',
        )
        return cbor2.dumps([name, fields])

    def decode(self, encoded: bytes) -> Any:
        """Decode one message; raise ``MalformedMessage`` on anything else."""
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
    """Build a codec for the given classes."""
    return MessageCodec(classes)


def _split_envelope(encoded: bytes) -> tuple[str, Any]:
    stream = io.BytesIO(encoded)
    try:
        envelope = cbor2.load(stream)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise MalformedMessage(f'not valid CBOR: {error}') from error
    if stream.read(1):
        raise MalformedMessage('bytes follow the message')
    if not isinstance(envelope, list) or len(envelope) != ENVELOPE_LENGTH:
        raise MalformedMessage('a message is a list of its name and fields')
    name, fields = envelope
    if not isinstance(name, str):
        raise MalformedMessage(f'a message name is text, found {name!r:.40}')
    return name, fields
