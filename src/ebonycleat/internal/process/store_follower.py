"""Keeps configuration and member list up to date with few store calls.

One node of a zone, its reader, long-polls the store for changes. The other
nodes of the zone ask the reader several times in the propagation time for the
age of its last proof and get newer data with the answer. A proof is a read of
the store that showed no newer configuration. A reader that loses the store
says so, and the next node reads. A node whose own proof becomes too old reads
the store itself, so a dead reader or a network partition causes more store
calls but no stale data.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from ebonycleat.internal.connection.errors import (
    InvalidConfiguration,
    OffsetExpired,
    StorageUnavailable,
)
from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    ConfigurationUpdate,
    FreshnessReply,
    FreshnessRequest,
    MembersUpdate,
)
from ebonycleat.internal.connection.platform_interfaces import (
    PlatformInterfaces,
    StorePosition,
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.proof_exchange import ProofExchange
from ebonycleat.internal.process.retry_backoff import RetryBackoff
from ebonycleat.internal.process.store_era import StoreEra
from ebonycleat.internal.process.store_reader import StoreReaderChoice
from ebonycleat.internal.process.stored_version import StoredVersion
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from ebonycleat.internal.version.mesh_configuration import MeshConfiguration

CONFIGURATION_WAIT_SHARE = 0.35
"""Share of the propagation time for which a read waits for a change.
Each answer proves the state at the time when the read was sent, and the next
answer comes a whole wait later: a reader's proof becomes two waits old."""

OVERDUE_SHARE = 0.15
"""Share of the propagation time after the end of its wait from which a read is
overdue: the store may be lost, and other nodes are asked meanwhile."""

ASK_SHARE = 0.15
"""Share of the propagation time between two questions to the reader."""

MAX_PROOF_AGE_SHARE = 0.9
"""A node reads the store itself if its proof is older than this share of the
propagation time, because its reader may have lost the store. Without failures
a proof becomes two waits and one pause between questions old, which is less;
a reader's proof must not make the other nodes read each time. The rest of the
propagation time is for the read."""

MEMBERS_WAIT_S = 20.0
"""How long a read of members waits for a change. The member list needs no
proof of its age, so a long wait saves calls."""

MEMBERS_PAUSE_S = 0.5
"""Pause after each read of members, so that one call returns many changes."""

RESTORED_MEMBERS_WAIT_S = 1.0
"""How long a node that sees the store restored waits for the reader's new
member list before it reads the list itself."""


