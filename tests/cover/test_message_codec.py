"""Decoding of bytes from peers and the log, which are untrusted input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat import Call, Outcome, Priority, Reason, Refusal, RefusedCall
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.errors import MalformedMessage

codec = create_codec(Call, RefusedCall)


def make_call() -> Call:
    return Call(
        call_id='call-1',
        root_id='root-1',
        team='survey',
        route='map',
        service='map',
        priority=Priority.CRITICAL,
        idempotent=True,
        deadline=1.5,
        method='GET',
        path='/map/current',
        headers=(('Accept', 'image/png'),),
        body=b'\x00\xff',
    )


def test_a_call_survives_a_round_trip():
    """Guards against fields that are encoded but not decoded."""
    call = make_call()
    assert codec.decode(codec.encode(call)) == call


def test_nested_enumerations_survive_a_round_trip():
    """Guards against a refusal that loses its outcome between nodes."""
    refused = RefusedCall('c', Refusal(Reason.SHED, Outcome.NOT_RUN))
    assert codec.decode(codec.encode(refused)) == refused


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_malformed_message(encoded):
    """Guards against other exceptions caused by bytes from peers."""
    try:
        codec.decode(encoded)
    except MalformedMessage:
        return


@given(st.data())
def test_damaged_messages_raise_only_malformed_message(data):
    """Guards against a damaged message that decodes to another type."""
    encoded = bytearray(codec.encode(make_call()))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(st.integers(0, 255))
    try:
        decoded = codec.decode(bytes(encoded))
    except MalformedMessage:
        return
    assert isinstance(decoded, Call)


def test_a_class_that_is_not_registered_is_not_encoded():
    """Guards against sending a message that the receiver cannot decode."""
    with pytest.raises(MalformedMessage, match='not a registered message'):
        codec.encode(Refusal(Reason.SHED, Outcome.NOT_RUN))
