"""Order of waiting calls by whether they can still meet their objective.

Each priority class has two groups. Calls that can still meet the latency
objective of their route are on time and start first. The others are late. An
answer to a late call earns little, so it must not take the slot of a call
that is on time; but a late call must not starve either.
"""

STARTS_PER_LATE_START = 8
"""While both groups of a class wait, one start in this many is a late call's."""

ON_TIME_STARTS_IN_A_ROW = STARTS_PER_LATE_START - 1


class LateTurns:
    """Decides between the two groups of one class while both wait."""

    def __init__(self) -> None:
        """Start with the turns of calls that are on time."""
        self.on_time_starts = 0

    def take(self) -> bool:
        """Tell whether the next start is a late call's, and count it."""
        if self.on_time_starts < ON_TIME_STARTS_IN_A_ROW:
            self.on_time_starts += 1
            return False
        self.on_time_starts = 0
        return True


def count_starts_between(
    ahead: float, on_time: int, late: int, is_late: bool
) -> float:
    """Return the starts before a call that has ``ahead`` calls in its group.

    ``on_time`` and ``late`` calls wait in the two groups of its class; those of
    the other group take their turns in between.
    """
    if is_late:
        return ahead + min(on_time, (ahead + 1) * ON_TIME_STARTS_IN_A_ROW)
    return ahead + min(late, ahead / ON_TIME_STARTS_IN_A_ROW)
