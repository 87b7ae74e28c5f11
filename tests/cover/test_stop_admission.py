"""Requests that come while a node stops."""

import pytest

from ebonycleat import Outcome
from ebonycleat.internal.process.stop_admission import (
    WINDOW_S,
    StopAdmission,
    StopTimes,
)
from tests.mesh_fakes import ManualClock, create_call

ROUTE_DEADLINE_S = 5


def create_admission(
    clock, *run_times, refuses_in=0, estimates_in=9, ends_in=1
):
    admission = StopAdmission()
    route = create_call(clock).route
    for run_s in run_times:
        admission.slowest_runs.record(route, run_s, clock())
    now = clock()
    admission.times = StopTimes(
        now + refuses_in, now + estimates_in, now + ends_in
    )
    return admission


@pytest.mark.parametrize(
    ('run_times', 'ends_in', 'is_taken'),
    [
        ((0.1, 0.4), 0.8, True),
        ((0.1, 0.4), 0.6, False),
        ((0.5, 0.01), 0.6, False),
        ((), 0.9, False),
    ],
)
def test_a_request_is_taken_if_its_answer_comes_before_the_end(
    run_times, ends_in, is_taken
):
    """Guards against a run that the end of the node leaves unanswered."""
    clock = ManualClock()
    admission = create_admission(clock, *run_times, ends_in=ends_in)
    refusal = admission.check(create_call(clock), clock())
    assert (refusal is None) is is_taken
    if refusal is not None:
        assert refusal.outcome is Outcome.NOT_RUN
        assert refusal.retry_after_s > 0


def test_a_request_that_ends_by_its_deadline_is_taken():
    """Guards against refusals of requests that are answered in any case."""
    clock = ManualClock()
    admission = create_admission(clock, 3.0, ends_in=60)
    assert admission.check(create_call(clock), clock()) is None


def test_callers_that_have_not_noticed_the_stop_are_served():
    """Guards against refusals right after the signal."""
    clock = ManualClock()
    admission = create_admission(clock, 3.0, refuses_in=2.0)
    assert admission.check(create_call(clock), clock()) is None
    clock.now += 2.1
    assert admission.check(create_call(clock), clock()) is not None


@pytest.mark.parametrize('deadline_s', [0.5, 3])
def test_late_in_a_stop_only_the_deadline_tells_when_a_request_ends(deadline_s):
    """Guards against a request of a slower kind that the node's end cuts off.

    It was taken since others on its route had been fast.
    """
    clock = ManualClock()
    admission = create_admission(clock, 0.01, estimates_in=0.4, ends_in=2)
    call = create_call(clock, deadline=clock() + 0.4 + deadline_s)
    assert admission.check(call, clock()) is None
    clock.now += 0.4
    refusal = admission.check(call, clock())
    assert (refusal is None) is (deadline_s < 1)
    if refusal is not None:
        assert refusal.outcome is Outcome.NOT_RUN


def test_slow_runs_are_forgotten_after_the_next_window():
    """Guards against a past overload that closes the node early."""
    clock = ManualClock()
    admission = create_admission(clock, 4.0)
    route = create_call(clock).route
    for _ in range(2):
        clock.now += WINDOW_S
        admission.slowest_runs.record(route, 0.1, clock())
    assert admission.slowest_runs.find(route, clock()) == 0.1


def test_a_node_that_does_not_stop_takes_everything():
    """Guards against refusals outside a stop."""
    clock = ManualClock()
    assert StopAdmission().check(create_call(clock), clock()) is None
