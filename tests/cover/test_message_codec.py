"""Bytes from peers and the log are outside input and must be checked."""

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
    """Guards against a field that one side writes and the other loses."""
    call = make_call()
    assert codec.decode(codec.encode(call)) == call


def test_nested_enumerations_survive_a_round_trip():
    """Guards against a refusal that loses its outcome between nodes."""
    refused = RefusedCall('c', Refusal(Reason.SHED, Outcome.NOT_RUN))
    assert codec.decode(codec.encode(refused)) == refused


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_the_layer_error(encoded):
    """Guards against a traceback caused by bytes from outside."""
    try:
        codec.decode(encoded)
    except MalformedMessage:
        return


@given(st.data())
def test_damaged_messages_raise_only_the_layer_error(data):
    """Guards against a damaged frame that passes as another type."""
    encoded = bytearray(codec.encode(make_call()))
    position = data.draw(st.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(st.integers(0, 255))
    try:
        decoded = codec.decode(bytes(encoded))
    except MalformedMessage:
        return
    assert isinstance(decoded, Call)


def test_a_class_that_is_not_registered_is_not_encoded():
    """Guards against sending what the other side cannot read."""
    with pytest.raises(MalformedMessage, match='not a registered message'):
        codec.encode(Refusal(Reason.SHED, Outcome.NOT_RUN))
