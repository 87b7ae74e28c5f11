"""Calls leave their zone only where that pays, and flows stay steady."""

import collections
import dataclasses
import random
import statistics

import msgspec
import pytest

from bench.zone_spillover import Choice, SiteShape, SpilloverSite, run_site
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.placement.service_spillover import (
    MAX_REPORTS_PER_ZONE,
)
from ebonycleat.internal.process.placement.spillover_log import (
    SpilloverLog,
    describe_spillover,
)
from ebonycleat.internal.process.placement.zone_spillover import (
    Spillover,
    ZoneLoad,
    decide_spillover,
    sum_zone_load,
)
from ebonycleat.internal.process.router import (
    PlacementRequest,
    Router,
    create_router,
)
from ebonycleat.internal.process.target_stats import ReportedLoad
from ebonycleat.internal.process.target_stats_table import Member
from tests.mesh_fakes import ManualClock, create_call

SHAPES = [(2, 1), (2, 5), (3, 1), (3, 5)]
SERVICE = 'tiles'
MEMBERS = [Member(zone, zone, service=SERVICE) for zone in 'abc']
FULL = GateLoad(12, 8, 8, 0.1, 1280, draining=False, service_s=0.1)
FREE = GateLoad(0, 2, 8, 0.1, 1280, draining=False, service_s=0.1)


def peak_fractions(site: SpilloverSite) -> list[list[float]]:
    """Return the fractions of each sample since 17 s, largest first."""
    return [
        sorted(sample.values(), reverse=True) for sample in site.fractions[68:]
    ]


@pytest.mark.parametrize(('zones', 'targets'), SHAPES)
def test_calls_wait_less_while_demand_swings_between_zones(zones, targets):
    """Guards against a loop too slow or too hesitant to help a short zone."""
    shape = SiteShape(zones, targets, swing=0.5, refuses=False)
    stay = run_site(shape, Choice.STAY, 1, 51)
    spilling = run_site(shape, Choice.SPILLOVER, 1, 51)
    waits = [statistics.fmean(site.waits) for site in (stay, spilling)]
    assert waits[1] < waits[0] / 3
    assert spilling.late_calls < stay.late_calls / 2
    if targets > 1:
        # One rise and one fall for each swing of 17 s, so three in 51 s.
        for zone in 'abc'[:zones]:
            fractions = [sample[zone] for sample in spilling.fractions]
            assert 1 <= count_rises(fractions) <= 4


def count_rises(fractions):
    """Count how often a fraction rises beyond 0.06 after being below 0.02."""
    rises = 0
    is_low = True
    for fraction in fractions:
        if is_low and fraction > 0.06:
            rises += 1
            is_low = False
        is_low = is_low or fraction < 0.02
    return rises


@pytest.mark.parametrize(('zones', 'targets'), SHAPES)
def test_steady_flows_neither_swing_nor_cross(zones, targets):
    """Guards against entries that switch at once, and against exchange.

    Single calls cross to learn a load, or while answers are overdue.
    """
    skew = 0.5 if targets > 1 else 0
    shape = SiteShape(zones, targets, 0, skew, refuses=False)
    site = run_site(shape, Choice.SPILLOVER, 1, 51)
    samples = peak_fractions(site)
    largest = [sample[0] for sample in samples]
    assert statistics.fmean(largest) > 0.05
    if zones == 2:
        assert max(sample[1] for sample in samples) < 0.01
    # The fewer targets, the more do random arrivals show.
    max_deviation, max_exchanged = (
        (0.05, 0.005) if targets > 1 else (0.15, 0.03)
    )
    assert statistics.pstdev(largest) < max_deviation
    assert site.share_exchanged(17) < max_exchanged


def test_calls_leave_before_entries_refuse_them():
    """Guards against refusals in a short zone while others have free slots.

    Entries refuse before calls wait, so the wait alone does not show a lack.
    """
    shape = SiteShape(2, 5, 0, skew=0.5)
    stay, marks, spilling = (run_site(shape, how, 1, 34) for how in Choice)
    assert spilling.refused < stay.refused * 0.7
    assert spilling.refused + spilling.late_calls < (
        marks.refused + marks.late_calls
    )
    assert spilling.share_exchanged(17) < 0.01


