"""A zone whose store comes back older while nodes restart and lose it."""

import asyncio
import random

import pytest

from ebonycleat.internal.process.mesh_members import MeshMembers
from ebonycleat.internal.process.proof_exchange import ProofExchange
from ebonycleat.internal.process.stored_version import StoredVersion
from tests.store_zone import (
    FIRST_VERSION,
    NODES,
    PROPAGATION_S,
    STARTING_S,
    Zone,
)
from tests.virtual_time import run_in_virtual_time

KEY_TRUST_S = 5
SAMPLE_S = 0.02
SCHEDULE_S = 60
CALM_S = PROPAGATION_S * 2 + 2
MAX_LOST_VERSIONS = 4
MAX_REWRITE_DELAY_S = 12
KNOWN_AFTER_S = 0.2
SEED_COUNT = 8


class Schedule:
    """Random writes and faults, and what the nodes say meanwhile.

    ``confirmed_at`` has the time at which the store confirmed each version,
    lost ones too. One node at a time restarts, so the others remember.
    """

    def __init__(self, zone, seed):
        self.zone = zone
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.confirmed_at = {FIRST_VERSION: self.clock()}
        self.violations = []
        self.highest = {}

    def write_version(self):
        version = max(self.confirmed_at) + self.rng.randint(1, 3)
        self.zone.store.write_version(version)
        self.confirmed_at[version] = self.clock()

    async def restore(self):
        """Take the store away and bring it back older.

        The operator writes the newest version again, some time later. A
        version that no node has read is lost only together with one that all
        have, because nothing could tell of it otherwise.
        """
        store = self.zone.store
        lost = self.rng.randint(
            0, min(MAX_LOST_VERSIONS, len(store.versions) - 1)
        )
        if lost and self.rng.random() < 0.5:
            self.write_version()
            lost += 1
        store.is_down = True
        await asyncio.sleep(self.rng.uniform(0.1, 2))
        store.restore(
            versions=len(store.versions) - lost,
            members=self.rng.randint(len(NODES), len(store.member_log)),
        )
        store.is_down = False
        if not lost:
            return
        if self.rng.random() < 0.5:
            self.restart(self.rng.choice(NODES))
        await asyncio.sleep(self.rng.uniform(0, MAX_REWRITE_DELAY_S))
        store.write_version(max(self.confirmed_at))

    async def cut_off(self, node):
        self.zone.accesses[node].is_cut_off = True
        await asyncio.sleep(self.rng.uniform(0.1, 8))
        self.zone.accesses[node].is_cut_off = False

    def restart(self, node):
        self.zone.restart(node)
        self.highest.pop(node, None)

    async def act(self):
        """Do one thing, and wait some time."""
        node = self.rng.choice(NODES)
        kind = self.rng.choice([
            'write',
            'write',
            'join',
            'restore',
            'cut',
            'restart',
        ])
        if kind == 'write':
            self.write_version()
            await asyncio.sleep(KNOWN_AFTER_S)
        elif kind == 'join':
            self.zone.store.add_member(f'm{self.rng.randrange(99)}:1')
        elif kind == 'restore':
            await self.restore()
        elif kind == 'cut':
            await self.cut_off(node)
        else:
            self.restart(node)
        await asyncio.sleep(self.rng.expovariate(1))

    def check(self):
        """Note each node that goes back, or trusts keys of an old version."""
        now = self.clock()
        due = max(
            version
            for version, confirmed_at in self.confirmed_at.items()
            if confirmed_at <= now - KEY_TRUST_S or version == FIRST_VERSION
        )
        trusting = self.zone.nodes_that_trust_keys()
        for node in NODES:
            version = self.zone.followers[node].holder.version
            if version < self.highest.get(node, version):
                self.violations.append(f'{now}: {node} went back to {version}')
            self.highest[node] = version
            if node in trusting and version < due:
                self.violations.append(
                    f'{now}: {node} trusts keys of {version}, not of {due}'
                )

    async def watch(self):
        while True:
            self.check()
            await asyncio.sleep(SAMPLE_S)

    async def play(self):
        ends_at = self.clock() + SCHEDULE_S
        watching = asyncio.ensure_future(self.watch())
        while self.clock() < ends_at:
            await self.act()
        await asyncio.sleep(CALM_S)
        self.write_version()
        self.zone.store.add_member('last:1')
        await asyncio.sleep(PROPAGATION_S)
        watching.cancel()

    def knows_all(self, node):
        follower = self.zone.followers[node]
        return (
            follower.holder.version == max(self.confirmed_at)
            and 'last:1' in follower.members.record_by_address
            and node in self.zone.nodes_that_trust_keys()
        )


def play_schedule(seed):
    async def scenario():
        zone = Zone()
        schedule = Schedule(zone, seed)
        await zone.run(STARTING_S, keeps_running=True)
        await schedule.play()
        knowing = [node for node in NODES if schedule.knows_all(node)]
        for node in NODES:
            zone.stop(node)
        return schedule.violations, knowing

    return run_in_virtual_time(scenario())


@pytest.mark.parametrize('seed', range(SEED_COUNT))
def test_no_schedule_of_restores_brings_an_older_version_back(seed):
    """Guards against what an older copy of the store says at a bad moment."""
    assert play_schedule(seed) == ([], list(NODES))


def finds_violation():
    return any(
        play_schedule(seed) != ([], list(NODES)) for seed in range(SEED_COUNT)
    )


def test_the_checker_detects_proofs_of_a_store_that_lacks_a_version(
    monkeypatch,
):
    """Guards against schedules that could not show trusted old keys."""
    monkeypatch.setattr(
        StoredVersion, 'is_in_force_stored', lambda stored: True
    )
    assert finds_violation()


def test_the_checker_detects_a_node_that_asks_no_neighbours(monkeypatch):
    """Guards against schedules that could not show a wrong first proof."""

    async def trust_the_store(exchange, era):
        return True

    monkeypatch.setattr(ProofExchange, 'compare_in_era', trust_the_store)
    assert finds_violation()


def test_the_checker_detects_member_lists_without_an_era(monkeypatch):
    """Guards against schedules that could not show a list that stands still."""
    apply_in_era = MeshMembers.apply

    def apply_by_offset(members, *page, era=0, **options):
        return apply_in_era(members, *page, **options)

    monkeypatch.setattr(MeshMembers, 'apply', apply_by_offset)
    assert finds_violation()
