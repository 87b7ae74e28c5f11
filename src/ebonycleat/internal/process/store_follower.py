"""Keeps configuration and members up to date, with few calls to the store.

One node of a zone waits at the store for changes; the others ask it every
half second how old its proof is, and get what is new. A node that gets no
proof from its leader asks the store itself, so that a dead leader or a cut
between nodes costs calls and not freshness.
"""

import asyncio
from collections.abc import Awaitable, Callable

from ebonycleat.internal.connection.errors import (
    StorageUnavailable,
    OffsetExpired,
)
from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    ConfigurationUpdate,
    MembersUpdate,
    FreshnessRequest,
    FreshnessReply,
)
from ebonycleat.internal.connection.platform_interfaces import (
    PlatformInterfaces,
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.callbacks import do_nothing
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import EventLog
from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.retry_backoff import RetryBackoff
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice

CONFIGURATION_WAIT_S = 1.0
"""How long a leader's read waits for a change. Each answer is a proof of the
time at which the read was sent, so proofs get about this old."""

MEMBERS_WAIT_S = 20.0
"""Members need no proof, only changes; long waits cost few calls."""

MEMBERS_PAUSE_S = 0.25
"""Pause after a change of members, so that many of them share one call."""

ASK_INTERVAL_S = 0.5
"""How often a node asks its leader for a proof."""

ASK_TIMEOUT_S = 0.4
"""A leader of the own zone answers in a millisecond."""

PROOF_WANTED_S = 1.9
"""A node whose proof is older asks the store itself: a leader's proof is at
most about 1.0 + 0.5 s old when all is well."""

SUBSCRIPTION_S = 3.0
"""Nodes that asked within this time are told of changes at once."""


class StoreFollower:
    """Reads the store, or learns from the leader of the zone."""

    def __init__(
        self,
        ports: PlatformInterfaces,
        holder: ConfigurationHolder,
        members: MeshMembers,
        leader: ZoneLeaderChoice,
        links: LinkPool,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        """Follow for ``holder`` and ``members``; ``clock`` in seconds."""
        self.ports = ports
        self.holder = holder
        self.members = members
        self.leader = leader
        self.links = links
        self.log = log
        self.clock = clock
        self.configuration_offset: int | None = None
        self.subscribers: dict[MeshLink, float] = {}
        self.on_members_changed: Callable[[], None] = do_nothing
        self.is_store_unreachable = False
        self.store_calls = 0

    async def follow_configuration(self) -> None:
        """Keep the configuration proved, until cancelled."""
        retry = RetryBackoff()
        while True:
            if self.needs_store():
                reached = await self.try_store(self.read_configuration)
                if reached:
                    retry.reset()
                else:
                    await self.ask_leader()
                    await retry.wait()
            else:
                await self.ask_leader()
                await asyncio.sleep(ASK_INTERVAL_S)

    def needs_store(self) -> bool:
        """Whether this node must read the store itself now."""
        now = self.clock()
        if self.configuration_offset is None or self.leader.is_own_node(now):
            return True
        age_s = self.holder.proof_age_s(now)
        return age_s is None or age_s > PROOF_WANTED_S

    async def follow_members(self) -> None:
        """Keep the members up to date, until cancelled."""
        retry = RetryBackoff()
        while True:
            reached = True
            if self.members.offset < 0 or self.leader.is_own_node(self.clock()):
                reached = await self.try_store(self.read_members)
            if reached:
                retry.reset()
                await asyncio.sleep(MEMBERS_PAUSE_S)
            else:
                await retry.wait()

    async def try_store(self, read: Callable[[], Awaitable[None]]) -> bool:
        """Make one call; false when the store could not be reached."""
        self.store_calls += 1
        try:
            await read()
        except StorageUnavailable as error:
            self.note_store(away=True, detail=str(error))
            return False
        self.note_store(away=False)
        return True

    def note_store(self, *, away: bool, detail: str = '') -> None:
        """Write a line when the store is lost or regained."""
        if away != self.is_store_unreachable:
            self.is_store_unreachable = away
            event = 'store unreachable' if away else 'store reachable again'
            self.log.write_always(
                event,
                detail=detail,
                version=self.holder.version,
                proof_age_s=self.holder.proof_age_s(self.clock()),
            )

    async def read_configuration(self) -> None:
        """Read from the store once; each answer is a proof."""
        sent_at = self.clock()
        topic = StoreTopic.CONFIGURATION
        if self.configuration_offset is None:
            page = await self.ports.store.read_newest(topic)
        else:
            try:
                page = await self.ports.store.wait_for_changes(
                    topic,
                    self.configuration_offset,
                    CONFIGURATION_WAIT_S,
                )
            except OffsetExpired:
                self.configuration_offset = None
                return
        self.take_configuration_page(page, sent_at)

    def take_configuration_page(self, page: TopicPage, sent_at: float) -> None:
        """Adopt the newest configuration of a page, and its proof."""
        record = self.ports.configuration.select_newest_record(page)
        self.configuration_offset = page.next_offset
        if record:
            self.adopt_record(record)
        # What was read is the newest as of the moment of the call.
        self.holder.record_proof(self.holder.version, sent_at)

    def adopt_record(self, record: bytes) -> None:
        """Put a record in force if it is newer, and tell subscribers."""
        configuration = self.ports.configuration.parse_configuration(record)
        if configuration is None:
            self.log.write_always(
                'configuration cannot be decoded', size=len(record)
            )
            return
        if self.holder.apply_if_newer(configuration):
            self.log.write_always(
                'configuration in force',
                version=configuration.version,
                routes=len(configuration.routes),
                teams=len(configuration.teams),
            )
            given = ConfigurationUpdate(configuration.version, record)
            self.tell_subscribers(given)

    async def read_members(self) -> None:
        """Read members from the store once."""
        topic = StoreTopic.MEMBERS
        offset = self.members.offset
        if offset < 0:
            page = await self.ports.store.read_newest(topic)
            self.take_members(
                page.next_offset,
                page.records,
                is_whole=True,
            )
            return
        try:
            page = await self.ports.store.wait_for_changes(
                topic,
                offset,
                MEMBERS_WAIT_S,
            )
        except OffsetExpired:
            page = await self.ports.store.read_newest(topic)
            self.take_members(page.next_offset, page.records, is_whole=True)
            return
        if page.records:
            self.take_members(page.next_offset, page.records, is_whole=False)

    def take_members(
        self,
        offset: int,
        records: tuple[tuple[str, bytes], ...],
        *,
        is_whole: bool,
    ) -> None:
        """Adopt members and tell subscribers."""
        before = self.members.offset
        if not self.members.apply(offset, records, is_complete=is_whole):
            return
        if offset == before:
            return
        self.log.write_always(
            'members changed',
            offset=offset,
            nodes=self.members.count_serving_nodes(),
        )
        self.on_members_changed()
        self.tell_subscribers(self.all_members())

    def all_members(self) -> MembersUpdate:
        """All members as this node knows them."""
        return MembersUpdate(
            self.members.offset,
            tuple(self.members.encoded_by_address.items()),
            is_complete=True,
        )

    def tell_subscribers(self, message: AnyMeshMessage) -> None:
        """Send news to the nodes that asked lately."""
        now = self.clock()
        for link, asked_at in tuple(self.subscribers.items()):
            if now - asked_at > SUBSCRIPTION_S or not link.send(message):
                self.subscribers.pop(link)

    async def ask_leader(self) -> None:
        """Ask the leader of the zone for its proof and its news."""
        asked_at = self.clock()
        leader = self.leader.choose_leader(asked_at)
        if leader == self.leader.node:
            return
        answered: asyncio.Future[AnyMeshMessage | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.links.request_link(
            leader,
            lambda link: self.send_ask(link, answered),
        )
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                given = await answered
        except TimeoutError:
            given = None
        if isinstance(given, FreshnessReply):
            if given.age_ms >= 0:
                # The proof was this old at some time after the question.
                proved_at = asked_at - given.age_ms / 1000
                self.holder.record_proof(given.version, proved_at)
        else:
            self.leader.record_no_answer(leader, self.clock())

    def send_ask(
        self,
        link: MeshLink | None,
        answered: asyncio.Future[AnyMeshMessage | None],
    ) -> None:
        """Send the question, or end the wait."""
        if answered.done():
            return
        if link is None:
            answered.set_result(None)
            return
        number = next(link.request_numbers)
        link.expect_reply(
            number,
            lambda given: (
                None if answered.done() else answered.set_result(given)
            ),
        )
        link.send(
            FreshnessRequest(number, self.holder.version, self.members.offset)
        )

    def handle_message(self, link: MeshLink, message: AnyMeshMessage) -> None:
        """Handle the messages of this duty."""
        if isinstance(message, FreshnessRequest):
            self.answer_ask(link, message)
        elif isinstance(message, FreshnessReply):
            link.resolve_reply(message.number, message)
        elif isinstance(message, ConfigurationUpdate):
            if message.version > self.holder.version:
                self.adopt_record(message.record)
        elif isinstance(message, MembersUpdate):
            self.take_members(
                message.offset,
                message.records,
                is_whole=message.is_complete,
            )

    def answer_ask(self, link: MeshLink, ask: FreshnessRequest) -> None:
        """Tell a node how old the proof is, after what it does not know."""
        now = self.clock()
        self.subscribers[link] = now
        index = self.holder.index
        if index is not None and ask.version < index.version:
            link.send(
                ConfigurationUpdate(
                    index.version, index.configuration.encoded_record
                ),
            )
        if self.members.offset > ask.members_offset:
            link.send(self.all_members())
        age_s = self.holder.proof_age_s(now)
        age_ms = -1 if age_s is None else int(age_s * 1000) + 1
        link.send(FreshnessReply(ask.number, self.holder.version, age_ms))
