"""Open links can go silent while new ones work (F8)."""

import pytest

from ebonycleat import Outcome
from ebonycleat.internal.connection.link_monitor import (
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    VERIFY_TIMEOUT_S,
    LostCallAction,
    CloseLink,
    LinkMonitor,
    OpenLink,
    SendPing,
    resolve_lost_call,
)

POOL = range(8)

TICK_S = 0.05


def make_pool():
    watch = LinkMonitor()
    for link in POOL:
        watch.link_opened(link, 'peer', 0)
    watch.link_opened(99, 'other', 0)
    return watch


def run(watch, until, answering):
    closed = {}
    opened = 0
    for tick in range(1, round(until / TICK_S) + 1):
        now = tick * TICK_S
        actions = watch.tick(now)
        pinged = {one.link for one in actions if isinstance(one, SendPing)}
        for link in pinged & answering:
            watch.data_received(link, now)
        closed.update(
            (one.link, now) for one in actions if isinstance(one, CloseLink)
        )
        opened += sum(isinstance(one, OpenLink) for one in actions)
    return closed, opened


def test_a_link_that_answers_pings_stays_open():
    """Guards against closing links that are merely idle."""
    watch = make_pool()
    assert run(watch, 60, {*POOL, 99}) == ({}, 0)


def test_a_dead_pool_costs_one_timeout():
    """Guards against calls that meet one silent link after the other."""
    watch = make_pool()
    # The links fell silent at different times, the last one much later.
    for link in POOL:
        watch.data_received(link, link / 10)
    closed, opened = run(watch, 3, {99})
    assert set(closed) == set(POOL)
    assert closed[0] <= SILENCE_TIMEOUT_S + TICK_S
    assert max(closed.values()) - closed[0] <= VERIFY_TIMEOUT_S + TICK_S + 0.001
    assert opened >= 1


def test_siblings_take_no_calls_until_they_show_a_byte():
    """Guards against new calls on links that are probably dead too."""
    watch = make_pool()
    run(watch, 0.95, {1, 99})
    actions = watch.tick(SILENCE_TIMEOUT_S)
    assert CloseLink(0, 'peer') in actions
    assert SendPing(1) in actions
    assert OpenLink('peer') in actions
    assert not watch.is_usable(1)
    assert watch.is_usable(99)
    watch.data_received(1, SILENCE_TIMEOUT_S + 0.01)
    assert watch.is_usable(1)
    later = watch.tick(SILENCE_TIMEOUT_S + VERIFY_TIMEOUT_S)
    assert CloseLink(1, 'peer') not in later


def test_a_link_that_broke_under_a_call_casts_doubt_on_its_siblings():
    """Guards against waiting a second for what a reset already showed."""
    watch = make_pool()
    actions = watch.link_failed(0, 0.1)
    assert {SendPing(link) for link in POOL if link} < set(actions)
    assert watch.link_failed(0, 0.1) == []
    watch.tick(0.1 + VERIFY_TIMEOUT_S / 2)
    assert CloseLink(7, 'peer') in watch.tick(0.1 + VERIFY_TIMEOUT_S)


def test_pings_leave_at_their_interval():
    """Guards against a busy link that is never verified."""
    watch = make_pool()
    assert watch.tick(PING_INTERVAL_S - 0.01) == []
    assert SendPing(0) in watch.tick(PING_INTERVAL_S)
    assert watch.tick(PING_INTERVAL_S + 0.01) == []


def test_a_pause_of_the_node_itself_closes_no_links_at_once():
    """Guards against a node that wakes and drops all its healthy links."""
    watch = make_pool()
    watch.tick(0.1)
    woken = watch.tick(5)
    assert not any(isinstance(one, CloseLink) for one in woken)
    assert CloseLink(0, 'peer') in watch.tick(5 + VERIFY_TIMEOUT_S)


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_call_that_never_left_is_not_run(idempotent):
    """Guards against needless uncertainty."""
    fate = resolve_lost_call(sent=False, idempotent=idempotent)
    assert fate.outcome is Outcome.NOT_RUN


def test_a_sent_call_is_retried_only_when_it_is_idempotent():
    """Guards against a second run, and against a false NOT_RUN."""
    assert resolve_lost_call(sent=True, idempotent=True) is LostCallAction.RETRY
    fate = resolve_lost_call(sent=True, idempotent=False)
    assert fate.outcome is Outcome.UNKNOWN
