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

WINDOW_S = 0.1
TARGET_DELAY_S = 0.02
"""A shorter queue empties between two answers of a busy target."""

CUT_SHARE = 0.1
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


class AdmissionLevel:
    """Level of one gate, moved once per window by the queue's delay."""

    def __init__(self) -> None:
        """Start with everything admitted."""
        self.level = OPEN_LEVEL
        self.step = FIRST_STEP
        self.window_until: float = 0
        self.admitted_at: dict[int, int] = {}

    def admits(self, position: int) -> bool:
        """Decide on one arrival and count it."""
        if position >= self.level:
            return False
        count = self.admitted_at.get(position, 0)
        self.admitted_at[position] = count + 1
        return True

    def update(self, delay_s: float, now: float) -> None:
        """Close the window when it is over."""
        if now < self.window_until:
            return
        self.window_until = now + WINDOW_S
        if delay_s > TARGET_DELAY_S:
            self.step = FIRST_STEP
            self.lower()
        else:
            self.level = min(OPEN_LEVEL, self.level + self.step)
            self.step = min(LARGEST_STEP, self.step * 2)
        self.admitted_at = {}

    def lower(self) -> None:
        """Cut the highest positions that make up a share of arrivals."""
        excess = sum(self.admitted_at.values()) * CUT_SHARE
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
        return position_of(call) < self.level_of(node, now)
