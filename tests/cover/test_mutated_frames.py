"""Frames between nodes that arrive in pieces or damaged."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.connection.mesh_frames import (
    FrameDecoder,
    encode_frame,
)
from ebonycleat.internal.connection.mesh_messages import (
    ConfigurationUpdate,
    FreshnessReply,
    FreshnessRequest,
    Hello,
    MembersUpdate,
    Ping,
)

MESSAGES = (
    Hello('n1:1', 'maps'),
    Ping(),
    FreshnessRequest(1, 2, 3, 4),
    FreshnessReply(1, 2, 3),
    ConfigurationUpdate(7, b'record'),
    MembersUpdate(5, (('n1:1', b'member'),), is_complete=True, era=2),
)

cuts = st.lists(st.integers(0, 500), max_size=5)
messages = st.lists(st.sampled_from(MESSAGES), min_size=1, max_size=5)


def feed(decoder, received, places):
    """Feed bytes in pieces; return the messages."""
    starts = [0, *sorted(place % (len(received) + 1) for place in places)]
    return [
        message
        for start, end in zip(starts, [*starts[1:], None], strict=True)
        for message in decoder.feed(received[start:end])
    ]


@given(sent=messages, cuts=cuts)
def test_frames_in_any_pieces_bring_their_messages(sent, cuts):
    """Guards against messages that depend on the sizes of packets."""
    received = b''.join(map(encode_frame, sent))
    assert feed(FrameDecoder(), received, cuts) == sent


@given(
    sent=messages,
    position=st.integers(0, 500),
    replacement=st.binary(max_size=6),
    removed=st.integers(0, 6),
    cuts=cuts,
)
def test_damaged_frames_are_malformed_or_incomplete(
    sent, position, replacement, removed, cuts
):
    """Guards against an error that ends the node instead of the link."""
    whole = b''.join(map(encode_frame, sent))
    start = position % (len(whole) + 1)
    damaged = whole[:start] + replacement + whole[start + removed :]
    with contextlib.suppress(MalformedMessage):
        feed(FrameDecoder(), damaged, cuts)
