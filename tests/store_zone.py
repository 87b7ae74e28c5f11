"""Followers of the store in one zone, and a store that tests control."""

import asyncio
import contextlib
import itertools

import msgspec

from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
)
from ebonycleat.internal.connection.mesh_messages import FreshnessReply
from ebonycleat.internal.connection.platform_interfaces import (
    PlatformInterfaces,
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import create_event_log
from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    MeshMembers,
    encode_member,
)
from ebonycleat.internal.process.store_follower import StoreFollower
from ebonycleat.internal.process.zone_leader import ZoneLeaderChoice
from ebonycleat.platform.configuration_format import PlatformConfigurationFormat
from tests.platform_examples import CONFIGURATION, encode_json

NODES = ('n1:1', 'n2:1', 'n3:1')
LEADER = NODES[0]
STORE_DELAY_S = 0.004
READ_TIMEOUT_S = 1.5
PROPAGATION_S = 2
FIRST_VERSION = 12
STARTING_S = 5
MINUTE_S = 60


def encode_record(node, **changes):
    record = MemberRecord(node, 'a', 's', 'i1', 1, 4, True)
    return encode_member(msgspec.structs.replace(record, **changes))


def encode_version(version):
    return encode_json(CONFIGURATION | {'version': f'{version:08x}'})


class SharedStore:
    """Holds the versions of a configuration and the log of the members.

    ``page_records`` is how many records one answer holds at most. The newest
    ``unusable_records`` versions are in a format that no node can decode.
    """

    def __init__(self):
        self.is_down = False
        self.era = 1
        self.page_records = 1000
        self.unusable_records = 0
        self.versions = [FIRST_VERSION]
        self.written_at = [0]
        self.evacuations = {}
        self.written = asyncio.Event()
        self.member_log = [(node, encode_record(node)) for node in NODES]
        self.joined = asyncio.Event()

    def restore(self, versions=1000, members=1000):
        """Go back to so many records of each log; the era rises."""
        self.era += 1
        del self.versions[versions:]
        del self.written_at[versions:]
        for offset in range(versions, 1000):
            self.evacuations.pop(offset, None)
        del self.member_log[members:]

    def add_member(self, node):
        self.append_member(node, encode_record(node))

    def append_member(self, node, record):
        self.member_log.append((node, record))
        self.joined.set()
        self.joined = asyncio.Event()

    def newest_members(self):
        newest = dict(self.member_log)
        return {node: record for node, record in newest.items() if record}

    def write_version(self, version=None):
        self.versions.append(version or self.versions[-1] + 1)
        self.written_at.append(asyncio.get_running_loop().time())
        self.written.set()
        self.written = asyncio.Event()

    def write_evacuation(self, record):
        """Write the record of zone a; it takes the offset of a version."""
        self.evacuations[len(self.versions)] = 'evacuate/a', record
        self.write_version(self.versions[-1])

    def records_from(self, offset):
        usable = len(self.versions) - self.unusable_records
        return tuple(
            self.evacuations.get(
                number,
                (
                    'config',
                    encode_version(version) if number < usable else b'?',
                ),
            )
            for number, version in enumerate(self.versions)
            if number >= offset
        )

    async def answer(self, page):
        await asyncio.sleep(STORE_DELAY_S)
        if self.is_down:
            raise StorageUnavailable('down')
        if page.next_offset > page.end_offset:
            raise OffsetExpired(0)
        return page

    async def read_newest(self, topic):
        offset = len(self.versions)
        newest = dict(self.records_from(0))
        records = tuple(pair for pair in newest.items() if pair[1])
        if topic is StoreTopic.MEMBERS:
            offset = len(self.member_log)
            records = tuple(self.newest_members().items())
        return await self.answer(TopicPage(records, offset, offset, self.era))

    async def wait_for_changes(self, topic, offset, wait_s):
        if topic is StoreTopic.CONFIGURATION:
            if offset == len(self.versions):
                await self.wait(self.written, wait_s)
            records = self.records_from(offset)[: self.page_records]
            end_offset = len(self.versions)
        else:
            if offset == len(self.member_log):
                await self.wait(self.joined, wait_s)
            records = tuple(self.member_log[offset:])
            end_offset = len(self.member_log)
        next_offset = offset + len(records)
        return await self.answer(
            TopicPage(records, next_offset, end_offset, self.era)
        )

    async def write(self, topic, key, record):
        if not self.is_down:
            self.append_member(key, record)
        end = len(self.member_log)
        await self.answer(TopicPage((), end - 1, end, self.era))

    async def wait(self, event, wait_s):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(event.wait(), wait_s)


