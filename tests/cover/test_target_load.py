"""Targets are chosen by load, speed and pace, and old figures count less."""

import collections
import functools
import math
import random

import pytest
from msgspec.structs import replace

from bench.placement_simulation import PlacementSimulation
from ebonycleat.internal.connection.platform_interfaces import TargetLoad
from ebonycleat.internal.process.load_codec import decode_load
from ebonycleat.internal.process.placement.evacuated_zones import (
    EvacuatedZones,
)
from ebonycleat.internal.process.placement.target_load import (
    TargetLoadTracker,
)
from ebonycleat.internal.process.placement.target_pace import decay_pace
from ebonycleat.internal.process.router import Router, create_router
from ebonycleat.internal.process.target_stats_table import Member
from tests.cover.call_builders import make_gate_load
from tests.mesh_fakes import ManualClock, create_gate_call, create_mesh_gate

FAST = Member('fast', 'a', service='maps')
SLOW = Member('slow', 'a', service='maps')


class OldRouter(Router):
    """Scores as before: a latency of all routes mixed, times the occupancy."""

    def choose_of_two(self, members, now):
        drawn = self.rng.sample(members, 2)
        return min(drawn, key=lambda member: self.old_score(member, now))

    def old_score(self, member, now):
        stats = self.target_stats.stats_of(member.node)
        occupancy = 0.1
        if stats.reported and now - stats.reported.received_at <= 1:
            load = stats.reported.load
            calls = load.queued + load.running + stats.reported.sent_since
            occupancy += calls / load.limit
        return stats.latency_s * occupancy


def create_old_router(rng):
    return OldRouter('a', '', rng, EvacuatedZones())


create_new_router = functools.partial(create_router, 'a', '')


def make_router():
    """Return a router that knows a fast and a slow target of 10 slots."""
    router = create_router('a', '', random.Random(1))
    for _ in range(30):
        report(router, FAST, 0.007)
        report(router, SLOW, 0.016)
    return router


def report(router, member, service_s=0, now=0, pace=1, route='r', **load):
    load = replace(make_gate_load(**load), pace=pace, service_s=service_s)
    router.record_sent(member, now)
    router.record_answer(member, load, 0.01, now, route)


def choose(router, now=0):
    return router.choose_of_two([SLOW, FAST], now).node


@pytest.mark.parametrize('is_time_reported', [True, False])
def test_calls_wait_less_at_uneven_targets_than_with_the_old_score(
    is_time_reported, monkeypatch
):
    """Guards against a choice that leaves fast targets idle.

    Gates of older versions report no service times.
    """
    if not is_time_reported:
        monkeypatch.setattr(TargetLoadTracker, 'service_s', lambda *_: 0)
    waits = [
        PlacementSimulation((0.7, 0.7, 1.6), create, 1)
        .run(8000, 0.9)
        .mean_wait_s
        for create in (create_old_router, create_new_router)
    ]
    assert waits[1] < waits[0] * 0.9


def test_a_fast_target_gets_its_share_among_many():
    """Guards against a fast target that is drawn no more than slow ones."""
    speeds = (0.7,) * 9 + (1.7,)
    assert (
        PlacementSimulation(speeds, create_new_router, 1)
        .run(12_000, 0.9)
        .shares[-1]
        > 0.2
    )


def test_free_slots_count_before_speed_and_speed_before_equal_load():
    """Guards against waiting for a fast target while a slow one is free."""
    router = make_router()
    report(router, FAST, 0.007, running=8)
    report(router, SLOW, 0.016, running=5)
    assert choose(router) == 'fast'
    report(router, FAST, 0.007, running=10)
    assert choose(router) == 'slow'
    report(router, SLOW, 0.016, running=10)
    assert choose(router) == 'fast'


