"""Which calls are admitted under overload, alike at every hop.

Each call has a position: its priority times 128 plus a sublevel hashed from
the root request's id. A gate admits positions below its level. Since the
hash is the same at each hop, overload at two hops refuses the same roots,
and the survivors pass both. The level travels on answers, and callers'
nodes refuse early what would be refused at the gate.
"""

import dataclasses

import xxhash

from ebonycleat.internal.request.call import Call, Priority

SUBLEVEL_COUNT = 128
OVER_SHARE_OFFSET = len(Priority) * SUBLEVEL_COUNT
"""Positions of calls beyond their team's share follow all others."""

ADMIT_ALL_LEVEL = 2 * OVER_SHARE_OFFSET
MIN_LEVEL = 16
"""Some calls always pass, so that the end of an overload is noticed."""

MIN_WINDOW_S = 0.1
MIN_DELAY_LIMIT_S = 0.02
DELAY_LIMIT_FACTOR = 0.5
"""Target delay in service times. Arrivals follow a change of the level only
after the work of earlier hops; a shorter queue runs empty meanwhile."""

MAX_CUT_SHARE = 0.3
MIN_CUT_SHARE = 0.02
CUT_GAIN = 0.5
"""Part of the arrivals beyond the starts that one window cuts; counts of one
window are noisy, and cutting all of them at once overshoots."""

DELAY_FALLING_RATIO = 0.95
"""A delay below this share of the last one is falling already; cutting on
would overshoot, because the queue answers late."""

MIN_RAISE_STEP = 4
MAX_RAISE_STEP = 64
"""From the lowest level all calls are admitted again within 2.5 s."""

REPORTED_LEVEL_VALID_S = 1
STALE_LEVEL_RISE_PER_S = 640
MAX_REPORTED_LEVELS = 4096


def sublevel_of(root_id: str) -> int:
    """Sublevel of a root request, 0 to 127."""
    return xxhash.xxh64_intdigest(root_id.encode()) % SUBLEVEL_COUNT


def shedding_position_of(call: Call, is_over_share: bool = False) -> int:
    """Place of a call in the order of shedding; the highest is shed first."""
    position = call.priority * SUBLEVEL_COUNT + sublevel_of(call.root_id)
    return position + OVER_SHARE_OFFSET if is_over_share else position


def queue_delay_limit_s(service_s: float) -> float:
    """Queue delay in seconds above which the level falls."""
    return max(MIN_DELAY_LIMIT_S, service_s * DELAY_LIMIT_FACTOR)


class AdmissionLevel:
    """Level of one gate, moved once per window by the queue's delay."""

    def __init__(self) -> None:
        """Start with everything admitted."""
        self.level = ADMIT_ALL_LEVEL
        self.raise_step = MIN_RAISE_STEP
        self.window_ends_at: float = 0
        self.previous_delay_s: float = 0
        self.started_count = 0
        self.admitted_by_position: dict[int, int] = {}

    def count_admitted(self, position: int) -> None:
        """Count one arrival that was not refused."""
        count = self.admitted_by_position.get(position, 0)
        self.admitted_by_position[position] = count + 1

    def count_started(self) -> None:
        """Count one call that was dispatched."""
        self.started_count += 1

    def is_window_over(self, now: float) -> bool:
        """Whether the window is over."""
        return now >= self.window_ends_at

    def close_window(
        self, delay_s: float, service_s: float, now: float
    ) -> None:
        """Close the window.

        Between half the target delay and the target the level stays.
        """
        # An empty queue needs no long look: the level is too low.
        window_s = service_s if delay_s else 0
        self.window_ends_at = now + max(MIN_WINDOW_S, window_s)
        target_s = queue_delay_limit_s(service_s)
        is_falling = delay_s < self.previous_delay_s * DELAY_FALLING_RATIO
        self.previous_delay_s = delay_s
        if delay_s > target_s:
            self.raise_step = MIN_RAISE_STEP
            if not is_falling:
                self.lower_level()
        elif delay_s <= target_s / 2:
            self.level = min(ADMIT_ALL_LEVEL, self.level + self.raise_step)
            self.raise_step = min(MAX_RAISE_STEP, self.raise_step * 2)
        self.admitted_by_position = {}
        self.started_count = 0

    def lower_level(self) -> None:
        """Cut the highest positions by part of what could not start."""
        arrived = sum(self.admitted_by_position.values())
        excess = (arrived - self.started_count) * CUT_GAIN
        excess = max(excess, arrived * MIN_CUT_SHARE)
        excess = min(excess, arrived * MAX_CUT_SHARE)
        for position in sorted(self.admitted_by_position, reverse=True):
            if excess <= 0:
                break
            excess -= self.admitted_by_position[position]
            self.level = position
        self.level = max(self.level, MIN_LEVEL)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLevel:
    """A level as it came with an answer."""

    level: int
    received_at: float


class ReportedLevels:
    """What a caller's node last heard from the gates that it calls."""

    def __init__(self) -> None:
        """Start with nothing heard: everything is sent."""
        self.by_node: dict[str, ReportedLevel] = {}

    def record(self, node: str, level: int, now: float) -> None:
        """Note the level on an answer; the oldest entry leaves when full."""
        self.by_node.pop(node, None)
        if level >= ADMIT_ALL_LEVEL:
            return
        if len(self.by_node) >= MAX_REPORTED_LEVELS:
            self.by_node.pop(next(iter(self.by_node)))
        self.by_node[node] = ReportedLevel(level, now)

    def level_of(self, node: str, now: float) -> int:
        """Level heard last; it rises with its age so that it cannot stick."""
        heard = self.by_node.get(node)
        if heard is None:
            return ADMIT_ALL_LEVEL
        stale_s = max(0, now - heard.received_at - REPORTED_LEVEL_VALID_S)
        return min(
            ADMIT_ALL_LEVEL, int(heard.level + stale_s * STALE_LEVEL_RISE_PER_S)
        )

    def admits(self, call: Call, node: str, now: float) -> bool:
        """Whether the node's gate would admit the call, as far as known."""
        level = self.level_of(node, now)
        return level >= ADMIT_ALL_LEVEL or shedding_position_of(call) < level
