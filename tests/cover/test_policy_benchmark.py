"""Benchmark runs are repeatable, and missed bounds are reported."""

from bench.policy_figures import Figure, format_table
from bench.policy_retries import max_attempts_per_root, run_with_failures
from bench.policy_sites import RETRY_LIMIT, Variant


def test_tries_at_the_targets_of_a_deep_chain_stay_within_the_limit() -> None:
    """Guards against retries multiplying over the hops of a chain."""
    failing = run_with_failures(Variant.LAYER, 0.5, seed=3)
    assert 1 < max_attempts_per_root(failing) <= 1 + RETRY_LIMIT


def test_same_seed_gives_the_same_run() -> None:
    """Guards against figures that nobody can reproduce."""
    runs = [run_with_failures(Variant.LAYER, 0.5, seed=4) for _ in range(2)]
    starts = [
        [place.target.start_times for place in run.placements.values()]
        for run in runs
    ]
    assert starts[0] == starts[1]


def test_missed_bound_is_reported() -> None:
    """Guards against a check that passes whatever was measured."""
    low = Figure('s', 'layer', 'share', 0.9, at_least=0.95)
    high = Figure('s', 'layer', 'share', 0.9, at_most=0.5)
    assert not low.is_met
    assert not high.is_met
    assert format_table([low, high]).count('MISSED') == 2
