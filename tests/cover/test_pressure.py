"""Backpressure of gates and ingress nodes, simulated with a manual clock."""

import collections
import random

import pytest

from ebonycleat.internal.process.backpressure import (
    DESIRED_UTILISATION,
    AdmissibleShares,
    GateBackpressure,
    divide_capacity,
)
from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from ebonycleat.internal.request.call import Priority
from tests.mesh_fakes import ManualClock, create_call

STEP_S = 0.1


def make_admitted(clock, route, priority, *, depth=0, parent_route=''):
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
    ('direct', 'called', 'fractions'),
    [
        (0.2, 0.3, (1, 1)),
        (0.2, 2, (1, 0.36)),
        (2, 0.2, (0.36, 1)),
        (2, 2, (0.23, 0.23)),
    ],
)
def test_capacity_is_divided_between_callers_and_calls(
    direct, called, fractions
):
    """Guards against calls between services that crowd out paying callers."""
    assert divide_capacity(direct, called) == pytest.approx(fractions)


def simulate_gate(offered_per_step, steps, slots=10, service_s=0.1):
    """Offer a gate calls, of which ingress nodes admit its published share."""
    backpressure = GateBackpressure(0)
    rng = random.Random(5)
    served = []
    running = []
    for step in range(steps):
        now = step * STEP_S
        for end in [end_time for end_time in running if end_time <= now]:
            running.remove(end)
            backpressure.called.change_running(-1, now)
            backpressure.called.record_served(service_s)
        admitted_count = sum(
            rng.random() < backpressure.called.share
            for _ in range(offered_per_step(now))
        )
        free_slots = slots - len(running)
        for _ in range(min(free_slots, admitted_count)):
            running.append(now + service_s)
            backpressure.called.change_running(1, now)
        backpressure.called.refused += max(0, admitted_count - free_slots)
        served.append(min(free_slots, admitted_count))
        backpressure.update(0, 0, slots, now)
    return backpressure, served


def test_a_gate_with_free_slots_publishes_no_shares():
    """Guards against refusing requests while slots are free."""
    backpressure, _ = simulate_gate(lambda now: 5, 100)
    assert backpressure.published_shares('maps') is None


def test_an_overloaded_gate_publishes_the_share_that_it_can_serve():
    """Guards against shares that leave slots idle or refuse too late."""
    backpressure, served = simulate_gate(lambda now: 30, 200)
    assert sum(served[100:]) / 100 >= 10 * DESIRED_UTILISATION * 0.8
    assert 0.2 <= backpressure.called.share <= 0.5


def test_a_gate_admits_everything_within_five_seconds_after_a_surge():
    """Guards against an overload that outlasts its trigger."""
    backpressure, _ = simulate_gate(lambda now: 40 if now < 10 else 5, 150)
    assert backpressure.called.share > 0.99


