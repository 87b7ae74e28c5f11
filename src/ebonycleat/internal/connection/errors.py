"""Errors that connections raise; the layers above translate them."""


class ConnectionLayerError(Exception):
    """Base class of all errors that connections raise."""


class StorageUnavailable(ConnectionLayerError):
    """The log or store cannot be reached or refuses; nothing was changed."""


class WriteOutcomeUnknown(ConnectionLayerError):
    """The response to an append or write was lost; it may have taken effect."""


class OffsetExpired(ConnectionLayerError):
    """The requested records are past the retention time of their stream.

    ``first_offset`` is the oldest offset that the stream still has.
    """

    def __init__(self, first_offset: int) -> None:
        """Store the oldest offset that can be read."""
        super().__init__(
            'the log no longer has the requested records; load a snapshot and '
            f'read from offset {first_offset} on',
        )
        self.first_offset = first_offset


class MalformedMessage(ConnectionLayerError):
    """Data from a peer or the log that is not a valid known message."""


class InvalidConfiguration(ConnectionLayerError):
    """A record that is not a valid configuration; says where and why."""


class LinkClosed(ConnectionLayerError):
    """The link to a peer closed.

    ``sent`` is True if the call may have reached the peer.
    """

    def __init__(self, *, sent: bool) -> None:
        """Store whether the call may have reached the peer."""
        super().__init__('the link to the peer node closed')
        self.sent = sent
