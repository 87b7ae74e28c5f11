"""Admission at the entry by what the deepest full service can take.

A request that is refused two hops down has wasted the work of two targets.
Each gate therefore publishes the share of present work that it can take. The
shares travel on answers, back along the calls, so an entry learns for each
service which full services its requests lead to, and refuses the least
important of them before anything has run.
"""

import collections
import dataclasses
from collections.abc import Iterable

from ebonycleat.internal.request.call import Call, Priority

GOAL_UTILISATION = 0.92
"""Share of the slots that a gate wants in use; the rest absorbs bursts that
are shorter than the way of a share back to the entries."""

RESPONSE_S = 0.6
"""Time in which a share follows a change of the load: about the duration of
a deep call, after which the effect of the last change is seen."""

BACKLOG_S = 0.4
"""Time in which a queue should be worked off."""

UPDATE_S = 0.1
SMALLEST_SHARE = 0.05
"""Some requests always pass, so that the end of an overload is noticed."""

OPEN_SHARE = 0.995
"""Shares above this are not published: the service takes everything."""

HEARD_VALID_S = 1.5
"""A share that no answer has confirmed for so long is forgotten."""

HEARD_GAIN = 0.3
"""Several gates of a service tell different shares; this averages them."""

CLASS_MEMORY_S = 2.0
"""Over how long an entry remembers which classes its requests have."""


class GatePressure:
    """The share of present work that one gate can take."""

    def __init__(self, now: float) -> None:
        """Start open."""
        self.share: float = 1
        self.refused = 0
        self.running_s: float = 0
        self.served = 0
        self.served_s: float = 0
        self.mean_service_s: float = 0
        self.running = 0
        self.changed_at = now
        self.updated_at = now

    def note_running(self, running: int, now: float) -> None:
        """Note the number of running calls whenever it changes."""
        self.running_s += self.running * (now - self.changed_at)
        self.running = running
        self.changed_at = now

    def note_refused(self) -> None:
        """Note a call that found no room."""
        self.refused += 1

    def note_served(self, service_s: float) -> None:
        """Note the duration of a run."""
        self.served += 1
        self.served_s += service_s

    def update(self, queued: int, limit: int, now: float) -> None:
        """Adapt the share to the load since the last update."""
        elapsed_s = now - self.updated_at
        if elapsed_s < UPDATE_S or limit < 1:
            return
        self.note_running(self.running, now)
        if self.served:
            self.mean_service_s = self.served_s / self.served
        waiting = queued / BACKLOG_S + self.refused / elapsed_s
        load = self.running_s / elapsed_s + waiting * self.mean_service_s
        utilisation = max(load / limit, GOAL_UTILISATION / 2)
        step = min(1.0, elapsed_s / RESPONSE_S)
        share = self.share * (GOAL_UTILISATION / utilisation) ** step
        self.share = min(1.0, max(SMALLEST_SHARE, share))
        self.running_s = 0
        self.refused = 0
        self.updated_at = now
        # Half of the sample stays: short windows hold few long runs.
        self.served_s = self.mean_service_s * (self.served // 2)
        self.served //= 2


@dataclasses.dataclass(slots=True)
class HeardShare:
    """A share as it came with answers."""

    share: float
    heard_at: float


class HeardShares:
    """Full services that the calls to one service lead to."""

    def __init__(self) -> None:
        """Start without any."""
        self.by_service: dict[str, HeardShare] = {}

    def hear(self, shares: Iterable[tuple[str, float]], now: float) -> None:
        """Note the shares on one answer."""
        for service, share in shares:
            known = self.by_service.get(service)
            if known is None:
                self.by_service[service] = HeardShare(share, now)
            else:
                known.share += (share - known.share) * HEARD_GAIN
                known.heard_at = now

    def current(self, now: float) -> dict[str, float]:
        """Shares that were confirmed lately."""
        self.by_service = {
            name: heard
            for name, heard in self.by_service.items()
            if now - heard.heard_at <= HEARD_VALID_S
        }
        return {name: known.share for name, known in self.by_service.items()}


class ClassShares:
    """Requests of this entry that lead to one full service, by class."""

    def __init__(self, now: float) -> None:
        """Start with nothing counted."""
        self.counts: dict[Priority, float] = collections.defaultdict(float)
        self.owed: dict[Priority, float] = collections.defaultdict(float)
        self.decayed_at = now

    def count(self, priority: Priority, now: float) -> None:
        """Count one request; old ones fade."""
        keep = max(0, 1 - (now - self.decayed_at) / CLASS_MEMORY_S)
        self.decayed_at = now
        for known in self.counts:
            self.counts[known] *= keep
        self.counts[priority] += 1

    def part_admitted(self, priority: Priority, share: float) -> float:
        """Part of a class that fits when the more important go first."""
        total = sum(self.counts.values())
        before = sum(
            count for known, count in self.counts.items() if known < priority
        )
        own = self.counts[priority]
        if own <= 0 or total <= 0:
            return 1
        return min(1.0, max(0, (share * total - before) / own))

    def admits(self, priority: Priority, part: float) -> bool:
        """Admit this part of a class, evenly spread."""
        self.owed[priority] += part
        if self.owed[priority] < 1:
            return False
        self.owed[priority] -= 1
        return True


class EntryPressure:
    """What an entry knows of full services, and whom it admits."""

    def __init__(self) -> None:
        """Start with nothing heard."""
        self.heard: dict[str, HeardShares] = {}
        self.called = HeardShares()
        self.classes: dict[str, ClassShares] = {}

    def hear(
        self,
        call: Call,
        shares: tuple[tuple[str, float], ...],
        now: float,
    ) -> None:
        """Note the shares on the answer to a call."""
        if not shares:
            return
        if call.depth:
            # The own target made this call; its callers should know.
            self.called.hear(shares, now)
        else:
            self.heard.setdefault(call.service, HeardShares()).hear(
                shares,
                now,
            )

    def part_admitted(self, call: Call, now: float) -> float:
        """Part of the requests like this one that the way can take.

        Calls that targets make were admitted with the request that caused
        them.
        """
        heard = self.heard.get(call.service)
        if heard is None or call.depth:
            return 1
        part: float = 1
        for service, share in heard.current(now).items():
            classes = self.classes.setdefault(service, ClassShares(now))
            classes.count(call.priority, now)
            part = min(part, classes.part_admitted(call.priority, share))
        return part

    def admits(self, call: Call, part: float) -> bool:
        """Whether this request is among the part admitted."""
        if part >= 1:
            return True
        shares = self.classes.setdefault(call.service, ClassShares(0))
        return shares.admits(call.priority, part)
