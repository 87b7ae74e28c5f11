"""Deaths of targets by the requests that were running, in bounds."""

import dataclasses

# With both deaths 0.6 KB each (tracemalloc), 12 MB in all.
MAX_SUSPECTS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDied:
    """Log record: a target died; ``marks`` are the running fingerprints.

    The operation id names the death.
    """

    operation_id: str
    service: str
    marks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedDeath:
    """A request is not to blame for one death."""

    mark: int
    death: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsCleared:
    """Log record: requests that finished after they had been suspect.

    It clears only the deaths that it names, so that it can arrive before
    or after the record of a later death.
    """

    operation_id: str
    service: str
    cleared: tuple[ClearedDeath, ...]


@dataclasses.dataclass(slots=True)
class Suspect:
    """Deaths and clearances of one fingerprint."""

    expires_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)

    @property
    def blamed_crashes(self) -> set[str]:
        """The deaths that the request was not cleared of."""
        return self.crashes - self.cleared


class SuspectMemory:
    """Suspects by fingerprint, in order of their last record."""

    def __init__(self, retention_s: float) -> None:
        """Keep a suspect for ``span_s`` after the last new record."""
        self.retention_s = retention_s
        self.suspects: dict[int, Suspect] = {}

    def apply_record(self, record: TargetDied | SuspectsCleared, now: float) -> None:
        """Take a record; a second copy changes nothing."""
        if isinstance(record, TargetDied):
            for mark in record.marks:
                suspect = self._touch(mark, now, record.operation_id)
                suspect.crashes.add(record.operation_id)
            self._shrink()
            return
        for cleared in record.cleared:
            suspect = self._touch(cleared.mark, now, cleared.death)
            suspect.cleared.add(cleared.death)
        self._shrink()

    def find_blamed_crashes(self, mark: int, now: float) -> set[str]:
        """Return the deaths that a fingerprint is blamed for."""
        suspect = self.suspects.get(mark)
        if suspect is None or now >= suspect.expires_at:
            return set()
        return suspect.blamed_crashes

    def expire(self, now: float) -> None:
        """Forget suspects past their span."""
        while self.suspects:
            mark = next(iter(self.suspects))
            if self.suspects[mark].expires_at > now:
                return
            self.suspects.pop(mark)

    def _touch(self, mark: int, now: float, death: str) -> Suspect:
        suspect = self.suspects.get(mark)
        if suspect is None or now >= suspect.expires_at:
            suspect = Suspect(now + self.retention_s)
        if death not in suspect.crashes:
            suspect.expires_at = now + self.retention_s
            self.suspects.pop(mark, None)
        self.suspects[mark] = suspect
        return suspect

    def _shrink(self) -> None:
        # Those that are blamed for nothing any more go first, then the
        # oldest: forgetting a suspect costs at worst one more target.
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        harmless = [
            mark
            for mark, suspect in self.suspects.items()
            if not suspect.blamed_crashes
        ]
        oldest = [mark for mark in self.suspects if mark not in harmless]
        for mark in [*harmless, *oldest][:excess]:
            self.suspects.pop(mark)
