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

SUBLEVELS = 128
SURPLUS_OFFSET = len(Priority) * SUBLEVELS
"""Positions of calls beyond their team's share follow all others."""

OPEN_LEVEL = 2 * SURPLUS_OFFSET
LOWEST_LEVEL = 16
"""Some calls always pass, so that the end of an overload is noticed."""

SHORTEST_WINDOW_S = 0.1
SHORTEST_TARGET_DELAY_S = 0.02
TARGET_DELAY_SHARE = 0.5
"""Target delay in service times. Arrivals follow a change of the level only
after the work of earlier hops; a shorter queue runs empty meanwhile."""

LARGEST_CUT = 0.3
SMALLEST_CUT = 0.02
CUT_PER_SURPLUS = 0.5
"""Part of the arrivals beyond the starts that one window cuts; counts of one
window are noisy, and cutting all of them at once overshoots."""

STILL_LONG = 0.95
"""A delay below this share of the last one is falling already; cutting on
would overshoot, because the queue answers late."""

FIRST_STEP = 4
LARGEST_STEP = 64
"""From the lowest level all calls are admitted again within 2.5 s."""

HEARD_VALID_S = 1
HEARD_RISE_PER_S = 640
MAX_HEARD = 4096


def sublevel_of(root_id: str) -> int:
    """Sublevel of a root request, 0 to 127."""
    return xxhash.xxh64_intdigest(root_id.encode()) % SUBLEVELS


def position_of(call: Call, surplus: bool = False) -> int:
    """Place of a call in the order of shedding; the highest is shed first."""
    position = call.priority * SUBLEVELS + sublevel_of(call.root_id)
    return position + SURPLUS_OFFSET if surplus else position


def target_delay_s(service_s: float) -> float:
    """Queue delay in seconds above which the level falls."""
    return max(SHORTEST_TARGET_DELAY_S, service_s * TARGET_DELAY_SHARE)


class AdmissionLevel:
    """Level of one gate, moved once per window by the queue's delay."""

    def __init__(self) -> None:
        """Start with everything admitted."""
        self.level = OPEN_LEVEL
        self.step = FIRST_STEP
        self.window_until: float = 0
        self.last_delay_s: float = 0
        self.started = 0
        self.admitted_at: dict[int, int] = {}

    def count(self, position: int) -> None:
        """Count one arrival that was not refused."""
        count = self.admitted_at.get(position, 0)
        self.admitted_at[position] = count + 1

    def count_start(self) -> None:
        """Count one call that was dispatched."""
        self.started += 1

    def is_due(self, now: float) -> bool:
        """Whether the window is over."""
        return now >= self.window_until

    def update(self, delay_s: float, service_s: float, now: float) -> None:
        """Close the window.

        Between half the target delay and the target the level stays.
        """
        # An empty queue needs no long look: the level is too low.
        window_s = service_s if delay_s else 0
        self.window_until = now + max(SHORTEST_WINDOW_S, window_s)
        target_s = target_delay_s(service_s)
        is_falling = delay_s < self.last_delay_s * STILL_LONG
        self.last_delay_s = delay_s
        if delay_s > target_s:
            self.step = FIRST_STEP
            if not is_falling:
                self.lower()
        elif delay_s <= target_s / 2:
            self.level = min(OPEN_LEVEL, self.level + self.step)
            self.step = min(LARGEST_STEP, self.step * 2)
        self.admitted_at = {}
        self.started = 0

    def lower(self) -> None:
        """Cut the highest positions by part of what could not start."""
        arrived = sum(self.admitted_at.values())
        excess = (arrived - self.started) * CUT_PER_SURPLUS
        excess = max(excess, arrived * SMALLEST_CUT)
        excess = min(excess, arrived * LARGEST_CUT)
        for position in sorted(self.admitted_at, reverse=True):
            if excess <= 0:
                break
            excess -= self.admitted_at[position]
            self.level = position
        self.level = max(self.level, LOWEST_LEVEL)


@dataclasses.dataclass(frozen=True, slots=True)
class HeardLevel:
    """A level as it came with an answer."""

    level: int
    heard_at: float


class HeardLevels:
    """What a caller's node last heard from the gates that it calls."""

    def __init__(self) -> None:
        """Start with nothing heard: everything is sent."""
        self.by_node: dict[str, HeardLevel] = {}

    def hear(self, node: str, level: int, now: float) -> None:
        """Note the level on an answer; the oldest entry leaves when full."""
        self.by_node.pop(node, None)
        if level >= OPEN_LEVEL:
            return
        if len(self.by_node) >= MAX_HEARD:
            self.by_node.pop(next(iter(self.by_node)))
        self.by_node[node] = HeardLevel(level, now)

    def level_of(self, node: str, now: float) -> int:
        """Level heard last; it rises with its age so that it cannot stick."""
        heard = self.by_node.get(node)
        if heard is None:
            return OPEN_LEVEL
        stale_s = max(0, now - heard.heard_at - HEARD_VALID_S)
        return min(OPEN_LEVEL, int(heard.level + stale_s * HEARD_RISE_PER_S))

    def admits(self, call: Call, node: str, now: float) -> bool:
        """Whether the node's gate would admit the call, as far as known."""
        level = self.level_of(node, now)
        return level >= OPEN_LEVEL or position_of(call) < level