class StoreAccess:
    """The store as one node reaches it, until the node is cut off.

    Answers that are on their way when the cut begins are lost too.
    """

    def __init__(self, store):
        self.store = store
        self.is_cut_off = False

    async def read_newest(self, topic):
        return await self.pass_on(self.store.read_newest(topic), 0)

    async def wait_for_changes(self, topic, offset, wait_s):
        return await self.pass_on(
            self.store.wait_for_changes(topic, offset, wait_s), wait_s
        )

    async def write(self, topic, key, record):
        return await self.pass_on(self.store.write(topic, key, record), 0)

    async def pass_on(self, read, wait_s):
        clock = asyncio.get_running_loop().time
        times_out_at = clock() + wait_s + READ_TIMEOUT_S
        page = await read
        if self.is_cut_off:
            await asyncio.sleep(times_out_at - clock())
            raise StorageUnavailable('no answer')
        return page


class DirectLink:
    """Delivers the messages of one follower to another."""

    def __init__(self, zone, receiver, sender):
        self.zone = zone
        self.receiver = receiver
        self.sender = sender
        self.request_numbers = itertools.count(1)
        self.reply_handlers = {}

    def send(self, message):
        asyncio.get_running_loop().call_later(
            0.001, self.zone.deliver, self, message
        )
        return True

    def expect_reply(self, number, on_reply):
        self.reply_handlers[number] = on_reply

    def resolve_reply(self, number, message):
        self.reply_handlers.pop(number)(message)


class Zone:
    """Followers of one zone with direct links between them.

    Whoever opens a link to one of the ``dark_nodes`` gets no answer.
    """

    def __init__(self):
        self.store = SharedStore()
        self.accesses = {node: StoreAccess(self.store) for node in NODES}
        self.links = {
            pair: DirectLink(self, pair[1], pair[0])
            for pair in itertools.permutations(NODES, 2)
        }
        self.followers = {node: self.create_follower(node) for node in NODES}
        self.tasks = {}
        self.dark_nodes = set()

    def create_follower(self, node):
        clock = asyncio.get_running_loop().time
        members = MeshMembers()
        links = NodeLinks(self, node)
        platform = PlatformInterfaces(
            self.accesses[node],
            None,
            None,
            None,
            PlatformConfigurationFormat(),
        )
        return StoreFollower(
            platform,
            ConfigurationHolder(5),
            ZoneLeaderChoice(node, 'a', members, links),
            links,
            create_event_log(clock),
            clock,
            PROPAGATION_S,
        )

    def cut_off_leader(self):
        self.accesses[LEADER].is_cut_off = True

    def oldest_missing_change_s(self, now):
        """Return how long ago the oldest change was that a node lacks."""
        versions = [self.followers[node].holder.version for node in NODES[1:]]
        first_missing = min(versions) - FIRST_VERSION + 1
        missing = self.store.written_at[first_missing:]
        return now - missing[0] if missing else 0

    def deliver(self, link, message):
        back = self.links[link.receiver, link.sender]
        if isinstance(message, FreshnessReply):
            back.resolve_reply(message.number, message)
        else:
            self.followers[link.receiver].handle_message(back, message)

    async def run(self, seconds, *, keeps_running=False):
        for node in self.followers:
            self.start(node)
        oldest_proof_s = 0
        for _ in range(int(seconds / 0.05)):
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            ages = [
                follower.holder.proof_age_s(now) or 0
                for follower in self.followers.values()
            ]
            oldest_proof_s = max(oldest_proof_s, *ages)
        if not keeps_running:
            for node in self.followers:
                self.stop(node)
        return oldest_proof_s

    def start(self, node):
        follower = self.followers[node]
        coroutines = (
            follower.follow_members(),
            follower.follow_configuration(),
        )
        self.tasks[node] = [
            asyncio.ensure_future(coroutine) for coroutine in coroutines
        ]

    def stop(self, node):
        for task in self.tasks.pop(node):
            task.cancel()

    def restart(self, node):
        """Replace a node by one that knows nothing yet."""
        self.stop(node)
        self.followers[node] = self.create_follower(node)
        self.start(node)

    def nodes_that_trust_keys(self):
        now = asyncio.get_running_loop().time()
        return [
            node
            for node in NODES
            if self.followers[node].holder.may_trust_keys(now)
        ]

    def nodes_that_know(self, address):
        return [
            node
            for node in NODES
            if address in self.followers[node].members.record_by_address
        ]

    def versions_in_force(self):
        return [self.followers[node].holder.version for node in NODES]


class NodeLinks:
    """The links of one node."""

    def __init__(self, zone, node):
        self.zone = zone
        self.node = node

    def request_link(self, address, on_link):
        if address in self.zone.dark_nodes:
            return
        is_running = address in self.zone.tasks
        on_link(self.zone.links[self.node, address] if is_running else None)
