"""Passes proofs and newer data on between the nodes of a zone.

The nodes of a zone ask its reader for the age of its last proof. Newer data
comes with the answer, and immediately to nodes that asked recently.
"""

import asyncio
import contextlib
from collections.abc import Callable

from ebonycleat.internal.connection.mesh_link import LinkPool, MeshLink
from ebonycleat.internal.connection.mesh_messages import (
    AnyMeshMessage,
    ConfigurationUpdate,
    FreshnessReply,
    FreshnessRequest,
    MembersUpdate,
)
from ebonycleat.internal.connection.platform_interfaces import StorePosition
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.store_reader import StoreReaderChoice

ASK_TIMEOUT_S = 0.4
"""Time limit for the reader's answer; within a zone it takes about 1 ms."""

MAX_NEIGHBOURS_ASKED = 8
"""How many nodes of the own zone are asked for newer data. One that has run
since before the store was restored is enough."""

MEMBERS_POLL_S = 0.01
"""Interval in which a node that starts looks whether it has the members."""

SUBSCRIPTION_LIFETIME_S = 3.0
"""How long after its last request a node is sent changes immediately."""


def is_compared(reply: FreshnessReply, era: int) -> bool:
    """Tell whether a node with a proof has compared in an era of the store."""
    return reply.age_ms >= 0 and reply.compared_era == era


