"""Slopes of measured costs, the arithmetic behind docs/CAPACITY.md."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.capacity_budget import FULL_SIZE, LIMITS, TODAY, list_budget_lines
from bench.capacity_bytes import create_bytes_benchmarks
from bench.capacity_fit import CostBenchmark, LinearCost, fit_line, measure_cost
from bench.capacity_links import create_link_benchmarks
from bench.capacity_memory import create_memory_benchmarks
from bench.capacity_time import create_time_benchmarks, processor_time_us

SMALL_SIZE = 20


@given(st.floats(-1e3, 1e3), st.floats(-1e3, 1e3))
def test_fitting_points_of_a_line_gives_that_line(intercept, slope):
    """Guards against a capacity budget computed from a wrong fit."""
    points = [(size, intercept + slope * size) for size in (1, 5, 20, 50)]
    fitted_line = fit_line(points)
    assert fitted_line == pytest.approx((intercept, slope), abs=1e-6)


def test_a_cost_that_is_not_linear_gives_a_large_error():
    """Guards against extrapolating a quadratic cost as a line."""
    quadratic_cost = CostBenchmark(
        'square', 'us', 'entry', (1, 10, 100), lambda size: size**2
    )
    assert measure_cost(quadratic_cost).worst_error > 1


def test_a_slope_needs_at_least_three_sizes():
    """Guards against a fit without error: two points always form a line."""
    subject = CostBenchmark('two', 'us', 'entry', (1, 2), float)
    with pytest.raises(ValueError, match='three sizes'):
        measure_cost(subject)


@pytest.mark.parametrize(
    'subject',
    [
        *create_bytes_benchmarks(),
        *create_memory_benchmarks(),
        *create_link_benchmarks(),
    ],
    ids=lambda subject: subject.name,
)
def test_every_subject_can_be_measured(subject):
    """Guards against a subject that no longer matches the measured code."""
    assert subject.measure(SMALL_SIZE) > 0
    assert len(subject.sizes) >= 3


@pytest.mark.parametrize(
    'subject',
    create_time_benchmarks(),
    ids=lambda subject: subject.name,
)
def test_every_timed_action_runs(subject):
    """Guards against timing an action that fails."""
    prepare = subject.measure.args[0]
    prepare(SMALL_SIZE)()
    assert len(subject.sizes) >= 3


def test_the_shortest_time_of_the_repeats_counts():
    """Guards against figures that depend on what else the machine ran."""
    instants = iter([0, 9, 10, 13, 20, 28, 30, 36, 40, 46, 50, 56, 60, 66])
    spent_us = processor_time_us(
        lambda size: bool,
        1,
        lambda: next(instants),
    )
    assert spent_us == pytest.approx(3e6)


@pytest.mark.parametrize('fleet', [TODAY, FULL_SIZE])
def test_the_budget_uses_only_slopes_that_are_measured(fleet):
    """Guards against a budget line that uses the old name of a slope."""
    subjects = [
        *create_bytes_benchmarks(),
        *create_memory_benchmarks(),
        *create_link_benchmarks(),
        *create_time_benchmarks(),
    ]
    costs = {
        subject.name: LinearCost(subject.name, '', '', (), 1, 1, 0)
        for subject in subjects
    }
    lines = list(list_budget_lines(costs, fleet))
    assert {line.resource for line in lines} == set(LIMITS)
    assert all(line.amount > 0 for line in lines)
