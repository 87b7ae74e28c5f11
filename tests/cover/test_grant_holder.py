"""Rate tokens at the ingress node, which gets them from the budget owners.

The tests guard against refusals with a wrong reason and against spending a
token twice.
"""

import pytest

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.grant_messages import (
    GRANT_MESSAGES,
    DenialReason,
    GrantAsk,
    GrantDenied,
    GrantGiven,
    GrantReport,
)
from ebonycleat.internal.connection.lease_messages import (
    LEASE_MESSAGES,
    Heartbeat,
    HeldSlot,
)
from ebonycleat.internal.process.effects import SendToPeer
from ebonycleat.internal.process.grant_holder import GrantHolder
from ebonycleat.internal.process.ownership import BUDGET_KIND, SlotId
from ebonycleat.internal.process.team_token_queue import (
    TOKEN_WAIT_S,
    TokenGranted,
    TokenRefused,
    TokenWaiter,
)
from ebonycleat.internal.request.refusal import Reason, Refusal


def create_holder(owners):
    return GrantHolder(
        'n1',
        1,
        lambda: ['a', 'b'],
        lambda zone, team: owners.get(zone),
    )


def sent_messages(events):
    return [event for event in events if isinstance(event, SendToPeer)]


def only_event(events, kind):
    found = [event for event in events if isinstance(event, kind)]
    assert len(found) == 1
    return found[0]


def only_sent_ask(holder):
    return only_event(holder.drain_events(), SendToPeer)


def grant_tokens(ask, tokens=1, lifetime_s=1.0):
    ask_id = ask.message.ask_id
    return GrantGiven(ask_id, f'g-{ask_id}', 'ferry', tokens, lifetime_s)


def deny_as_empty(ask, retry_after_s):
    message = ask.message
    reason = DenialReason.EMPTY
    return GrantDenied(message.ask_id, 'ferry', reason, retry_after_s)


def test_calls_get_tokens_in_the_order_of_their_arrival():
    holder = create_holder({'a': 'n2'})
    token_waiters = [holder.reserve_token('ferry', 0) for _ in range(3)]
    ask = only_sent_ask(holder)
    holder.handle_answer(grant_tokens(ask, 2), 0.001)
    granted = [
        event
        for event in holder.drain_events()
        if isinstance(event, TokenGranted)
    ]
    assert [event.ticket for event in granted] == [
        waiter.ticket for waiter in token_waiters[:2]
    ]


def test_a_token_is_spent_once():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.handle_answer(grant_tokens(ask), 0.001)
    holder.handle_answer(grant_tokens(ask), 0.002)
    granted = only_event(holder.drain_events(), TokenGranted)
    assert holder.spend(granted.token, 0.003)
    assert not holder.spend(granted.token, 0.003)
    assert isinstance(holder.reserve_token('ferry', 0.003), TokenWaiter)


def test_the_lifetime_of_a_grant_counts_from_the_ask():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.handle_answer(grant_tokens(ask, lifetime_s=0.5), 0.007)
    granted = only_event(holder.drain_events(), TokenGranted)
    assert not holder.spend(granted.token, 0.5)


def test_another_zone_is_asked_when_the_own_zone_has_no_tokens():
    holder = create_holder({'a': 'n2', 'b': 'n9'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.handle_answer(deny_as_empty(ask, 1), 0.001)
    other_zone_ask = only_sent_ask(holder)
    assert (ask.node, other_zone_ask.node) == ('n2', 'n9')


def test_a_call_is_refused_over_rate_when_all_owners_are_empty():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.handle_answer(deny_as_empty(ask, 0.7), 0.001)
    refused = only_event(holder.drain_events(), TokenRefused)
    assert refused.refusal.reason is Reason.OVER_RATE
    assert refused.refusal.retry_after_s == pytest.approx(0.7)


def test_a_call_is_refused_budget_unavailable_when_no_owner_answers():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    holder.tick(TOKEN_WAIT_S)
    refused = only_event(holder.drain_events(), TokenRefused)
    assert refused.refusal.reason is Reason.BUDGET_UNAVAILABLE


def test_without_an_owner_no_call_waits():
    refusal = create_holder({}).reserve_token('ferry', 0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.BUDGET_UNAVAILABLE


def test_a_late_answer_to_an_abandoned_ask_is_still_used():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.tick(0.009)
    holder.handle_answer(grant_tokens(ask), 0.012)
    granted = [
        event
        for event in holder.drain_events()
        if isinstance(event, TokenGranted)
    ]
    assert len(granted) == 1


def test_unused_tokens_are_returned_to_their_owner():
    holder = create_holder({'a': 'n2'})
    holder.reserve_token('ferry', 0)
    ask = only_sent_ask(holder)
    holder.handle_answer(grant_tokens(ask, 5), 0.001)
    holder.drain_events()
    for step in range(1, 5):
        holder.tick(0.06 * step)
    reports = [
        event.message.reports for event in sent_messages(holder.drain_events())
    ]
    assert (GrantReport(f'g-{ask.message.ask_id}', 0, 4),) in reports


def test_messages_are_unchanged_by_encoding_and_decoding():
    codec = create_codec(*GRANT_MESSAGES, *LEASE_MESSAGES)
    slot = SlotId(BUDGET_KIND, 'a', 3)
    messages = (
        GrantAsk('1', 'n1', 'ferry', 2, (GrantReport('g', 1, 0),)),
        GrantDenied('1', 'ferry', DenialReason.EMPTY, 0.5),
        Heartbeat(1, 2, 2, (HeldSlot(slot, 9, True),)),
    )
    for message in messages:
        assert codec.decode(codec.encode(message)) == message
