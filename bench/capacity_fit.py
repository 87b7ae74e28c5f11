"""Fits a line to costs that were measured at several sizes."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeAlias

Measure: TypeAlias = Callable[[int], float]

MIN_SIZES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LinearCost:
    """Fitted cost in ``unit``: ``intercept + slope * size``.

    ``worst_error`` is the largest distance between a measured cost and the
    line, relative to that cost. A large value shows that the cost does not
    grow linearly.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[int, float], ...]
    intercept: float
    slope: float
    worst_error: float


@dataclasses.dataclass(frozen=True, slots=True)
class CostBenchmark:
    """A cost that is measured at several sizes."""

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: Measure


def measure_cost(benchmark: CostBenchmark) -> LinearCost:
    """Measure a cost at each of its sizes and fit a line."""
    if len(benchmark.sizes) < MIN_SIZES:
        raise ValueError(f'{benchmark.name}: give at least three sizes')
    points = tuple((size, benchmark.measure(size)) for size in benchmark.sizes)
    intercept, slope = fit_line(points)
    errors = (
        abs(intercept + slope * size - cost) / max(abs(cost), 1e-12)
        for size, cost in points
    )
    return LinearCost(
        benchmark.name,
        benchmark.unit,
        benchmark.per,
        points,
        intercept,
        slope,
        max(errors),
    )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit by least squares; return the intercept and the slope."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    size_variation = sum((size - mean_size) ** 2 for size, _ in points)
    covariation = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = covariation / size_variation
    return mean_cost - slope * mean_size, slope
