"""Draws the two candidates of which the better one gets a call."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

Candidate = TypeVar('Candidate')

MAX_DRAWS = 5
"""The last of so many draws counts, whatever its weight, so that the time is
bounded."""


def draw_two(
    candidates: Sequence[Candidate],
    weigh: Callable[[Candidate], float],
    rng: random.Random,
) -> tuple[Candidate, Candidate]:
    """Draw two different candidates, of at least two, by their weights.

    Their order is random too, so that equal ones are chosen equally often.
    A drawn candidate is kept with the probability that ``weigh`` returns, from
    0 to 1. Unlike a draw over cumulated weights, this takes a time that does
    not grow with the number of candidates.
    """
    if len(candidates) == 2:
        return draw_two_evenly(candidates, rng)
    first = _draw(candidates, weigh, rng, -1)
    second = _draw(candidates, weigh, rng, first)
    return candidates[first], candidates[second]


def draw_two_evenly(
    candidates: Sequence[Candidate], rng: random.Random
) -> tuple[Candidate, Candidate]:
    """Draw two different candidates, of at least two, in a random order."""
    count = len(candidates)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return candidates[first], candidates[second]


def _draw(
    candidates: Sequence[Candidate],
    weigh: Callable[[Candidate], float],
    rng: random.Random,
    excluded: int,
) -> int:
    """Draw an index other than ``excluded``, which is -1 for none."""
    draw = rng.random
    count = len(candidates) - (excluded >= 0)
    index = 0
    for _ in range(MAX_DRAWS):
        index = int(draw() * count)
        if 0 <= excluded <= index:
            index += 1
        weight = weigh(candidates[index])
        if weight >= 1 or draw() < weight:
            break
    return index