def simulate_entry(share, mix, steps=300):
    """Admit a mix of priorities; return the admitted fraction of each one."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    rng = random.Random(11)
    arrived = dict.fromkeys(mix, 0)
    accepted = dict.fromkeys(mix, 0)
    for _ in range(steps):
        clock.now += 0.02
        priority = rng.choices(list(mix), list(mix.values()))[0]
        request = make_admitted(clock, f'route-{priority}', priority)
        entry.record_shares(
            request, (AdmissibleShares('deep', 1, share),), clock.now
        )
        fraction = entry.admitted_fraction(request.call, clock.now)
        arrived[priority] += 1
        accepted[priority] += entry.admit(request.call, fraction)
    return {
        priority: accepted[priority] / max(1, arrived[priority])
        for priority in mix
    }


def test_the_lowest_priorities_are_refused_first():
    """Guards against map downloads that crowd out renewals."""
    fractions = simulate_entry(
        0.6,
        {Priority.CRITICAL: 2, Priority.HIGH: 2, Priority.NORMAL: 6},
    )
    assert fractions[Priority.CRITICAL] > 0.95
    assert fractions[Priority.HIGH] > 0.9
    assert 0.1 < fractions[Priority.NORMAL] < 0.6


def test_no_priority_is_starved_by_higher_priorities():
    """Guards against refusing all look-ups while payments are served.

    This is the load of incident inc-9ba0: the two higher priorities alone use
    the whole capacity.
    """
    fractions = simulate_entry(
        0.4,
        {Priority.CRITICAL: 3, Priority.HIGH: 4, Priority.NORMAL: 3},
        steps=3000,
    )
    total = sum(
        fractions[priority] * weight
        for priority, weight in zip(fractions, (3, 4, 3), strict=True)
    )
    assert total == pytest.approx(4, rel=0.1)
    assert fractions[Priority.NORMAL] > total / 10 / 4 * 0.9
    assert fractions[Priority.CRITICAL] > 2 * fractions[Priority.HIGH]


def simulate_costly_look_ups(steps=2000):
    """Admit look-ups that cause ten calls and payments that cause one.

    The mix is that of a surge in the Corda Viva fleet: 80 look-ups to 20
    payments. The service that both call can serve 0.4 of the load.
    """
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    rng = random.Random(13)
    arrived = collections.Counter()
    accepted = collections.Counter()
    for _ in range(steps):
        clock.now += 0.01
        is_payment = rng.random() < 0.2
        priority = Priority.CRITICAL if is_payment else Priority.NORMAL
        calls = 1 if is_payment else 10
        request = make_admitted(clock, f'route-{priority}', priority)
        shares = AdmissibleShares('deep', 1, 0.4, calls)
        entry.record_shares(request, (shares,), clock.now)
        fraction = entry.admitted_fraction(request.call, clock.now)
        arrived[priority] += calls
        accepted[priority] += calls * entry.admit(request.call, fraction)
    return arrived, accepted


def test_admission_counts_the_calls_that_a_request_causes():
    """Guards against counting requests alike whose costs differ tenfold.

    When requests were counted, payments alone used half of the capacity, and
    nearly all look-ups were refused although most of the service was idle.
    """
    arrived, accepted = simulate_costly_look_ups()
    assert accepted[Priority.CRITICAL] > arrived[Priority.CRITICAL] * 0.95
    used = accepted.total() / arrived.total()
    assert 0.36 < used < 0.44


def test_a_node_reports_how_many_calls_a_request_causes():
    """Guards against ingress nodes that treat a costly route as a cheap one."""
    clock = ManualClock()
    call_counts = RouteCallCounts()
    entry = EntryBackpressure(call_counts)
    for _ in range(20):
        call_counts.record_run('fetch', clock.now)
        for _ in range(3):
            called = make_admitted(
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
    overloaded = entry.overloaded_behind_target('fetch', clock.now)
    assert overloaded[0].calls == pytest.approx(6)


def test_costs_of_calls_decay():
    """Guards against costs measured under an earlier configuration."""
    call_counts = RouteCallCounts()
    for _ in range(100):
        call_counts.record_run('fetch', 0)
        call_counts.record_call('fetch', 'look-up', 0)
    for _ in range(100):
        call_counts.record_run('fetch', 20)
    assert call_counts.calls_per_run('fetch', 'look-up') < 0.06


def test_a_route_that_does_not_call_the_overloaded_service_is_not_refused():
    """Guards against tile reads shed because look-ups overload a service."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    deep = make_admitted(clock, 'look-up', Priority.NORMAL)
    entry.record_shares(deep, (AdmissibleShares('deep', 0.1, 0.1),), clock.now)
    tile = make_admitted(clock, 'tile', Priority.NORMAL)
    assert entry.admitted_fraction(tile.call, clock.now) == 1


def test_a_call_of_a_target_is_not_refused_for_backpressure():
    """Guards against discarding the work already done for a request."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    called = make_admitted(clock, 'look-up', Priority.NORMAL, depth=1)
    entry.record_shares(
        called, (AdmissibleShares('deep', 0.1, 0.1),), clock.now
    )
    assert entry.admitted_fraction(called.call, clock.now) == 1


def test_shares_are_passed_on_for_the_route_that_caused_the_call():
    """Guards against ingress nodes that never learn of a deeper overload."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    called = make_admitted(
        clock,
        'look-up',
        Priority.NORMAL,
        depth=1,
        parent_route='fetch',
    )
    entry.record_shares(called, (AdmissibleShares('deep', 1, 0.3),), clock.now)
    overloaded = entry.overloaded_behind_target('fetch', clock.now)
    assert [report.service for report in overloaded] == ['deep']
    assert not entry.overloaded_behind_target('tile', clock.now)


def test_an_unconfirmed_share_rises_slowly():
    """Guards against forgetting an overload while all requests are refused.

    When one target of the registry service was left, ingress nodes admitted all
    requests whenever no answer had arrived for 1.5 s.
    """
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    request = make_admitted(clock, 'fetch', Priority.NORMAL)
    entry.record_shares(
        request, (AdmissibleShares('deep', 0.05, 0.05),), clock.now
    )
    clock.now += 2
    overloaded = entry.overloaded_on_route('fetch', clock.now)
    assert overloaded[0].called == pytest.approx(0.1)
    clock.now += 4
    overloaded = entry.overloaded_on_route('fetch', clock.now)
    assert overloaded[0].called == 1


def test_the_cost_of_a_request_at_an_overloaded_service_can_be_logged():
    """Guards against a log that shows another cost than was used."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    request = make_admitted(clock, 'fetch', Priority.NORMAL)
    entry.record_shares(
        request, (AdmissibleShares('deep', 1, 0.5, 8),), clock.now
    )
    overloaded = entry.overloaded_on_route('fetch', clock.now)
    assert overloaded[0].calls == 8


def test_one_overloaded_gate_does_not_stand_for_its_service():
    """Guards against refusing requests that other targets have room for."""
    clock = ManualClock()
    entry = EntryBackpressure(RouteCallCounts())
    admitted = make_admitted(clock, 'fetch', Priority.NORMAL)
    service = admitted.call.service
    overloaded = (AdmissibleShares(service, 0.4, 1),)
    for number in range(40):
        clock.now += 0.01
        shares = () if number % 2 else overloaded
        entry.record_shares(admitted, shares, clock())
    assert 0.55 < entry.reported[service].direct < 0.85
