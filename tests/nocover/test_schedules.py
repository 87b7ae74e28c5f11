"""Ownership and budgets keep their promises in adversarial schedules.

Guards against two owners of a slot at a time, and against admissions beyond
rate x t + burst over the whole fleet.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.history import find_violations
from bench.schedules import (
    DURATION_S,
    DURATIONS_S,
    FAULTS,
    MAX_SELECTOR,
    Fault,
    Plan,
    run_schedules,
    run_plan,
)

BLOCK = 250

faults = st.builds(
    Fault,
    st.sampled_from(sorted(FAULTS)),
    st.floats(0, DURATION_S - 1),
    st.sampled_from(DURATIONS_S),
    st.integers(0, MAX_SELECTOR),
)
plans = st.builds(
    Plan,
    st.integers(0, 1000),
    st.sampled_from((2, 3, 4)),
    st.lists(faults, max_size=10).map(tuple),
)


@pytest.mark.parametrize('first_seed', range(1, 2001, BLOCK))
def test_random_schedules_break_no_promise(first_seed):
    assert run_schedules(BLOCK, first_seed) == []


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(plans)
def test_any_mix_of_faults_breaks_no_promise(plan):
    assert find_violations(run_plan(plan)) == []
