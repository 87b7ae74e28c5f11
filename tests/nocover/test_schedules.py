"""Slot ownership and team budgets hold in adversarial schedules.

Guards against two owners of a slot at the same time, and against a fleet that
admits more than rate x t + burst calls of a team in t seconds.
"""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from bench.history import find_violations
from bench.schedules import (
    DURATION_S,
    DURATIONS_S,
    FAULTS,
    MAX_SELECTOR,
    Fault,
    Plan,
    run_plan,
    run_schedules,
)

SEEDS_PER_TEST = 250

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


@pytest.mark.parametrize('first_seed', range(1, 2001, SEEDS_PER_TEST))
def test_random_schedules_violate_no_guarantee(first_seed):
    assert run_schedules(SEEDS_PER_TEST, first_seed) == []


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(plans)
@example(Plan(20, 4, (Fault('change_rates', 0, 0.5, 0),)))
def test_any_mix_of_faults_violates_no_guarantee(plan):
    assert find_violations(run_plan(plan)) == []