def test_long_calls_do_not_make_a_target_look_slow():
    """Guards against mixing the service times of different routes."""
    router = make_router()
    report(router, FAST, 0.48, route='long')
    report(router, SLOW, 1.1, route='long')
    for _ in range(50):
        report(router, FAST, 0.48, route='long', running=3)
        report(router, SLOW, 0.016, running=3)
    assert choose(router) == 'fast'


def test_a_reported_pace_counts_for_a_fraction_of_a_second():
    """Guards against avoiding a target for a slow moment that is over."""
    router = make_router()
    report(router, FAST, 0.007, pace=4, running=5)
    report(router, SLOW, 0.016, running=5)
    assert choose(router) == 'slow'
    assert choose(router, 0.4) == 'fast'
    assert decay_pace(3, 0.2) == pytest.approx(2)


def test_an_old_report_counts_no_more_than_the_calls_in_flight():
    """Guards against a target that counts as full after its answers ended."""
    router = make_router()
    report(router, FAST, 0.007, running=10)
    report(router, SLOW, 0.016, running=5)
    for _ in range(3):
        router.record_sent(FAST, 0)
    assert choose(router, 0.4) == 'slow'
    occupancies = [router.occupancy(FAST, now) for now in (0, 0.7, 0.95)]
    assert occupancies == pytest.approx([1.3, 0.9, 0.4])
    for _ in range(9):
        router.record_sent(SLOW, 0.99)
    assert router.occupancy(SLOW, 0.999) >= 0.9


NONSENSE = (TargetLoad(9, 9, 0, 900.0), TargetLoad(10**9, 10**9, 1, 0.01))


@pytest.mark.parametrize('load', [None, TargetLoad(1, 0, 2), *NONSENSE])
def test_silence_and_nonsense_leave_load_and_pace_as_observed(load):
    """Guards against a faulty report that steers calls to or from a target."""
    tracker = TargetLoadTracker()
    tracker.record_report(load, 1, 0)
    assert (tracker.pace_at(0), tracker.other_calls_at(0)) == (1, 0)


@pytest.mark.parametrize('service_s', [0, -1.0, math.inf, 10**9])
def test_impossible_service_times_keep_the_choice_usable(service_s):
    """Guards against one odd report that ends all choices of a service."""
    router = make_router()
    report(router, SLOW, service_s, running=5)
    report(router, FAST, 0.007, running=5)
    assert choose(router) == 'fast'


def test_entries_with_the_same_figures_do_not_all_choose_one_target():
    """Guards against a target that all entries fill at the same moment."""
    members = [Member(f'n-{number}', 'a', service='m') for number in range(8)]
    chosen = collections.Counter()
    for seed in range(200):
        router = create_router('a', '', random.Random(seed))
        for number, member in enumerate(members):
            report(router, member, 0.01 + number / 1000, running=number)
        chosen[router.choose_of_two(members, 0.01).node] += 1
    assert max(chosen.values()) < 200 * 0.4


def test_the_gate_reports_what_its_target_reports():
    """Guards against figures of the target that never reach the entries.

    Two of the calls at the target came from an earlier process of the node. The
    run at twice the usual pace took 0.2 s, so it usually takes 0.1 s.
    """
    clock = ManualClock()
    gate = create_mesh_gate(clock, slots=4)
    gate.load_reporter.target_load.record_report(
        TargetLoad(0, 0, 4, 2.0), 0, clock()
    )
    for number in range(2):
        gate.offer(create_gate_call(clock, number), lambda result: None)
    clock.now += 0.2
    gate.load_reporter.target_load.reported_at = clock()
    gate.pool.sends[0].answer(headers=(('x-upstream-load', '3,1,4,200'),))
    load = decode_load(gate.load_reporter.report_for_route('fetch'))
    assert (load.running, load.pace, load.service_s) == (3, 2, 0.1)
    clock.now += 0.2
    load = gate.load_reporter.load_for_route('fetch')
    assert (load.running, round(load.pace, 3)) == (2, 1.5)
