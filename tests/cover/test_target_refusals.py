"""Admission while a target refuses calls by itself, with a manual clock."""

import collections
import dataclasses
import random

import pytest

from ebonycleat.internal.process.backpressure import (
    AdmissibleShares,
    GateBackpressure,
)
from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.route_call_counts import RouteCallCounts
from tests.mesh_fakes import ManualClock, create_call

ALL = AdmissibleShares('deep', 1, 1)


class RefusingTarget:
    """A target that refuses a part of its calls, or all beyond its room."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(2)
        self.gate = GateBackpressure(clock.now)
        self.room_at = clock.now
        self.room = 1
        self.calls_seen = 4
        self.retries = 0
        self.finished = 0

    def is_refused(self, part, room_per_s):
        is_refused = self.rng.random() < part
        if room_per_s:
            earned = (self.clock.now - self.room_at) * room_per_s
            self.room_at = self.clock.now
            self.room = min(self.room + earned, 1 + room_per_s / 10)
            is_refused = self.room < 1
            self.room -= not is_refused
        self.gate.target_refusals.record(is_refused=is_refused)
        return is_refused

    def run_request(self, *refusals):
        """Make four calls in a row; a refused one may be retried."""
        for made in range(1, 5):
            self.retries = min(5, self.retries + 0.2)
            is_refused = self.is_refused(*refusals)
            if is_refused and self.retries >= 1:
                self.retries -= 1
                is_refused = self.is_refused(*refusals)
            if is_refused:
                break
        self.calls_seen += (made - self.calls_seen) * 0.02
        self.finished += not is_refused


def run_requests(target, rate, refusals, *, admit_all=False):
    """Return the part of requests admitted in each of ten seconds.

    The target refuses calls from 2 to 6 s.
    """
    clock = target.clock
    entry = EntryBackpressure(RouteCallCounts())
    admitted = collections.Counter()
    for number in range(10 * rate):
        clock.now += 1 / rate
        second = number // rate
        call = create_call(clock, route='map')
        request = AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline, '')
        if target.gate.is_update_due(clock.now):
            target.gate.update(0, 0, 10, clock.now)
        fraction = entry.admitted_fraction(call, clock.now)
        if admit_all or entry.admit(call, fraction):
            admitted[second] += 1 / rate
            target.run_request(*(refusals if 2 <= second < 6 else (0, 0)))
            # The node between reports its average, also when it rises to 1.
            shares = target.gate.published_shares('deep') or ALL
            shares = dataclasses.replace(shares, calls=target.calls_seen)
            entry.record_shares(request, (shares,), clock.now)
    return [admitted[second] for second in range(10)]


@pytest.mark.parametrize('part', [0.5, 0.8])
@pytest.mark.parametrize('rate', [20, 200])
def test_entries_admit_what_can_be_finished_and_recover(rate, part):
    """Guards against work of other services for requests that mostly fail."""
    admitted = run_requests(RefusingTarget(ManualClock()), rate, (part, 0))
    assert sum(admitted[4:6]) / 2 < 0.5
    assert min(admitted[:2]) > 0.99
    assert min(admitted[8:]) > 0.9


@pytest.mark.parametrize('room', [0.5, 0.7])
def test_a_target_that_lacks_room_finishes_more_of_fewer_requests(room):
    """Guards against failing most requests where some could be finished."""
    few, every = (RefusingTarget(ManualClock()) for _ in range(2))
    run_requests(few, 200, (0, room * 200 * 4))
    run_requests(every, 200, (0, room * 200 * 4), admit_all=True)
    assert few.finished > every.finished + 100


def test_a_few_refusals_change_nothing():
    """Guards against refusing requests for refusals that retries make up for."""
    target = RefusingTarget(ManualClock())
    assert min(run_requests(target, 100, (0.03, 0))) > 0.999
