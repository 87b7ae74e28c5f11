"""Links between mesh nodes on which nothing arrives for a while."""

import pytest

from ebonycleat.internal.connection.mesh_frames import (
    encode_frame,
)
from ebonycleat.internal.connection.mesh_link import (
    SET_ASIDE_AFTER_S,
    SILENCE_TIMEOUT_S,
    LinkHandler,
    LinkPool,
    MeshLink,
)
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    Hello,
    LoadReport,
    Ping,
    Pong,
)
from tests.mesh_fakes import ManualClock, RecordingTransport

ADDRESS = 'n2:1'
LOAD = LoadReport(0, 0, 4, 10, 0, False)
CHECK_INTERVAL_S = 0.1


class ReplyHandler(LinkHandler):
    """Resolves replies, and sets silent links of a pool aside."""

    def __init__(self):
        self.pool = None

    def message_received(self, link, message):
        link.resolve_reply(message.number, message)

    def link_closed(self, link):
        self.pool.remove(link)

    def link_silent(self, link):
        self.pool.set_aside(link)


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


@pytest.fixture(name='pool')
def fixture_pool(clock):
    """Return a pool with one open link to ``ADDRESS``."""
    handler = ReplyHandler()
    pool = LinkPool(handler, Hello('n1:1', 'maps'), clock)
    handler.pool = pool
    link = MeshLink(handler, clock)
    link.connection_made(RecordingTransport())
    link.node = ADDRESS
    pool.register(ADDRESS, link)
    return pool


def pass_time(pool, clock, seconds):
    end = clock.now + seconds
    while clock.now < end:
        clock.now += CHECK_INTERVAL_S
        pool.check_silence()


def await_replies(link):
    """Await a reply that can be given up (1) and one that cannot (2)."""
    replies = {}
    link.expect_reply(1, lambda reply: replies.update({1: reply}))
    link.expect_reply(
        2,
        lambda reply: replies.update({2: reply}),
        waits_in_silence=True,
    )
    return replies


def test_silence_gives_up_only_what_can_be_sent_elsewhere(pool, clock):
    """Guards against giving up the running work of a VM that is only paused.

    No new call uses the link meanwhile.
    """
    link = pool.find_open_link(ADDRESS)
    replies = await_replies(link)
    pass_time(pool, clock, SILENCE_TIMEOUT_S + 0.5)
    assert replies == {1: None}
    assert not link.transport.is_aborted
    assert pool.find_open_link(ADDRESS) is None


def test_an_answer_that_comes_after_the_silence_is_delivered(pool, clock):
    """Guards against dropping the result of work that went on."""
    link = pool.find_open_link(ADDRESS)
    replies = await_replies(link)
    pass_time(pool, clock, SILENCE_TIMEOUT_S + 0.5)
    refusal = CallRefusal(2, 'shed', True, 0, LOAD)
    link.data_received(encode_frame(refusal))
    assert replies[2] == refusal
    pass_time(pool, clock, CHECK_INTERVAL_S)
    assert link.transport.is_aborted


def test_a_silent_link_without_such_calls_closes_at_once(pool, clock):
    """Guards against keeping connections that nobody needs."""
    link = pool.find_open_link(ADDRESS)
    replies = []
    link.expect_reply(1, replies.append)
    pass_time(pool, clock, SILENCE_TIMEOUT_S + 0.5)
    assert replies == [None]
    assert link.transport.is_aborted


def test_a_link_that_closes_ends_the_calls_that_waited_in_its_silence(
    pool, clock
):
    """Guards against callers that wait for a process which has ended."""
    link = pool.find_open_link(ADDRESS)
    replies = await_replies(link)
    pass_time(pool, clock, SILENCE_TIMEOUT_S + 0.5)
    link.connection_lost(None)
    assert replies == {1: None, 2: None}
    assert not pool.silent_links


def test_a_link_that_is_being_closed_takes_no_call(pool):
    """Guards against "may have run" for a call that was never sent."""
    pool.find_open_link(ADDRESS).close()
    assert pool.find_open_link(ADDRESS) is None


def test_requests_that_are_given_up_early_do_not_hide_a_silent_link(
    pool, clock
):
    """Guards against a dead link that takes every request of some callers."""
    link = pool.find_open_link(ADDRESS)
    for number in range(10):
        link.expect_reply(number, lambda reply: None)
        pass_time(pool, clock, 0.3)
        link.forget_reply(number)
        pass_time(pool, clock, CHECK_INTERVAL_S)
    assert link.transport.is_aborted
    assert pool.find_open_link(ADDRESS) is None


def test_a_link_that_answers_pings_stays_open(pool, clock):
    """Guards against closing a link only because requests are cancelled."""
    link = pool.find_open_link(ADDRESS)
    for number in range(10):
        link.expect_reply(number, lambda reply: None)
        pass_time(pool, clock, 0.3)
        link.forget_reply(number)
        pass_time(pool, clock, CHECK_INTERVAL_S)
        if encode_frame(Ping()) in link.transport.written:
            link.data_received(encode_frame(Pong()))
            link.transport.written.clear()
    assert pool.find_open_link(ADDRESS) is link


def test_new_calls_use_another_link_before_awaited_replies_are_given_up(
    pool, clock
):
    """Guards against calls that wait on a link which is probably dead."""
    link = pool.find_open_link(ADDRESS)
    replies = await_replies(link)
    pass_time(pool, clock, SET_ASIDE_AFTER_S + CHECK_INTERVAL_S)
    assert pool.find_open_link(ADDRESS) is None
    assert not replies
    refusal = CallRefusal(1, 'shed', True, 0, LOAD)
    link.data_received(encode_frame(refusal))
    assert replies == {1: refusal}


def test_one_silent_link_has_the_others_verified(pool, clock):
    """Guards against finding out dead links one by one, each by a call."""
    silent = pool.find_open_link(ADDRESS)
    others = []
    for number in range(3):
        link = MeshLink(pool.handler, clock)
        link.connection_made(RecordingTransport())
        link.node = f'n{number}:9'
        pool.register(link.node, link)
        others.append(link)
    await_replies(silent)
    pass_time(pool, clock, SET_ASIDE_AFTER_S + CHECK_INTERVAL_S)
    last_sent = {bytes(one.transport.written[-1]) for one in others}
    assert last_sent == {encode_frame(Ping())}
    others[0].data_received(encode_frame(Pong()))
    pass_time(pool, clock, SET_ASIDE_AFTER_S + CHECK_INTERVAL_S)
    assert [pool.find_open_link(one.node) for one in others] == [
        others[0],
        None,
        None,
    ]
