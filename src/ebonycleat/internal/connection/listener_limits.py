"""Limits of an HTTP listener."""

import dataclasses

HELD_SLACK_BYTES = 16_777_216
"""Bodies of other requests that fit beside the largest one allowed, where a
listener shares no account with others."""


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerLimits:
    """Limits on the size of requests and on the time of connections.

    ``header_timeout_s`` limits the time in which the headers of a request
    arrive, ``idle_timeout_s`` the time without received data while its body
    arrives and between requests. There is no limit while a request is being
    handled. ``connections`` limits the open connections: for a new one beyond
    it the longest idle one is closed, or the new one is refused.
    """

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15
    connections: int = 10_000

    @property
    def held_bytes(self) -> int:
        """Limit of the bytes held, for a listener with its own account."""
        return self.body_bytes + HELD_SLACK_BYTES
