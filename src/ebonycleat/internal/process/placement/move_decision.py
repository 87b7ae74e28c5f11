"""Decides whether a call waits at a gate or is offered to another target.

A gate and an entry use the same rule. The gate hands a call back if it starts
too late there, and the entry allows that only if another target is expected to
start it in time.
"""

import itertools

from ebonycleat.internal.process.fair_queue import FairQueue, QueuedCall
from ebonycleat.internal.request.call import Call

MOVES_PER_REQUEST = 1
"""A call that waits at its second gate stays there. With more moves, gates that
are all full would pass calls on instead of running them."""

MOVE_CHECK_INTERVAL_S = 0.02
"""Queued calls are checked at most this often, because each check looks at the
whole queue. It is about a tick of the gate."""


def is_too_late(
    expected_start: float,
    latest_start: float,
    objective_margin_s: float,
    now: float,
) -> bool:
    """Tell whether a call that starts at ``expected_start`` comes too late.

    It must start by ``latest_start`` to meet its deadline, and earlier by
    ``objective_margin_s`` to meet its objective. An objective that cannot be
    met any more does not count.
    """
    latest_for_objective = latest_start - objective_margin_s
    if latest_for_objective > now:
        return expected_start > latest_for_objective
    return expected_start > latest_start


def objective_margin_s(call: Call) -> float:
    """Return by how many seconds the objective is before the deadline."""
    return max(0, call.deadline - call.objective)


def starts_too_late(
    entry: QueuedCall, ahead: int, start_interval_s: float, now: float
) -> bool:
    """Tell whether a call behind ``ahead`` others starts too late."""
    return is_too_late(
        now + (ahead + 1) * start_interval_s,
        entry.latest_start,
        objective_margin_s(entry.call),
        now,
    )


def find_late_calls(
    queue: FairQueue, start_interval_s: float, now: float
) -> list[QueuedCall]:
    """Return the queued calls that have a move left and start too late.

    Ahead of a call are those of earlier positions, and the older ones of its
    own that stay.
    """
    ahead = list(itertools.accumulate(queue.count_by_position(), initial=0))
    late = []
    for entry in queue:
        position = queue.position_of(entry)
        if entry.call.moves_left and starts_too_late(
            entry, ahead[position], start_interval_s, now
        ):
            late.append(entry)
        else:
            ahead[position] += 1
    return late
