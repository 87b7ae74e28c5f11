"""Mesh nodes whose store was restored from an older copy."""

import asyncio

from ebonycleat.internal.process.mesh_members import (
    MemberRecord,
    decode_member,
    encode_member,
)
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import create_configuration, run_mesh

MEMBERS = 'keyed.ebonycleat-members'
GONE = '127.0.0.1:9'


def stored_members(environment):
    newest = dict(environment.store.topic(MEMBERS).records)
    return {
        address: decode_member(encoded)
        for address, encoded in newest.items()
        if encoded
    }


def has_target(environment, node):
    record = stored_members(environment).get(environment.nodes[node].address)
    return record is not None and record.has_target


def known_addresses(environment, node):
    return set(environment.nodes[node].fleet.members.record_by_address)


def test_nodes_write_their_lost_records_again():
    """Guards against trust in a write that the store has lost."""

    async def scenario():
        async with run_mesh(('a', 'b')) as environment:
            environment.store.restore(0)
            await environment.wait_until(
                lambda: (
                    has_target(environment, 0) and has_target(environment, 1)
                ),
            )
            await environment.wait_until(
                lambda: all(
                    environment.has_all_members(node)
                    for node in environment.nodes
                ),
            )

    run_with_timeout(scenario())


def test_a_record_is_written_again_although_an_older_one_is_stored():
    """Guards against a target in use whose departure the store has lost."""

    async def scenario():
        async with run_mesh(('a', 'b')) as environment:
            copied_at = asyncio.get_running_loop().time()
            leaving = environment.nodes[1]
            leaving.gate.target.record_leaving()
            leaving.update_own_record()
            await environment.wait_until(lambda: not has_target(environment, 1))
            environment.store.restore(copied_at)
            assert has_target(environment, 1)
            await environment.wait_until(lambda: not has_target(environment, 1))

    run_with_timeout(scenario())


def test_the_lost_record_of_a_node_that_ended_is_written_again():
    """Guards against a target that left, in use again after a restart."""

    async def scenario():
        async with run_mesh(('a', 'a')) as environment:
            copied_at = asyncio.get_running_loop().time()
            leaving = environment.nodes[1]
            leaving.gate.target.record_leaving()
            leaving.update_own_record()
            await environment.wait_until(
                lambda: (
                    len(environment.nodes[0].fleet.members.members_of('maps'))
                    == 1
                ),
            )
            for task in environment.tasks[2:]:
                task.cancel()
            environment.tasks = environment.tasks[:2]
            environment.store.restore(copied_at)
            assert has_target(environment, 1)
            await environment.wait_until(lambda: not has_target(environment, 1))

    run_with_timeout(scenario())


def test_a_member_that_was_removed_does_not_return_with_an_older_copy():
    """Guards against rate shares and calls for a node that is gone."""

    async def scenario():
        async with run_mesh() as environment:
            topic = environment.store.topic(MEMBERS)
            record = MemberRecord(GONE, 'a', 'maps', 'i-9', 1, 4, True)
            topic.append(GONE, encode_member(record))
            await environment.wait_until(
                lambda: GONE in known_addresses(environment, 0),
            )
            copied_at = asyncio.get_running_loop().time()
            topic.append(GONE, b'')
            await environment.wait_until(
                lambda: GONE not in known_addresses(environment, 0),
            )
            environment.store.restore(copied_at)
            assert GONE in stored_members(environment)
            await environment.wait_until(
                lambda: GONE not in stored_members(environment),
            )
            return known_addresses(environment, 0)

    assert GONE not in run_with_timeout(scenario())


def test_the_emulated_store_loses_what_was_written_after_the_copy():
    """Guards against a store that tests take for restored and that is not."""

    async def scenario():
        async with run_mesh() as environment:
            store = environment.store
            copied_at = asyncio.get_running_loop().time()
            store.write_configuration(create_configuration(2))
            store.write_configuration(create_configuration(3))
            ends = [len(store.topic('keyed.op').records)]
            store.restore(copied_at)
            ends.append(len(store.topic('keyed.op').records))
            return ends, store.era, environment.nodes[0]

    ends, era, node = run_with_timeout(scenario())
    assert (ends, era) == ([3, 2], 2)
    assert node.fleet.configuration.version <= 3