class StoreFollower:
    """Follows the store directly or through the reader of the zone.

    ``configuration_position`` is where to read the configuration next, or
    None when the newest record must be read first, as after a time in which
    another node read the store. ``on_members_changed`` is called after each
    change of the member list.
    """

    def __init__(
        self,
        platform: PlatformInterfaces,
        holder: ConfigurationHolder,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        log: EventLog,
        clock: Callable[[], float],
        propagation_s: float,
    ) -> None:
        """Update ``holder`` and the members that ``leader`` chooses from.

        ``clock`` returns seconds, and ``propagation_s`` is the time in which a
        change must be in force.
        """
        self.platform = platform
        self.holder = holder
        self.members = leader.members
        self.reader = StoreReaderChoice(leader)
        self.exchange = ProofExchange(holder, self.reader, links, clock)
        self.log = log
        self.clock = clock
        self.propagation_s = propagation_s
        self.configuration_position: StorePosition | None = None
        self.era = StoreEra(log, clock)
        self.stored = StoredVersion()
        self.on_members_changed: Callable[[], None] = do_nothing
        self.is_store_unreachable = False
        self.store_calls = 0
        self.rejected_configurations = 0
        self.logged_kinds: set[tuple[str, str]] = set()

    async def follow_configuration(self) -> None:
        """Keep the configuration and its proof recent, until cancelled."""
        retry = RetryBackoff()
        while True:
            if self.must_read_store():
                if await self.read_or_ask():
                    retry.reset()
                else:
                    await retry.wait()
            elif await self.exchange.ask_reader():
                self.configuration_position = None
                await asyncio.sleep(self.pause_before_next_question_s())

    async def read_or_ask(self) -> bool:
        """Read once, and ask other nodes while the answer is overdue.

        Returns whether the store was reached.
        """
        read = asyncio.ensure_future(self.try_read(self.read_configuration))
        try:
            await self.ask_while_overdue(read)
        except asyncio.CancelledError:
            read.cancel()
            raise
        reached = read.result()
        if not reached:
            await self.exchange.ask_reader()
        return reached

    async def ask_while_overdue(self, read: asyncio.Future[bool]) -> None:
        """Wait for a read; ask other nodes from the time it is overdue."""
        due_s = self.propagation_s * (CONFIGURATION_WAIT_SHARE + OVERDUE_SHARE)
        await asyncio.wait((read,), timeout=due_s)
        while not read.done():
            self.record_store_state(unreachable=True, detail='no answer yet')
            await self.exchange.ask_reader()
            await asyncio.wait((read,), timeout=self.propagation_s * ASK_SHARE)

    def pause_before_next_question_s(self) -> float:
        """Return how long to trust the last proof before asking again.

        The pause ends in time for a read of the store by this node.
        """
        age_s = self.holder.proof_age_s(self.clock()) or 0
        time_left_s = self.propagation_s * MAX_PROOF_AGE_SHARE - age_s
        return max(0, min(self.propagation_s * ASK_SHARE, time_left_s))

    def must_read_store(self) -> bool:
        """Tell whether this node must read the configuration itself now.

        That holds for the reader of the zone and for a node whose proof is
        missing or too old.
        """
        now = self.clock()
        if self.reader.is_own_node(now):
            return True
        age_s = self.holder.proof_age_s(now)
        max_age_s = self.propagation_s * MAX_PROOF_AGE_SHARE
        return age_s is None or age_s >= max_age_s

    async def follow_members(self) -> None:
        """Keep the member list up to date, until cancelled.

        After its first read, a node that is not the reader gets changes from
        the reader only, unless the reader has none of the store's era.
        """
        retry = RetryBackoff()
        while True:
            reached = True
            if self.must_read_members():
                reached = await self.try_read(self.read_members)
            if reached:
                retry.reset()
                await asyncio.sleep(MEMBERS_PAUSE_S)
            else:
                await retry.wait()

    def must_read_members(self) -> bool:
        """Tell whether this node must read the member list itself now."""
        now = self.clock()
        if not self.members.is_known or self.reader.is_own_node(now):
            return True
        era = self.era.number
        is_outdated = era is not None and self.members.position.era < era
        waited_s = now - self.era.restored_at
        return is_outdated and waited_s > RESTORED_MEMBERS_WAIT_S

    async def try_read(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Read once; return false if the store could not be reached."""
        self.store_calls += 1
        try:
            await read()
        except StorageUnavailable as error:
            self.record_store_state(unreachable=True, detail=str(error))
            return False
        self.record_store_state(unreachable=False)
        return True

    def record_store_state(
        self, *, unreachable: bool, detail: str = ''
    ) -> None:
        """Note whether this node reaches the store, and log a change of it."""
        if unreachable:
            self.reader.record_store_lost(self.reader.node, self.clock())
        else:
            self.reader.record_store_reached(self.reader.node)
        if unreachable != self.is_store_unreachable:
            self.is_store_unreachable = unreachable
            event = (
                'store unreachable' if unreachable else 'store reachable again'
            )
            self.log.write_always(
                event,
                detail=detail,
                version=self.holder.version,
                proof_age_s=self.holder.proof_age_s(self.clock()),
            )

    def record_era(self, page: TopicPage, topic: StoreTopic) -> None:
        """Note the era of a page of the store; see ``StoreEra.record``."""
        self.era.record(
            page,
            topic,
            version=self.holder.version,
            members_offset=self.members.position.offset,
        )
        self.stored.enter_era(page.era)

    def log_expired_offset(self, topic: StoreTopic, offset: int) -> None:
        """Log a read of records that the store does not have."""
        self.log.write_limited(
            'offset is not in the log; reading the newest records',
            topic=topic.value,
            offset=offset,
            era=self.era.number,
        )

    async def read_configuration(self) -> None:
        """Read the configuration from the store once.

        Each complete answer is a proof, even one without a change. If the
        offset has expired or the store was restored, the next read starts
        from the newest record.
        """
        sent_at = self.clock()
        topic = StoreTopic.CONFIGURATION
        position = self.configuration_position
        if position is None:
            page = await self.platform.store.read_newest(topic)
        else:
            try:
                page = await self.platform.store.wait_for_changes(
                    topic,
                    position.offset,
                    self.propagation_s * CONFIGURATION_WAIT_SHARE,
                )
            except OffsetExpired:
                self.log_expired_offset(topic, position.offset)
                self.configuration_position = None
                return
        self.record_era(page, topic)
        if not self.reader.is_own_node(sent_at):
            self.log_own_read(page, sent_at)
        if position is not None and page.era != position.era:
            # Records below the offset were written again since the restore.
            self.configuration_position = None
            return
        # Before the configuration, without which a new node runs no calls.
        self.holder.evacuated.apply_records(
            self.platform.configuration.list_evacuations(page),
            StorePosition(page.era, page.next_offset),
            is_complete=position is None,
        )
        if self.apply_configuration_page(page):
            await self.record_proof(page, sent_at)

    def log_own_read(self, page: TopicPage, sent_at: float) -> None:
        """Log a read of the store by a node that is not the reader."""
        self.log.write_limited(
            'configuration read without the reader',
            reader=self.reader.choose(sent_at),
            proof_age_s=self.holder.proof_age_s(sent_at),
            version=self.holder.version,
            era=page.era,
            records=len(page.records),
            next_offset=page.next_offset,
            end_offset=page.end_offset,
        )

    def apply_configuration_page(self, page: TopicPage) -> bool:
        """Apply the newest configuration of a page of the store.

        Returns whether the page reaches the end of the log. One that does not
        proves nothing; the next read then starts from the newest record.
        """
        record = self.platform.configuration.select_newest_record(page)
        if record:
            version = self.apply_configuration_record(record)
            if version is None:
                self.stored.record_unusable_record()
            else:
                self.stored.record_read(version)
        if page.next_offset < page.end_offset:
            self.configuration_position = None
            return False
        self.configuration_position = StorePosition(page.era, page.next_offset)
        return True

    async def record_proof(self, page: TopicPage, sent_at: float) -> None:
        """Record the proof of a read that reached the end of the log.

        A restored store that does not hold the version in force lacks that
        version, and maybe later ones, so it proves nothing. Neighbours may
        have a later version than this node and the store.
        """
        if not await self.exchange.compare_in_era(page.era):
            return
        if self.stored.is_in_force_stored():
            # The store held everything that was written before ``sent_at``.
            self.holder.record_proof(self.holder.version, sent_at)
            return
        self.log.write_limited(
            'store lacks the configuration in force and proves nothing',
            version=self.holder.version,
            stored_version=self.stored.version,
            era=page.era,
            proof_age_s=self.holder.proof_age_s(sent_at),
        )

    def apply_configuration_record(self, record: bytes) -> int | None:
        """Put a configuration in force if it is newer; notify subscribers.

        Returns its version. A record that cannot be decoded is logged, and
        the configuration in force stays; None is returned then.
        """
        try:
            configuration = self.platform.configuration.parse_configuration(
                record
            )
        except InvalidConfiguration as error:
            self.rejected_configurations += 1
            self.log.write_always(
                'configuration cannot be used; the one in force stays',
                detail=str(error),
                size=len(record),
                version=self.holder.version,
            )
            return None
        if self.holder.apply_if_newer(configuration):
            self.stored.record_in_force(configuration.version)
            self.log_unknown_kinds(configuration)
            self.log.write_always(
                'configuration in force',
                version=configuration.version,
                routes=len(configuration.routes),
                teams=len(configuration.teams),
            )
            message = ConfigurationUpdate(configuration.version, record)
            self.exchange.notify_subscribers(message)
        return configuration.version

    def log_unknown_kinds(self, configuration: MeshConfiguration) -> None:
        """Log once for each route that its kind is not known here."""
        unknown_kinds = set(configuration.unknown_kinds)
        for route, word in sorted(unknown_kinds - self.logged_kinds):
            self.log.write_always(
                'route has an unknown kind and is served as not idempotent',
                route=route,
                kind=word,
                version=configuration.version,
            )
        self.logged_kinds = unknown_kinds

    async def read_members(self) -> None:
        """Read members once: the complete list first, later only changes.

        The complete list is read again if the offset has expired or the store
        was restored from an older copy.
        """
        topic = StoreTopic.MEMBERS
        self.era.was_restored.clear()
        position = self.members.position
        if position.era == self.era.number:
            try:
                page = await self.wait_for_member_changes(position)
            except OffsetExpired:
                self.log_expired_offset(topic, position.offset)
            else:
                if page is not None and page.records:
                    self.apply_members_page(page, is_complete=False)
                return
        page = await self.platform.store.read_newest(topic)
        self.record_era(page, topic)
        self.apply_members_page(page, is_complete=True)

    async def wait_for_member_changes(
        self, position: StorePosition
    ) -> TopicPage | None:
        """Read the changes from a position on.

        Returns None once the store is known to have been restored: the
        position then says nothing about what it holds.
        """
        read = asyncio.ensure_future(
            self.platform.store.wait_for_changes(
                StoreTopic.MEMBERS, position.offset, MEMBERS_WAIT_S
            )
        )
        restored = asyncio.ensure_future(self.era.was_restored.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(read.cancel)
            stack.callback(restored.cancel)
            await asyncio.wait(
                (read, restored), return_when=asyncio.FIRST_COMPLETED
            )
        if not read.done():
            return None
        page = read.result()
        self.record_era(page, StoreTopic.MEMBERS)
        return page if page.era == position.era else None

    def apply_members_page(self, page: TopicPage, *, is_complete: bool) -> None:
        """Apply the records of a page of the store."""
        self.apply_members(
            StorePosition(page.era, page.next_offset),
            page.records,
            is_complete=is_complete,
        )

    def apply_members(
        self,
        position: StorePosition,
        records: tuple[tuple[str, bytes], ...],
        *,
        is_complete: bool,
    ) -> None:
        """Apply a change of the member list and notify subscribers.

        With ``is_complete``, ``records`` is the complete list. Outdated
        changes are ignored, and nobody is notified if the position stays the
        same.
        """
        before = self.members.position
        if not self.members.apply(
            position.offset,
            records,
            is_complete=is_complete,
            era=position.era,
        ):
            self.log.write_limited(
                'member list is older than the known one and is ignored',
                era=position.era,
                offset=position.offset,
                known_era=before.era,
                known_offset=before.offset,
                records=len(records),
            )
            return
        if position == before:
            return
        self.log.write_always(
            'members changed',
            era=position.era,
            offset=position.offset,
            nodes=self.members.count_serving_nodes(),
        )
        self.on_members_changed()
        self.exchange.notify_subscribers(self.exchange.create_members_message())

    def handle_message(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Handle requests for a proof, replies to them, and newer data."""
        if isinstance(message, FreshnessRequest):
            self.exchange.send_proof(
                link, message, has_lost_store=self.is_store_unreachable
            )
        elif isinstance(message, FreshnessReply):
            link.resolve_reply(message.number, message)
        elif isinstance(message, ConfigurationUpdate):
            if message.version > self.holder.version:
                self.apply_configuration_record(message.record)
        elif isinstance(message, MembersUpdate):
            self.apply_members(
                self.members.position_in_era(message.offset, message.era),
                message.records,
                is_complete=message.is_complete,
            )
