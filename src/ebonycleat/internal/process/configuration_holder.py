"""The configuration in force and the last proof that it was the newest.

A proof is a read of the store that showed no newer version. It counts from
the moment before the read was sent, because a newer version may have been
written while the answer was under way. Keys are accepted only while the last
proof is recent enough. Ages are measured on the monotonic clock, so changes
of the wall clock have no influence.
"""

from collections.abc import Callable

from ebonycleat.internal.process.placement.evacuated_zones import (
    EvacuatedZones,
)
from ebonycleat.internal.version.mesh_configuration import (
    ConfigurationIndex,
    MeshConfiguration,
)

KEY_TRUST_SHARE = 0.95
"""Share of the withdrawal time for which a proof is accepted. The rest covers
the time between the check of a key and the start of the call."""


class ConfigurationHolder:
    """Holds the newest configuration; versions never go back.

    ``listeners`` are called with the index of each new version. ``evacuated``
    has the zones to whose targets nothing may be sent; operators write them to
    the same topic of the store.
    """

    def __init__(self, key_withdrawal_s: float | None) -> None:
        """Start without a configuration.

        ``key_withdrawal_s`` is the time in seconds after which a withdrawn
        key must be refused. With None, keys are accepted however old the
        last proof is.
        """
        self.key_withdrawal_s = key_withdrawal_s
        self.index: ConfigurationIndex | None = None
        self.proved_at: float | None = None
        self.evacuated = EvacuatedZones()
        self.listeners: list[Callable[[ConfigurationIndex], None]] = []

    @property
    def version(self) -> int:
        """The version in force, or -1 while there is none."""
        return -1 if self.index is None else self.index.version

    def apply_if_newer(self, configuration: MeshConfiguration) -> bool:
        """Put a configuration in force unless its version is not newer.

        Returns whether it was applied.
        """
        if configuration.version <= self.version:
            return False
        self.index = ConfigurationIndex(configuration)
        for listener in self.listeners:
            listener(self.index)
        return True

    def record_proof(self, version: int, proved_at: float) -> None:
        """Record that ``version`` was the newest at ``proved_at``.

        A proof of any other version than the one in force is ignored, and so
        is one that is older than the last.
        """
        if self.index is None or version != self.version:
            return
        if self.proved_at is None or proved_at > self.proved_at:
            self.proved_at = proved_at

    def proof_age_s(self, now: float) -> float | None:
        """Return the seconds since the last proof; None without a proof."""
        return None if self.proved_at is None else now - self.proved_at

    def may_trust_keys(self, now: float) -> bool:
        """Tell whether the last proof is recent enough to accept keys."""
        if self.index is None:
            return False
        if self.key_withdrawal_s is None:
            return True
        age_s = self.proof_age_s(now)
        if age_s is None:
            return False
        return age_s <= self.key_withdrawal_s * KEY_TRUST_SHARE

    def accepts_key(
        self, key_fingerprint: bytes, team: str, now: float
    ) -> bool:
        """Tell whether a call authenticated by this key may still run.

        ``key_fingerprint`` is that of the caller's key, and empty for routes
        that need none. The key must still belong to ``team``.
        """
        if not key_fingerprint:
            return True
        if self.index is None or not self.may_trust_keys(now):
            return False
        return self.index.team_by_key_fingerprint.get(key_fingerprint) == team
