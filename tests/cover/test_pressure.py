"""Loads on gates and entries, played on a paused clock."""

import collections
import random

import pytest
from tests.mesh_fakes import ManualClock, create_call

from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.backpressure import (
    DESIRED_UTILISATION,
    GateBackpressure,
    AdmissibleShares,
    divide_capacity,
)
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.request.call import Priority

STEP_S = 0.1


def admitted(clock, route, priority, *, depth=0, parent_route=''):
    call = create_call(clock, route=route, priority=priority, depth=depth)
    return AdmittedRequest(
        call,
        'id',
        'host',
        b'',
        2,
        call.deadline,
        parent_route,
    )


@pytest.mark.parametrize(
    ('direct', 'called', 'parts'),
    [
        (0.2, 0.3, (1, 1)),
        (0.2, 2, (1, 0.36)),
        (2, 0.2, (0.36, 1)),
        (2, 2, (0.23, 0.23)),
    ],
)
def test_room_is_divided_between_callers_and_calls(direct, called, parts):
    """Guards against internal look-ups that crowd out paying callers."""
    assert divide_capacity(direct, called) == pytest.approx(parts)


def play_gate(offered_per_step, steps, slots=10, service_s=0.1):
    """Offer calls that entries thin out by the published share."""
    pressure = GateBackpressure(0)
    rng = random.Random(5)
    served = []
    running = []
    for step in range(steps):
        now = step * STEP_S
        for end in [one for one in running if one <= now]:
            running.remove(end)
            pressure.called.change_running(-1, now)
            pressure.called.record_served(service_s)
        came = sum(
            rng.random() < pressure.called.share
            for _ in range(offered_per_step(now))
        )
        room = slots - len(running)
        for _ in range(min(room, came)):
            running.append(now + service_s)
            pressure.called.change_running(1, now)
        pressure.called.refused += max(0, came - room)
        served.append(min(room, came))
        pressure.update(0, 0, slots, now)
    return pressure, served


def test_a_calm_gate_takes_everything():
    """Guards against requests refused while there is room."""
    pressure, _ = play_gate(lambda now: 5, 100)
    assert pressure.published_shares('maps') is None


def test_an_overloaded_gate_asks_for_what_it_can_take():
    """Guards against shares that leave slots idle or refuse too late."""
    pressure, served = play_gate(lambda now: 30, 200)
    assert sum(served[100:]) / 100 >= 10 * DESIRED_UTILISATION * 0.8
    assert 0.2 <= pressure.called.share <= 0.5


def test_a_gate_is_open_again_within_five_seconds_of_the_end_of_a_surge():
    """Guards against an overload that outlasts its trigger."""
    pressure, _ = play_gate(lambda now: 40 if now < 10 else 5, 150)
    assert pressure.called.share > 0.99


