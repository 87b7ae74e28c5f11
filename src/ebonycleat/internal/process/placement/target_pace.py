"""The pace that a target reports, and how it loses weight with its age.

The pace is how long work takes on the target's VM at this moment, relative to
the usual time. It changes many times a second, so a report is worth little
after some hundred milliseconds.
"""

USUAL_PACE = 1.0

PACE_HALF_LIFE_S = 0.2
"""Seconds in which the difference of a reported pace from the usual one counts
half. Other work on a VM changes its pace for some hundred milliseconds."""

MIN_PACE = 0.1
MAX_PACE = 20.0
"""A pace outside of these bounds is taken for a fault of the target. Targets
are known to become two and a half times slower."""


def check_pace(pace: float | None) -> float:
    """Return a reported pace, the usual one if it is absent or impossible."""
    if pace is None or not MIN_PACE <= pace <= MAX_PACE:
        return USUAL_PACE
    return pace


def decay_pace(pace: float, age_s: float) -> float:
    """Return the pace to assume ``age_s`` seconds after it was reported."""
    if pace == USUAL_PACE or age_s <= 0:
        return pace
    weight = 2 ** (-age_s / PACE_HALF_LIFE_S)
    return USUAL_PACE + (pace - USUAL_PACE) * weight
