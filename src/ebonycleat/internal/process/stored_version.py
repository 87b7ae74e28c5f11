"""Tells whether the store holds the configuration that is in force."""

NO_VERSION = -1


class StoredVersion:
    """The newest configuration version that the store has shown in its era.

    A restored store that lacks the version in force may lack later versions
    as well, until the operator has written them again. A read of it proves
    nothing.
    """

    def __init__(self) -> None:
        """Start before the first read."""
        self.era: int | None = None
        self.version = NO_VERSION
        self.version_in_force = NO_VERSION
        self.era_of_version_in_force: int | None = None

    def enter_era(self, era: int) -> None:
        """Note the era of a read; a new one has shown no version yet."""
        if era != self.era:
            self.era = era
            self.version = NO_VERSION

    def record_in_force(self, version: int) -> None:
        """Note that a version was put in force in the present era."""
        self.version_in_force = version
        self.era_of_version_in_force = self.era

    def record_read(self, version: int) -> None:
        """Note that the store holds a version."""
        self.version = max(self.version, version)

    def record_unusable_record(self) -> None:
        """Note that the store holds a version that cannot be decoded.

        It is later than the version in force if both are of one era.
        """
        if self.era_of_version_in_force == self.era:
            self.record_read(self.version_in_force)

    def is_in_force_stored(self) -> bool:
        """Tell whether the store holds the version in force or a later one."""
        return self.version >= self.version_in_force