@pytest.mark.parametrize(
    ('shape', 'part'),
    [
        (SiteShape(2, 5, 0, skew=0.5), 0.6),
        (SiteShape(2, 1, swing=0.5), 0.7),
    ],
    ids=['lasting', 'swing'],
)
def test_refusals_do_not_end_spillover(shape, part):
    """Guards against a fraction that falls while entries still refuse calls.

    Refused calls leave slots free in the own zone, and single reports show the
    other zone as full.
    """
    stay, marks, spilling = (
        [run_site(shape, how, seed, 34) for seed in (1, 2, 3)] for how in Choice
    )
    assert count_lost(spilling) < part * count_lost(stay)
    if shape.targets_per_zone > 1:
        assert count_lost(spilling) < count_lost(marks)
    assert max(site.share_exchanged(17) for site in spilling) < 0.02


def count_lost(sites):
    """Return the part of the calls that were refused or late."""
    lost = sum(site.refused + site.late_calls for site in sites)
    return lost / sum(site.arrived for site in sites)


def zone_load(zone, demand, targets=1, rate_per_s=80.0):
    return ZoneLoad(zone, targets, targets, demand, 8, rate_per_s)


def decide_repeatedly(own, others, objective_s=0.4, count=50):
    decision = Spillover()
    for _ in range(count):
        decision = decide_spillover(decision, own, others, objective_s, 0.1)
    return decision


def test_calls_within_their_objective_stay():
    """Guards against paying for traffic that gains nothing."""
    others = [zone_load('b', 0)]
    assert decide_repeatedly(zone_load('a', 12), others).fraction == 0
    assert decide_repeatedly(zone_load('a', 30), others).fraction > 0.5
    assert decide_repeatedly(zone_load('a', 12), others, 0.1).fraction > 0.1


@pytest.mark.parametrize(
    'others',
    [
        [],
        [ZoneLoad('b', 4)],
        [zone_load('b', 28)],
        [zone_load('b', 0, rate_per_s=20)],
    ],
    ids=['none', 'no report', 'short', 'slower than the wait'],
)
def test_nothing_leaves_for_zones_that_cannot_help(others):
    """Guards against calls to zones cut off, short or too slow."""
    own = zone_load('a', 30)
    assert decide_repeatedly(own, others).fraction == 0
    sending = Spillover(0.5, {'b': 1})
    later = decide_spillover(sending, own, others, 0.4, 0.1)
    assert later.fraction < 0.5


def test_slots_free_by_refusals_keep_calls_leaving():
    """Guards against taking slots for spare whose calls entries refuse."""
    own = dataclasses.replace(zone_load('a', 5), admitted=0.4)
    assert decide_repeatedly(own, [zone_load('b', 0)]).fraction > 0.5


def test_fraction_falls_by_the_calls_that_are_too_many():
    """Guards against ending spillover for one report of a busy zone."""
    own = dataclasses.replace(zone_load('a', 8), admitted=0.8)
    sending = Spillover(
        0.5, {'b': 1}, {'b': -6}, offered_share=1.2, is_refusing=True
    )
    busy = zone_load('b', 7.8)
    later = decide_spillover(sending, own, [busy], 0.4, 0.1)
    assert 0.49 < later.fraction < 0.5
    for _ in range(300):
        later = decide_spillover(later, own, [busy], 0.4, 0.1)
    assert later.fraction < 0.01


def test_a_slightly_full_zone_keeps_its_calls():
    """Guards against exchange between zones that random arrivals fill."""
    own = dataclasses.replace(zone_load('a', 7.2), admitted=0.9)
    assert decide_repeatedly(own, [zone_load('b', 2)]).fraction == 0


def test_leaving_calls_are_divided_by_available_capacity():
    """Guards against sending a small or busy zone as much as a free one."""
    others = [
        zone_load('b', 0, rate_per_s=40),
        zone_load('c', 0, rate_per_s=120),
        zone_load('d', 20),
    ]
    for own in (zone_load('a', 30), ZoneLoad('a', 0)):
        shares = decide_repeatedly(own, others, 3).shares
        assert shares['c'] == pytest.approx(0.75, abs=0.02)
        assert shares.get('d', 0) == 0
    assert decide_repeatedly(ZoneLoad('a', 0), others).fraction == 1


def test_load_of_a_zone_is_extrapolated_from_recent_reports():
    """Guards against taking a zone for small because few targets answered."""
    reports = [
        ReportedLoad(FULL, 9.5, sent_since=1),
        ReportedLoad(FREE, 9.9),
        ReportedLoad(FULL, 8),
    ]
    load = sum_zone_load('a', SERVICE, 10, reports, 10)
    assert (load.reported, load.demand, load.capacity) == (2, 23 * 5, 16 * 5)
    assert load.rate_per_s == pytest.approx(800)
    assert load.age_s == pytest.approx(0.5)


