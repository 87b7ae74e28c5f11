"""Capacity slopes: the arithmetic behind docs/CAPACITY.md."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.capacity_budget import FULL_SIZE, LIMITS, TODAY, list_budget_lines
from bench.capacity_bytes import create_bytes_benchmarks
from bench.capacity_fit import LinearCost, CostBenchmark, fit_line, measure_cost
from bench.capacity_links import create_link_benchmarks
from bench.capacity_memory import create_memory_benchmarks
from bench.capacity_time import processor_time_us, create_time_benchmarks

SMALL = 20


@given(st.floats(-1e3, 1e3), st.floats(-1e3, 1e3))
def test_a_line_is_found_from_its_points(intercept, slope):
    """Guards against a budget worked out from a wrong fit."""
    points = [(size, intercept + slope * size) for size in (1, 5, 20, 50)]
    found = fit_line(points)
    assert found == pytest.approx((intercept, slope), abs=1e-6)


def test_a_cost_that_is_not_linear_shows_in_its_error():
    """Guards against extrapolating a square as a line."""
    square = CostBenchmark(
        'square', 'us', 'entry', (1, 10, 100), lambda size: size**2
    )
    assert measure_cost(square).worst_error > 1


def test_two_sizes_are_not_enough():
    """Guards against a line that fits whatever was measured."""
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
def test_every_size_can_be_measured(subject):
    """Guards against a subject that no longer matches the product."""
    assert subject.measure(SMALL) > 0
    assert len(subject.sizes) >= 3


@pytest.mark.parametrize(
    'subject',
    create_time_benchmarks(),
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
