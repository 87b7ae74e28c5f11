"""Capacity slopes: the arithmetic behind docs/CAPACITY.md."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.capacity_budget import FULL_SIZE, LIMITS, TODAY, budget_lines
from bench.capacity_bytes import bytes_subjects
from bench.capacity_fit import Slope, Subject, fit_line, measure_slope
from bench.capacity_links import link_subjects
from bench.capacity_memory import memory_subjects
from bench.capacity_time import processor_time_us, time_subjects

SMALL = 20


@given(st.floats(-1e3, 1e3), st.floats(-1e3, 1e3))
def test_a_line_is_found_from_its_points(intercept, slope):
    """Guards against a budget worked out from a wrong fit."""
    points = [(size, intercept + slope * size) for size in (1, 5, 20, 50)]
    found = fit_line(points)
    assert found == pytest.approx((intercept, slope), abs=1e-6)


def test_a_cost_that_is_not_linear_shows_in_its_error():
    """Guards against extrapolating a square as a line."""
    square = Subject(
        'square', 'us', 'entry', (1, 10, 100), lambda size: size**2
    )
    assert measure_slope(square).worst_error > 1


def test_two_sizes_are_not_enough():
    """Guards against a line that fits whatever was measured."""
    subject = Subject('two', 'us', 'entry', (1, 2), float)
    with pytest.raises(ValueError, match='three sizes'):
        measure_slope(subject)


@pytest.mark.parametrize(
    'subject',
    [*bytes_subjects(), *memory_subjects(), *link_subjects()],
    ids=lambda subject: subject.name,
)
def test_every_size_can_be_measured(subject):
    """Guards against a subject that no longer matches the product."""
    assert subject.measure(SMALL) > 0
    assert len(subject.sizes) >= 3


@pytest.mark.parametrize(
    'subject',
    time_subjects(),
    ids=lambda subject: subject.name,
)
def test_every_timed_action_runs(subject):
    """Guards against timing an action that fails."""
    prepare = subject.measure.args[0]
    prepare(SMALL)()
    assert len(subject.sizes) >= 3


def test_the_least_time_of_the_repeats_counts():
    """Guards against figures that show what else the machine did."""
    instants = iter([0, 9, 10, 13, 20, 28, 30, 36, 40, 46, 50, 56, 60, 66])
    spent_us = processor_time_us(
        lambda size: bool,
        1,
        lambda: next(instants),
    )
    assert spent_us == pytest.approx(3e6)


@pytest.mark.parametrize('fleet', [TODAY, FULL_SIZE])
def test_the_budget_uses_only_slopes_that_are_measured(fleet):
    """Guards against a budget line whose slope was renamed."""
    subjects = [
        *bytes_subjects(),
        *memory_subjects(),
        *link_subjects(),
        *time_subjects(),
    ]
    costs = {
        subject.name: Slope(subject.name, '', '', (), 1, 1, 0)
        for subject in subjects
    }
    lines = list(budget_lines(costs, fleet))
    assert {line.resource for line in lines} == set(LIMITS)
    assert all(line.amount > 0 for line in lines)