class ProofExchange:
    """Asks the reader of the zone for proofs, and answers such questions.

    ``subscribers`` has the time of the last question from each link, and
    ``compared_era`` is the era in which the neighbours were asked.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        reader: StoreReaderChoice,
        links: LinkPool,
        clock: Callable[[], float],
    ) -> None:
        """Exchange proofs of ``holder``; ``clock`` returns seconds."""
        self.holder = holder
        self.reader = reader
        self.members = reader.leader.members
        self.links = links
        self.clock = clock
        self.subscribers: dict[MeshLink, float] = {}
        self.compared_era: int | None = None

    async def ask_reader(self) -> bool:
        """Ask the reader of the zone for the age of its proof.

        Newer data arrives in messages of its own before the answer. Returns
        false if another node must be asked: a node that does not answer within
        ``ASK_TIMEOUT_S`` or that has lost the store is avoided for a while.
        """
        asked_at = self.clock()
        reader = self.reader.choose(asked_at)
        if reader == self.reader.node:
            return False
        reply = await self.ask(reader)
        if reply is None:
            self.reader.leader.record_no_answer(reader, self.clock())
            return False
        if reply.age_ms >= 0:
            # The reader measured the age after the request was sent, so the
            # proof is at least this recent.
            proved_at = asked_at - reply.age_ms / 1000
            self.holder.record_proof(reply.version, proved_at)
        if reply.has_lost_store:
            self.reader.record_store_lost(reader, self.clock())
        return not reply.has_lost_store

    async def compare_in_era(self, era: int) -> bool:
        """Ask neighbours for newer data, once in each era of the store.

        That is also done after the start of this node: the store may have been
        restored before. Returns false while the neighbours are not known.
        """
        if era == self.compared_era:
            return True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await self.wait_for_members()
        if not self.members.is_known:
            return False
        await self.ask_neighbours(era)
        self.compared_era = era
        return True

    async def ask_neighbours(self, era: int) -> None:
        """Ask neighbours until one with a proof has compared in this era.

        Others may be down, and would only delay the end; what they knew has
        come with its answer.
        """
        compared = asyncio.Event()
        all_asked = asyncio.gather(
            *(
                self.ask_whether_compared(address, era, compared)
                for address in self.choose_neighbours()
            )
        )
        one_compared = asyncio.ensure_future(compared.wait())
        with contextlib.ExitStack() as stack:
            stack.callback(all_asked.cancel)
            stack.callback(one_compared.cancel)
            await asyncio.wait(
                (all_asked, one_compared), return_when=asyncio.FIRST_COMPLETED
            )

    async def ask_whether_compared(
        self, address: str, era: int, compared: asyncio.Event
    ) -> None:
        """Ask a node, and set ``compared`` if it has compared in this era."""
        reply = await self.ask(address)
        if reply is not None and is_compared(reply, era):
            compared.set()

    async def wait_for_members(self) -> None:
        """Wait until the member list was read."""
        while not self.members.is_known:
            await asyncio.sleep(MEMBERS_POLL_S)

    def choose_neighbours(self) -> list[str]:
        """Return several nodes of the own zone and one of each other zone."""
        leader = self.reader.leader
        own_zone = self.members.list_addresses(leader.zone)
        neighbours = [
            address for address in own_zone if address != self.reader.node
        ]
        return [
            *neighbours[:MAX_NEIGHBOURS_ASKED],
            *leader.choose_leaders_of_other_zones(self.clock()),
        ]

    async def ask(self, address: str) -> FreshnessReply | None:
        """Ask a node for the age of its proof; None without an answer."""
        reply_future: asyncio.Future[AnyMeshMessage | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.links.request_link(
            address,
            lambda link: self.request_proof(link, reply_future),
        )
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                reply = await reply_future
        except TimeoutError:
            return None
        return reply if isinstance(reply, FreshnessReply) else None

    def request_proof(
        self,
        link: MeshLink | None,
        reply_future: asyncio.Future[AnyMeshMessage | None],
    ) -> None:
        """Ask for a proof over the link, or end the wait if it is None."""
        if reply_future.done():
            return
        if link is None:
            reply_future.set_result(None)
            return
        number = next(link.request_numbers)
        link.expect_reply(
            number,
            lambda reply: self.handle_reply(link, reply, reply_future),
        )
        position = self.members.position
        evacuated = self.holder.evacuated
        link.send(
            FreshnessRequest(
                number,
                self.holder.version,
                position.offset,
                position.era,
                evacuated.position.era,
                evacuated.position.offset,
                evacuated.encode_states(),
            )
        )

    def handle_reply(
        self,
        link: MeshLink,
        reply: AnyMeshMessage | None,
        reply_future: asyncio.Future[AnyMeshMessage | None],
    ) -> None:
        """Pass a reply on; send its node the configuration that it lacks."""
        if isinstance(reply, FreshnessReply):
            self.merge_zones(reply)
        index = self.holder.index
        if (
            isinstance(reply, FreshnessReply)
            and index is not None
            and reply.version < index.version
        ):
            link.send(
                ConfigurationUpdate(
                    index.version, index.configuration.encoded_record
                ),
            )
        if not reply_future.done():
            reply_future.set_result(reply)

    def merge_zones(self, message: FreshnessRequest | FreshnessReply) -> None:
        """Take over what another node knows of evacuated zones."""
        position = StorePosition(message.zones_era, message.zones_offset)
        self.holder.evacuated.merge(position, message.zones)

    def send_proof(
        self,
        link: MeshLink,
        request: FreshnessRequest,
        *,
        has_lost_store: bool,
    ) -> None:
        """Send a node the data it lacks, then the age of the proof.

        The proof is sent last, because it holds only for a node that has the
        version it names. Ages are rounded up to whole milliseconds; -1 means
        that there is no proof.
        """
        now = self.clock()
        self.subscribers[link] = now
        self.merge_zones(request)
        evacuated = self.holder.evacuated
        index = self.holder.index
        if index is not None and request.version < index.version:
            link.send(
                ConfigurationUpdate(
                    index.version, index.configuration.encoded_record
                ),
            )
        requested_position = self.members.position_in_era(
            request.members_offset, request.members_era
        )
        if self.members.position > requested_position:
            link.send(self.create_members_message())
        age_s = self.holder.proof_age_s(now)
        age_ms = -1 if age_s is None else int(age_s * 1000) + 1
        link.send(
            FreshnessReply(
                request.number,
                self.holder.version,
                age_ms,
                has_lost_store,
                self.compared_era,
                evacuated.position.era,
                evacuated.position.offset,
                evacuated.encode_states(),
            )
        )

    def notify_subscribers(self, message: AnyMeshMessage) -> None:
        """Send a message to the nodes that asked for a proof recently.

        Nodes that stopped asking, or whose link is closed, are removed.
        """
        now = self.clock()
        for link, asked_at in tuple(self.subscribers.items()):
            if now - asked_at > SUBSCRIPTION_LIFETIME_S or not link.send(
                message
            ):
                self.subscribers.pop(link)

    def create_members_message(self) -> MembersUpdate:
        """Create a message with the complete member list."""
        return MembersUpdate(
            self.members.position.offset,
            tuple(self.members.encoded_by_address.items()),
            is_complete=True,
            era=self.members.position.era,
        )
