"""The configuration in force, and how sure this node is that it is newest.

Whether a key may be honoured is decided by the age of the last proof, never
by a time of day: the proof is a read of the store that showed no newer
version, counted from before that read was sent.
"""

from collections.abc import Callable

from ebonycleat.internal.version.mesh_configuration import (
    ConfigurationIndex,
    MeshConfiguration,
)

KEY_TRUST_SHARE = 0.95
"""Part of the allowed time for which a proof is trusted; the rest covers the
time between the check of a key and the start of the run."""


class ConfigurationHolder:
    """Versions only rise in one process, whatever order they come in."""

    def __init__(self, key_withdrawal_s: float | None) -> None:
        """Know nothing.

        ``withdrawal_s`` is the time after which a withdrawn key must not
        work; with None keys are honoured however old the proof is.
        """
        self.key_withdrawal_s = key_withdrawal_s
        self.index: ConfigurationIndex | None = None
        self.proved_at: float | None = None
        self.listeners: list[Callable[[ConfigurationIndex], None]] = []

    @property
    def version(self) -> int:
        """Version in force; -1 while none is known."""
        return -1 if self.index is None else self.index.version

    def apply_if_newer(self, configuration: MeshConfiguration) -> bool:
        """Put a newer version in force; false for old news."""
        if configuration.version <= self.version:
            return False
        self.index = ConfigurationIndex(configuration)
        for listener in self.listeners:
            listener(self.index)
        return True

    def record_proof(self, version: int, proved_at: float) -> None:
        """Note that ``version`` was the newest at ``proved_at``.

        A proof of another version than the one in force proves nothing here.
        """
        if self.index is None or version != self.version:
            return
        if self.proved_at is None or proved_at > self.proved_at:
            self.proved_at = proved_at

    def proof_age_s(self, now: float) -> float | None:
        """Seconds since the version in force was surely the newest."""
        return None if self.proved_at is None else now - self.proved_at

    def may_trust_keys(self, now: float) -> bool:
        """Whether the proof is young enough to honour keys."""
        if self.index is None:
            return False
        if self.key_withdrawal_s is None:
            return True
        age_s = self.proof_age_s(now)
        if age_s is None:
            return False
        return age_s <= self.key_withdrawal_s * KEY_TRUST_SHARE

    def accepts_key(self, key_mark: bytes, team: str, now: float) -> bool:
        """Whether a call that came with this key may still run."""
        if not key_mark:
            return True
        if self.index is None or not self.may_trust_keys(now):
            return False
        return self.index.team_by_key_fingerprint.get(key_mark) == team
