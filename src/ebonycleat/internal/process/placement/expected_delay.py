"""Scores a target by how long a call is expected to take there."""

IDLE_OCCUPANCY = 0.1
"""Added to the occupancy, so that of two idle targets the faster one has the
lower score."""

FULL_OCCUPANCY = 1.0

FULL_WEIGHT_S = 0.5
REPORTED_LOAD_VALID_S = 1.0
"""Calls that a report counts have their full weight until the first of these
ages, and none from the second on."""


def count_calls(
    reported_calls: int, age_s: float, sent_since: int, in_flight: int
) -> float:
    """Return how many calls to assume at a target.

    ``reported_calls`` waited or ran there ``age_s`` seconds ago, and
    ``sent_since`` were sent by this entry since then. At least the calls of
    this entry that are ``in_flight`` are there.
    """
    if age_s > FULL_WEIGHT_S:
        fading_s = REPORTED_LOAD_VALID_S - FULL_WEIGHT_S
        weight = max(0, REPORTED_LOAD_VALID_S - age_s) / fading_s
        return max(reported_calls * weight + sent_since, in_flight)
    return max(reported_calls + sent_since, in_flight)


def expected_delay_s(occupancy: float, relative_s: float) -> float:
    """Return the expected seconds of a call at a target.

    ``occupancy`` is the number of calls there divided by its slots, and
    ``relative_s`` the usual service time multiplied by the target's ratio and
    pace. With all slots in use the result is about the time until the calls
    ahead and this one have run.
    """
    return (IDLE_OCCUPANCY + occupancy) * relative_s


def expected_wait_s(occupancy: float, relative_s: float) -> float:
    """Return the expected seconds until a call starts at a target.

    The time until the next slot of a full target is free is left out; it is
    shorter than the age of most reports.
    """
    return max(0, occupancy - FULL_OCCUPANCY) * relative_s
