"""A short soak test of real processes, with faults drawn from a fixed seed."""

import asyncio

from ebonycleat_tools.platform.soak import run_soak
from ebonycleat_tools.platform.soak_plan import (
    FaultKind,
    SoakPlan,
    draw_faults,
)


def test_a_short_soak_violates_no_guarantee(tmp_path):
    """Guards against guarantees that hold only while nothing fails."""
    plan = SoakPlan(
        seed=3,
        duration_s=14,
        calm_start_s=1,
        calm_end_s=5,
        nodes=3,
        faults=4,
        requests_per_s=30,
        folder=str(tmp_path),
    )
    report = asyncio.run(run_soak(plan))
    assert not report['broken'], report
    assert report['statuses']['200'] > 100, report


def test_a_seed_always_gives_the_same_faults():
    """Guards against a soak that its seed does not reproduce."""
    plan = SoakPlan(seed=7, faults=200)
    faults = draw_faults(plan)
    assert faults == draw_faults(plan)
    assert {fault.kind for fault in faults} == set(FaultKind)
