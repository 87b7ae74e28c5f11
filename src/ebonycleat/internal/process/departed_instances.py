"""Remembers the instances that have told the node that they leave.

A departure is final for the start that it names, also if the node has not
heard of that start before: its first heartbeat may still be on its way.
"""

from collections.abc import Iterable

MAX_DEPARTURES = 16
"""Departures that are remembered. They are forgotten once a later start is
known, so a few suffice."""


class DepartedInstances:
    """Latest start of each instance that has left, by instance id.

    ``latest_starts`` are Unix times in milliseconds.
    """

    def __init__(self) -> None:
        """Start without departures."""
        self.latest_starts: dict[str, int] = {}

    def record(self, instance: str, started_ms: int) -> None:
        """Record that all starts of an instance up to ``started_ms`` left."""
        latest_ms = self.latest_starts.get(instance, -1)
        self.latest_starts[instance] = max(started_ms, latest_ms)
        if len(self.latest_starts) > MAX_DEPARTURES:
            earliest = min(self.latest_starts.items(), key=lambda pair: pair[1])
            self.latest_starts.pop(earliest[0])

    def restore(self, pairs: Iterable[tuple[str, int]]) -> None:
        """Add the departures that a member record names."""
        for instance, started_ms in pairs:
            self.record(instance, started_ms)

    def has_left(self, instance: str, started_ms: int) -> bool:
        """Tell whether this start of the instance has left."""
        return started_ms <= self.latest_starts.get(instance, -1)

    def forget_until(self, started_ms: int) -> None:
        """Forget starts up to ``started_ms``, which no longer count anyway."""
        self.latest_starts = {
            instance: latest_ms
            for instance, latest_ms in self.latest_starts.items()
            if latest_ms > started_ms
        }

    def as_pairs(self) -> tuple[tuple[str, int], ...]:
        """Return the departures for the member record, sorted."""
        return tuple(sorted(self.latest_starts.items()))
