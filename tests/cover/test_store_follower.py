"""How often nodes of a zone read the platform's store."""

import asyncio
import itertools

from ebonycleat.internal.connection.errors import StorageUnavailable
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
from tests.virtual_time import run_in_virtual_time

NODES = ('n1:1', 'n2:1', 'n3:1')
LEADER = NODES[0]
STORE_DELAY_S = 0.004
STARTING_S = 5
MINUTE_S = 60


class SharedStore:
    """Holds one configuration; counts the reads of each node."""

    def __init__(self):
        self.is_down = False

    async def answer(self, wait_s, page):
        await asyncio.sleep(wait_s + STORE_DELAY_S)
        if self.is_down:
            raise StorageUnavailable('down')
        return page

    async def read_newest(self, topic):
        records = (('config', encode_json(CONFIGURATION)),)
        if topic is StoreTopic.MEMBERS:
            records = tuple(
                (
                    node,
                    encode_member(
                        MemberRecord(node, 'a', 's', '', 0, 1, False)
                    ),
                )
                for node in NODES
            )
        return await self.answer(0, TopicPage(records, 1))

    async def wait_for_changes(self, topic, offset, wait_s):
        return await self.answer(wait_s, TopicPage((), offset))


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
    """Followers of one zone with direct links between them."""

    def __init__(self):
        self.store = SharedStore()
        self.links = {
            pair: DirectLink(self, pair[1], pair[0])
            for pair in itertools.permutations(NODES, 2)
        }
        self.followers = {node: self.create_follower(node) for node in NODES}

    def create_follower(self, node):
        clock = asyncio.get_running_loop().time
        members = MeshMembers()
        links = NodeLinks(self, node)
        platform = PlatformInterfaces(
            self.store, None, None, None, PlatformConfigurationFormat()
        )
        return StoreFollower(
            platform,
            ConfigurationHolder(5),
            members,
            ZoneLeaderChoice(node, 'a', members, links),
            links,
            create_event_log(clock),
            clock,
        )

    def deliver(self, link, message):
        back = self.links[link.receiver, link.sender]
        if isinstance(message, FreshnessReply):
            back.resolve_reply(message.number, message)
        else:
            self.followers[link.receiver].handle_message(back, message)

    async def run(self, seconds):
        tasks = [
            asyncio.ensure_future(coroutine)
            for follower in self.followers.values()
            for coroutine in (
                follower.follow_members(),
                follower.follow_configuration(),
            )
        ]
        oldest_proof_s = 0
        for _ in range(int(seconds / 0.05)):
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            ages = [
                follower.holder.proof_age_s(now) or 0
                for follower in self.followers.values()
            ]
            oldest_proof_s = max(oldest_proof_s, *ages)
        for task in tasks:
            task.cancel()
        return oldest_proof_s


class NodeLinks:
    """The links of one node."""

    def __init__(self, zone, node):
        self.zone = zone
        self.node = node

    def request_link(self, address, on_link):
        on_link(self.zone.links[self.node, address])


def test_only_the_leader_of_a_zone_goes_on_reading_the_store():
    """Guards against store calls that grow with the number of nodes.

    The nodes that are not the leader read configuration and members only when
    they start, however old the leader's proof becomes before it is renewed.
    """

    async def scenario():
        zone = Zone()
        await zone.run(STARTING_S)
        for follower in zone.followers.values():
            follower.store_calls = 0
        oldest_proof_s = await zone.run(MINUTE_S)
        calls = {
            node: follower.store_calls
            for node, follower in zone.followers.items()
        }
        return calls, oldest_proof_s

    calls, oldest_proof_s = run_in_virtual_time(scenario())
    assert [calls[node] for node in NODES[1:]] == [0, 0]
    assert calls[LEADER] <= MINUTE_S
    assert oldest_proof_s < 5 * 0.95


def test_a_store_that_fails_leaves_no_node_with_a_fresh_proof():
    """Guards against a leader whose proof is passed on as if it were new."""

    async def scenario():
        zone = Zone()
        await zone.run(10)
        zone.store.is_down = True
        await zone.run(10)
        now = asyncio.get_running_loop().time()
        return [
            follower.holder.may_trust_keys(now)
            for follower in zone.followers.values()
        ]

    assert run_in_virtual_time(scenario()) == [False, False, False]
