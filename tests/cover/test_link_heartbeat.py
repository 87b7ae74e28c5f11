"""Detection of open links that deliver nothing while new ones work (F8)."""

import pytest

from ebonycleat import Outcome
from ebonycleat.internal.connection.link_monitor import (
    PING_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    VERIFY_TIMEOUT_S,
    CloseLink,
    LinkMonitor,
    LostCallAction,
    OpenLink,
    SendPing,
    resolve_lost_call,
)

PEER_LINKS = range(8)

TICK_S = 0.05


def create_monitor():
    monitor = LinkMonitor()
    for link in PEER_LINKS:
        monitor.link_opened(link, 'peer', 0)
    monitor.link_opened(99, 'other', 0)
    return monitor


def run_ticks(monitor, until_s, answering_links):
    closed = {}
    opened = 0
    for tick in range(1, round(until_s / TICK_S) + 1):
        now = tick * TICK_S
        actions = monitor.tick(now)
        pinged = {
            action.link for action in actions if isinstance(action, SendPing)
        }
        for link in pinged & answering_links:
            monitor.data_received(link, now)
        closed.update(
            (action.link, now)
            for action in actions
            if isinstance(action, CloseLink)
        )
        opened += sum(isinstance(action, OpenLink) for action in actions)
    return closed, opened


def test_a_link_that_answers_pings_stays_open():
    """Guards against closing links that are merely idle."""
    monitor = create_monitor()
    assert run_ticks(monitor, 60, {*PEER_LINKS, 99}) == ({}, 0)


def test_all_dead_links_of_a_peer_close_after_one_timeout():
    """Guards against calls that time out on one dead link after another."""
    monitor = create_monitor()
    # Link 0 received its last byte at 0 s, link 1 at 0.1 s, and so on.
    for link in PEER_LINKS:
        monitor.data_received(link, link / 10)
    closed, opened = run_ticks(monitor, 3, {99})
    assert set(closed) == set(PEER_LINKS)
    assert closed[0] <= SILENCE_TIMEOUT_S + TICK_S
    assert max(closed.values()) - closed[0] <= VERIFY_TIMEOUT_S + TICK_S + 0.001
    assert opened >= 1


def test_other_links_of_a_silent_peer_take_no_calls_until_they_receive_data():
    """Guards against new calls on links that are probably dead too."""
    monitor = create_monitor()
    run_ticks(monitor, 0.95, {1, 99})
    actions = monitor.tick(SILENCE_TIMEOUT_S)
    assert CloseLink(0, 'peer') in actions
    assert SendPing(1) in actions
    assert OpenLink('peer') in actions
    assert not monitor.is_usable(1)
    assert monitor.is_usable(99)
    monitor.data_received(1, SILENCE_TIMEOUT_S + 0.01)
    assert monitor.is_usable(1)
    later = monitor.tick(SILENCE_TIMEOUT_S + VERIFY_TIMEOUT_S)
    assert CloseLink(1, 'peer') not in later


def test_a_link_failure_during_a_call_has_the_other_links_verified():
    """Guards against waiting 1 s for silence after a connection reset."""
    monitor = create_monitor()
    actions = monitor.link_failed(0, 0.1)
    assert {SendPing(link) for link in PEER_LINKS if link} < set(actions)
    assert monitor.link_failed(0, 0.1) == []
    monitor.tick(0.1 + VERIFY_TIMEOUT_S / 2)
    assert CloseLink(7, 'peer') in monitor.tick(0.1 + VERIFY_TIMEOUT_S)


def test_pings_are_sent_at_their_interval():
    """Guards against a busy link that is never verified."""
    monitor = create_monitor()
    assert monitor.tick(PING_INTERVAL_S - 0.01) == []
    assert SendPing(0) in monitor.tick(PING_INTERVAL_S)
    assert monitor.tick(PING_INTERVAL_S + 0.01) == []


def test_a_pause_of_the_node_itself_closes_no_links_at_once():
    """Guards against a resumed node that closes all its healthy links."""
    monitor = create_monitor()
    monitor.tick(0.1)
    actions = monitor.tick(5)
    assert not any(isinstance(action, CloseLink) for action in actions)
    assert CloseLink(0, 'peer') in monitor.tick(5 + VERIFY_TIMEOUT_S)


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_call_that_was_not_sent_has_not_run(idempotent):
    """Guards against an unknown outcome for a call that was never sent."""
    resolution = resolve_lost_call(sent=False, idempotent=idempotent)
    assert resolution.outcome is Outcome.NOT_RUN


def test_a_sent_call_is_retried_only_when_it_is_idempotent():
    """Guards against running a call twice, and against a false NOT_RUN."""
    assert resolve_lost_call(sent=True, idempotent=True) is LostCallAction.RETRY
    resolution = resolve_lost_call(sent=True, idempotent=False)
    assert resolution.outcome is Outcome.UNKNOWN
