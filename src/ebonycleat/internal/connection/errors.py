"""Errors of the connection layer; callers above turn them into outcomes."""


class ConnectionLayerError(Exception):
    """Base of all errors that connections raise."""


class LogUnavailable(ConnectionLayerError):
    """The log service could not be reached; nothing was appended."""


class AppendOutcomeUnknown(ConnectionLayerError):
    """The answer to an append was lost; it may have taken effect."""


class OffsetExpired(ConnectionLayerError):
    """The wanted records are past their retention time.

    ``first_offset`` is the oldest offset that the stream still keeps.
    """

    def __init__(self, first_offset: int) -> None:
        """Remember where the stream now begins."""
        super().__init__(
            'the log no longer keeps the wanted records, '
            f'read from offset {first_offset} and load a snapshot',
        )
        self.first_offset = first_offset


class MalformedMessage(ConnectionLayerError):
    """Bytes from a peer or the log that do not form a known message."""


class LinkClosed(ConnectionLayerError):
    """The link to a peer closed; ``sent`` says if the call had left."""

    def __init__(self, *, sent: bool) -> None:
        """Remember whether the call may have reached the peer."""
        super().__init__('the link to the peer node closed')
        self.sent = sent
