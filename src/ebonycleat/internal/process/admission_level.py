"""Admission levels: which calls a gate admits under overload.

Each call has a shedding position: its priority times 128 plus a sublevel
hashed from the id of its root request. A gate admits the calls whose
position is below its admission level. Because the hash is the same at every
hop, two overloaded hops refuse calls of the same root requests, and the calls
that remain pass both. Answers carry the level back, so that a caller's node
can refuse a call that the gate would refuse without sending it.
"""

import dataclasses

import xxhash

from ebonycleat.internal.request.call import Call, Priority

SUBLEVEL_COUNT = 128
OVER_SHARE_OFFSET = len(Priority) * SUBLEVEL_COUNT
"""Added to the position of a call whose team is over its share, so that it
is shed before the calls of all other teams."""

ADMIT_ALL_LEVEL = 2 * OVER_SHARE_OFFSET
MIN_LEVEL = 16
"""Some calls are always admitted, because a gate that starts no calls could
not notice the end of an overload."""

MIN_WINDOW_S = 0.1
MIN_DELAY_LIMIT_S = 0.02
DELAY_LIMIT_FACTOR = 0.5
"""Limit of the queue delay, in mean service times. A change of the level
affects arrivals only after the work of earlier hops; with a shorter limit
the queue runs empty in the meantime."""

MAX_CUT_FRACTION = 0.3
MIN_CUT_FRACTION = 0.02
CUT_GAIN = 0.5
"""Fraction of the excess (arrivals minus starts) that is cut after one window.
The counts of one window are noisy, and cutting the whole excess at once
overshoots."""

DELAY_FALLING_RATIO = 0.95
"""A delay below this fraction of the previous window's is already falling. The
queue reacts late to a cut, so another cut would overshoot."""

MIN_RAISE_STEP = 4
MAX_RAISE_STEP = 64
"""The level rises from its minimum to admitting all calls within 2.5 s."""

REPORTED_LEVEL_VALID_S = 1
STALE_LEVEL_RISE_PER_S = 640
MAX_REPORTED_LEVELS = 4096


def sublevel_of(root_id: str) -> int:
    """Hash the id of a root request to a sublevel from 0 to 127."""
    return xxhash.xxh64_intdigest(root_id.encode()) % SUBLEVEL_COUNT


def shedding_position_of(call: Call, is_over_share: bool = False) -> int:
    """Return a call's shedding position; the highest is shed first."""
    position = call.priority * SUBLEVEL_COUNT + sublevel_of(call.root_id)
    return position + OVER_SHARE_OFFSET if is_over_share else position


def queue_delay_limit_s(service_s: float) -> float:
    """Return the queue delay in seconds above which the level falls."""
    return max(MIN_DELAY_LIMIT_S, service_s * DELAY_LIMIT_FACTOR)


class AdmissionLevel:
    """Admission level of one gate, adapted to its queue delay.

    The level changes at most once per window. The window is at least
    ``MIN_WINDOW_S`` long, and while calls wait at least one service time.
    """

    def __init__(self) -> None:
        """Start with all calls admitted."""
        self.level = ADMIT_ALL_LEVEL
        self.raise_step = MIN_RAISE_STEP
        self.window_ends_at: float = 0
        self.previous_delay_s: float = 0
        self.started_count = 0
        self.admitted_by_position: dict[int, int] = {}

    def count_admitted(self, position: int) -> None:
        """Count one call that was admitted at this shedding position."""
        count = self.admitted_by_position.get(position, 0)
        self.admitted_by_position[position] = count + 1

    def count_started(self) -> None:
        """Count one call that was dispatched to the target."""
        self.started_count += 1

    def is_window_over(self, now: float) -> bool:
        """Tell whether the window has ended and ``close_window`` is due."""
        return now >= self.window_ends_at

    def close_window(
        self, delay_s: float, service_s: float, now: float
    ) -> None:
        """Adapt the level to the queue delay and start the next window.

        The level falls while the delay is above its limit, unless the delay
        is falling already. It rises while the delay is at most half of the
        limit, and otherwise stays.
        """
        # An empty queue shows at once that the level is too low, so the
        # next window need not last a service time.
        window_s = service_s if delay_s else 0
        self.window_ends_at = now + max(MIN_WINDOW_S, window_s)
        limit_s = queue_delay_limit_s(service_s)
        is_falling = delay_s < self.previous_delay_s * DELAY_FALLING_RATIO
        self.previous_delay_s = delay_s
        if delay_s > limit_s:
            self.raise_step = MIN_RAISE_STEP
            if not is_falling:
                self.lower_level()
        elif delay_s <= limit_s / 2:
            self.level = min(ADMIT_ALL_LEVEL, self.level + self.raise_step)
            self.raise_step = min(MAX_RAISE_STEP, self.raise_step * 2)
        self.admitted_by_position = {}
        self.started_count = 0

    def lower_level(self) -> None:
        """Lower the level past the highest positions that were admitted.

        The number of calls cut is ``CUT_GAIN`` times the excess of arrivals
        over starts in the window, but at least ``MIN_CUT_FRACTION`` and at
        most ``MAX_CUT_FRACTION`` of the arrivals.
        """
        arrived = sum(self.admitted_by_position.values())
        excess = (arrived - self.started_count) * CUT_GAIN
        excess = max(excess, arrived * MIN_CUT_FRACTION)
        excess = min(excess, arrived * MAX_CUT_FRACTION)
        for position in sorted(self.admitted_by_position, reverse=True):
            if excess <= 0:
                break
            excess -= self.admitted_by_position[position]
            self.level = position
        self.level = max(self.level, MIN_LEVEL)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLevel:
    """Admission level of a gate as it came with an answer."""

    level: int
    received_at: float


class ReportedLevels:
    """Admission levels last reported by the gates that a node calls."""

    def __init__(self) -> None:
        """Start without reports: calls are sent to any node."""
        self.by_node: dict[str, ReportedLevel] = {}

    def record(self, node: str, level: int, now: float) -> None:
        """Record the level that came with an answer of a node.

        A level that admits all calls is not stored. When
        ``MAX_REPORTED_LEVELS`` nodes are stored, the entry updated longest
        ago is dropped.
        """
        self.by_node.pop(node, None)
        if level >= ADMIT_ALL_LEVEL:
            return
        if len(self.by_node) >= MAX_REPORTED_LEVELS:
            self.by_node.pop(next(iter(self.by_node)))
        self.by_node[node] = ReportedLevel(level, now)

    def level_of(self, node: str, now: float) -> int:
        """Return the level that a node is assumed to have now.

        A report that is older than ``REPORTED_LEVEL_VALID_S`` counts as a
        rising level. Otherwise a node that reported a low level would get
        no calls, and so could never report a higher one.
        """
        reported = self.by_node.get(node)
        if reported is None:
            return ADMIT_ALL_LEVEL
        stale_s = max(0, now - reported.received_at - REPORTED_LEVEL_VALID_S)
        return min(
            ADMIT_ALL_LEVEL,
            int(reported.level + stale_s * STALE_LEVEL_RISE_PER_S),
        )

    def admits(self, call: Call, node: str, now: float) -> bool:
        """Tell whether the node's gate is expected to admit the call."""
        level = self.level_of(node, now)
        return level >= ADMIT_ALL_LEVEL or shedding_position_of(call) < level