class Entry:
    """The router of an entry in zone a, whose calls have an objective."""

    def __init__(self):
        self.clock = ManualClock()
        self.router: Router = create_router('a', '', random.Random(1))
        self.changes = []
        self.router.spillover.on_change = self.changes.append

    def report(self, **loads):
        for zone, load in loads.items():
            member = Member(zone, zone, service=SERVICE)
            self.router.record_refusal(member, load, self.clock())

    def choose(self, objective_s=0.2, **avoided):
        now = self.clock()
        call = create_call(
            self.clock, service=SERVICE, objective=now + objective_s
        )
        chosen = self.router.choose(
            PlacementRequest(call, MEMBERS, **avoided), now
        )
        return chosen.zone

    def choose_for(self, duration_s, **loads):
        zones = []
        for _ in range(round(duration_s / 0.02)):
            self.clock.now += 0.02
            self.report(**loads)
            zones.append(self.choose())
        return zones


class RecordingLog:
    def __init__(self):
        self.lines = []

    def write_limited(self, event, **fields):
        self.lines.append((event, fields))


def test_unknown_zones_get_single_calls():
    """Guards against sending a share of the calls to a zone that is silent."""
    entry = Entry()
    entry.choose_for(0.1, a=FREE)
    zones = entry.choose_for(5, a=FULL, b=FREE)
    assert zones.count('b') > 50
    assert 1 <= zones.count('c') <= 5 / 0.25


def test_services_without_objective_are_placed_as_before():
    """Guards against a change where no configuration asks for one."""
    entry = Entry()
    entry.report(a=FULL, b=FREE, c=FREE)
    assert entry.choose(objective_s=100) in {'b', 'c'}
    assert not entry.router.spillover.by_service


def test_attempts_that_avoid_the_own_zone_change_no_decision():
    """Guards against a retry after which all calls leave the zone."""
    entry = Entry()
    entry.choose_for(0.2, a=FREE, b=FREE)
    entry.clock.now += 0.2
    assert entry.choose(avoid_nodes=frozenset('a')) in {'b', 'c'}
    spillover = entry.router.spillover.by_service[SERVICE]
    assert spillover.decision.fraction == 0


def test_leaving_calls_are_drawn_by_speed():
    """Guards against overloading the slow targets of another zone."""
    entry = Entry()
    slow = msgspec.structs.replace(FREE, running=0, service_s=0.4)
    fast = msgspec.structs.replace(FREE, running=0, service_s=0.05)
    members = [MEMBERS[0]] + [
        Member(f'b{number}', 'b', service=SERVICE) for number in range(4)
    ]
    router = entry.router
    drawn = collections.Counter()
    entry.choose()
    for _ in range(300):
        entry.clock.now += 0.02
        now = entry.clock()
        router.record_refusal(MEMBERS[0], FULL, now)
        for number, member in enumerate(members[1:]):
            load = slow if number else fast
            router.record_answer(member, load, load.service_s, now)
        call = create_call(entry.clock, service=SERVICE, objective=now + 0.2)
        drawn[router.choose(PlacementRequest(call, members), now).node] += 1
    left = drawn.total() - drawn['a']
    assert left > 50
    assert drawn['b0'] > 0.8 * left


def test_begin_change_and_end_are_logged_and_shown():
    """Guards against traffic between zones that operators cannot explain."""
    entry = Entry()
    entry.choose_for(0.2, a=FREE, b=FREE)
    entry.choose_for(3, a=FULL, b=FREE)
    gauges = describe_spillover(entry.router, entry.clock())
    assert gauges[f'spillover.fraction.{SERVICE}'] > 0.2
    entry.choose_for(6, a=FREE, b=FREE)
    log = RecordingLog()
    for change in entry.changes:
        SpilloverLog(log).write(change)
    events = [event.split()[-1] for event, _ in log.lines]
    assert events[0] == 'began'
    assert events[-1] == 'ended'
    assert set(events[1:-1]) == {'changed'}
    fields = log.lines[1][1]
    assert (fields['demand'], fields['capacity']) == (20, 8)


def test_a_decision_sums_a_bounded_number_of_reports():
    """Guards against decisions whose cost grows with the fleet."""
    entry = Entry()
    entry.choose()
    spillover = entry.router.spillover.by_service[SERVICE]
    for number in range(1000):
        member = Member(f'b{number}', 'b', service=SERVICE)
        entry.router.record_refusal(member, FREE, entry.clock())
    assert len(spillover.stats_by_zone['b']) == MAX_REPORTS_PER_ZONE
