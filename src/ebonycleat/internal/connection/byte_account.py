"""Counts the bytes that several connections hold together."""


class ByteAccount:
    """The number of bytes that are held, up to a limit of each call."""

    def __init__(self) -> None:
        """Start without any held bytes."""
        self.held_bytes = 0

    def hold(self, count: int, limit: int) -> bool:
        """Hold more bytes; return False if they would exceed the limit."""
        if self.held_bytes + count > limit:
            return False
        self.held_bytes += count
        return True

    def release(self, count: int) -> None:
        """Note that bytes are held no longer."""
        self.held_bytes -= count
