"""Data that waits in a transport because the receiver reads slowly."""

import asyncio


def has_unsent(transport: asyncio.WriteTransport | None) -> bool:
    """Tell whether a transport has data that it has not passed on yet."""
    return transport is not None and transport.get_write_buffer_size() > 0