def play_entry(share, mix, steps=300):
    """Admit a mix of classes under a share; returns parts by class."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    rng = random.Random(11)
    came = dict.fromkeys(mix, 0)
    let_in = dict.fromkeys(mix, 0)
    for _ in range(steps):
        clock.now += 0.02
        priority = rng.choices(list(mix), list(mix.values()))[0]
        one = admitted(clock, f'route-{priority}', priority)
        entry.record_shares(
            one, (AdmissibleShares('deep', 1, share),), clock.now
        )
        part = entry.admitted_fraction(one.call, clock.now)
        came[priority] += 1
        let_in[priority] += entry.admit(one.call, part)
    return {
        priority: let_in[priority] / max(1, came[priority]) for priority in mix
    }


def test_the_least_important_are_refused_first():
    """Guards against map downloads that push out renewals."""
    parts = play_entry(
        0.6,
        {Priority.CRITICAL: 2, Priority.HIGH: 2, Priority.NORMAL: 6},
    )
    assert parts[Priority.CRITICAL] > 0.95
    assert parts[Priority.HIGH] > 0.9
    assert 0.1 < parts[Priority.NORMAL] < 0.6


def test_no_class_is_starved_by_more_urgent_ones():
    """Guards against look-ups that nobody gets while payments are served.

    The load of incident inc-9ba0: two urgent classes fill the room alone.
    """
    parts = play_entry(
        0.4,
        {Priority.CRITICAL: 3, Priority.HIGH: 4, Priority.NORMAL: 3},
        steps=3000,
    )
    whole = sum(
        parts[priority] * weight
        for priority, weight in zip(parts, (3, 4, 3), strict=True)
    )
    assert whole == pytest.approx(4, rel=0.1)
    assert parts[Priority.NORMAL] > whole / 10 / 4 * 0.9
    assert parts[Priority.CRITICAL] > 2 * parts[Priority.HIGH]


def play_costly_look_ups(steps=2000):
    """Look-ups that need ten calls each beside payments that need one.

    The load of a surge on Corda Viva: 80 look-ups to 20 payments, and the
    service that both need can take 0.4 of it.
    """
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    rng = random.Random(13)
    came = collections.Counter()
    let_in = collections.Counter()
    for _ in range(steps):
        clock.now += 0.01
        is_payment = rng.random() < 0.2
        priority = Priority.CRITICAL if is_payment else Priority.NORMAL
        calls = 1 if is_payment else 10
        one = admitted(clock, f'route-{priority}', priority)
        heard = AdmissibleShares('deep', 1, 0.4, calls)
        entry.record_shares(one, (heard,), clock.now)
        part = entry.admitted_fraction(one.call, clock.now)
        came[priority] += calls
        let_in[priority] += calls * entry.admit(one.call, part)
    return came, let_in


def test_what_a_request_costs_decides_how_many_fit():
    """Guards against classes that count alike and cost ten times as much.

    Counted by requests, payments alone took half of the room that was there,
    and nearly all look-ups were refused with most of the service idle.
    """
    came, let_in = play_costly_look_ups()
    assert let_in[Priority.CRITICAL] > came[Priority.CRITICAL] * 0.95
    used = let_in.total() / came.total()
    assert 0.36 < used < 0.44


def test_a_node_tells_how_many_calls_a_request_causes():
    """Guards against entries that take a costly route for a cheap one."""
    clock = ManualClock()
    call_counts = RouteCallCounts()
    entry = EntryBackpressure(call_counts)
    for _ in range(20):
        call_counts.record_run('fetch', clock.now)
        for _ in range(3):
            called = admitted(
                clock,
                'look-up',
                Priority.NORMAL,
                depth=1,
                parent_route='fetch',
            )
            entry.record_call(called, clock.now)
            entry.record_shares(
                called,
                (AdmissibleShares('deep', 1, 0.3, 2),),
                clock.now,
            )
    behind = entry.overloaded_behind_target('fetch', clock.now)
    assert behind[0].calls == pytest.approx(6)


def test_costs_of_calls_fade():
    """Guards against the figures of a configuration that has changed."""
    call_counts = RouteCallCounts()
    for _ in range(100):
        call_counts.record_run('fetch', 0)
        call_counts.record_call('fetch', 'look-up', 0)
    for _ in range(100):
        call_counts.record_run('fetch', 20)
    assert call_counts.calls_per_run('fetch', 'look-up') < 0.06


def test_a_route_that_does_not_lead_to_the_full_service_is_not_refused():
    """Guards against tile reads shed for the look-ups of their service."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    deep = admitted(clock, 'look-up', Priority.NORMAL)
    entry.record_shares(deep, (AdmissibleShares('deep', 0.1, 0.1),), clock.now)
    tile = admitted(clock, 'tile', Priority.NORMAL)
    assert entry.admitted_fraction(tile.call, clock.now) == 1


def test_a_call_of_a_target_is_not_refused_for_pressure():
    """Guards against work thrown away half way."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    called = admitted(clock, 'look-up', Priority.NORMAL, depth=1)
    entry.record_shares(
        called, (AdmissibleShares('deep', 0.1, 0.1),), clock.now
    )
    assert entry.admitted_fraction(called.call, clock.now) == 1


def test_shares_are_passed_on_for_the_route_that_caused_the_call():
    """Guards against an entry that never learns of a full deep service."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    called = admitted(
        clock,
        'look-up',
        Priority.NORMAL,
        depth=1,
        parent_route='fetch',
    )
    entry.record_shares(called, (AdmissibleShares('deep', 1, 0.3),), clock.now)
    behind = entry.overloaded_behind_target('fetch', clock.now)
    assert [one.service for one in behind] == ['deep']
    assert not entry.overloaded_behind_target('tile', clock.now)


def test_an_unconfirmed_share_rises_slowly():
    """Guards against entries that forget a full service when they refuse all.

    On a day with one registry target left, entries let everything in each
    time that no answer had come for 1.5 s.
    """
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    one = admitted(clock, 'fetch', Priority.NORMAL)
    entry.record_shares(one, (AdmissibleShares('deep', 0.05, 0.05),), clock.now)
    clock.now += 2
    full = entry.overloaded_on_route('fetch', clock.now)
    assert full[0].called == pytest.approx(0.1)
    clock.now += 4
    full = entry.overloaded_on_route('fetch', clock.now)
    assert full[0].called == 1


def test_the_log_can_name_what_a_request_costs_a_full_service():
    """Guards against a log that shows another cost than was counted."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    one = admitted(clock, 'fetch', Priority.NORMAL)
    entry.record_shares(one, (AdmissibleShares('deep', 1, 0.5, 8),), clock.now)
    full = entry.overloaded_on_route('fetch', clock.now)
    assert full[0].calls == 8
