"""Straight lines through measured points, and what they say at full size."""

import dataclasses
from collections.abc import Callable, Sequence
from typing import TypeAlias

Measure: TypeAlias = Callable[[int], float]

MIN_SIZES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class LinearCost:
    """``cost = intercept + slope * size``, in ``unit``.

    ``worst_error`` is the largest distance of a point from the line, as a
    share of that point; it tells whether the cost is linear at all.
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
    """One thing to measure at several sizes."""

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: Measure


def measure_cost(subject: CostBenchmark) -> LinearCost:
    """Measure a subject at each of its sizes and fit a line."""
    if len(subject.sizes) < MIN_SIZES:
        raise ValueError(f'{subject.name}: give at least three sizes')
    points = tuple((size, subject.measure(size)) for size in subject.sizes)
    intercept, slope = fit_line(points)
    errors = (
        abs(intercept + slope * size - cost) / max(abs(cost), 1e-12)
        for size, cost in points
    )
    return LinearCost(
        subject.name,
        subject.unit,
        subject.per,
        points,
        intercept,
        slope,
        max(errors),
    )


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Least squares; returns the intercept and the slope."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    spread = sum((size - mean_size) ** 2 for size, _ in points)
    covered = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = covered / spread
    return mean_cost - slope * mean_size, slope
