"""Notices that the platform's store was restored from an older copy.

A restored store may lack confirmed records and gives out their offsets again.
The era that it names in its answers rises with each restore.
"""

import asyncio
from collections.abc import Callable

from ebonycleat.internal.connection.errors import StorageUnavailable
from ebonycleat.internal.connection.platform_interfaces import (
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.event_log import EventLog


class StoreEra:
    """The era of the store as this node knows it from its own reads.

    ``number`` is None before the first read. ``was_restored`` is set with
    each new era; whoever waits for it clears it.
    """

    def __init__(self, log: EventLog, clock: Callable[[], float]) -> None:
        """Start without a read; ``clock`` returns seconds."""
        self.log = log
        self.clock = clock
        self.number: int | None = None
        self.restored_at = clock()
        self.was_restored = asyncio.Event()

    def record(
        self, page: TopicPage, topic: StoreTopic, **known: object
    ) -> None:
        """Note the era of a page, and log that the store was restored.

        ``known`` is what the node knew before, for the log line. Raises
        ``StorageUnavailable`` for a page of an earlier era: it tells nothing
        about the store any more.
        """
        before = self.number
        if before is not None and page.era < before:
            raise StorageUnavailable(
                f'the answer is of era {page.era}, before the store was '
                f'restored in era {before}'
            )
        self.number = page.era
        if before is None or page.era == before:
            return
        self.restored_at = self.clock()
        self.was_restored.set()
        self.log.write_always(
            'store was restored from an older copy',
            topic=topic.value,
            era=page.era,
            era_before=before,
            end_offset=page.end_offset,
            **known,
        )
