"""Bounded memory of target crashes by the requests that were running."""

import dataclasses

# A suspect with two crashes takes 0.6 KB (measured with tracemalloc), 12 MB
# for all.
MAX_SUSPECTS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDied:
    """Log record: a target crashed while it ran these requests.

    ``marks`` are the fingerprints of the requests; ``operation_id`` identifies
    the crash.
    """

    operation_id: str
    service: str
    marks: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearedDeath:
    """A request did not cause a crash.

    ``mark`` is the fingerprint of the request; ``death`` is the operation id
    of the ``TargetDied`` record.
    """

    mark: int
    death: str


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsCleared:
    """Log record: requests finished although they were suspects.

    It clears only the crashes that it names, so it may arrive before or after
    the record of a later crash.
    """

    operation_id: str
    service: str
    cleared: tuple[ClearedDeath, ...]


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes that one fingerprint is suspected and cleared of."""

    expires_at: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)

    @property
    def uncleared_crashes(self) -> set[str]:
        """The crashes that the request has not been cleared of."""
        return self.crashes - self.cleared


class SuspectMemory:
    """Suspects by fingerprint, in order of their last crash."""

    def __init__(self, retention_s: float) -> None:
        """Keep a suspect for ``retention_s`` after its last crash was recorded."""
        self.retention_s = retention_s
        self.suspects: dict[int, Suspect] = {}

    def apply_record(
        self, record: TargetDied | SuspectsCleared, now: float
    ) -> None:
        """Apply a record; a repeated record changes nothing."""
        if isinstance(record, TargetDied):
            for fingerprint in record.marks:
                suspect = self._find_or_add(
                    fingerprint, now, record.operation_id
                )
                suspect.crashes.add(record.operation_id)
            self._evict_excess()
            return
        for cleared in record.cleared:
            suspect = self._find_or_add(cleared.mark, now, cleared.death)
            suspect.cleared.add(cleared.death)
        self._evict_excess()

    def find_uncleared_crashes(self, fingerprint: int, now: float) -> set[str]:
        """Return the crashes that a fingerprint has not been cleared of."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now >= suspect.expires_at:
            return set()
        return suspect.uncleared_crashes

    def expire(self, now: float) -> None:
        """Forget suspects after their retention time."""
        while self.suspects:
            fingerprint = next(iter(self.suspects))
            if self.suspects[fingerprint].expires_at > now:
                return
            self.suspects.pop(fingerprint)

    def _find_or_add(self, fingerprint: int, now: float, crash: str) -> Suspect:
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now >= suspect.expires_at:
            suspect = Suspect(now + self.retention_s)
        if crash not in suspect.crashes:
            suspect.expires_at = now + self.retention_s
            self.suspects.pop(fingerprint, None)
        self.suspects[fingerprint] = suspect
        return suspect

    def _evict_excess(self) -> None:
        # Suspects that were cleared of all crashes are removed first, then the
        # oldest. Forgetting a suspect costs one more crash at worst.
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        cleared = [
            fingerprint
            for fingerprint, suspect in self.suspects.items()
            if not suspect.uncleared_crashes
        ]
        oldest = [
            fingerprint
            for fingerprint in self.suspects
            if fingerprint not in cleared
        ]
        for fingerprint in [*cleared, *oldest][:excess]:
            self.suspects.pop(fingerprint)
