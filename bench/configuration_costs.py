"""Measures what configuration changes and snapshots cost.

Run with ``python -m bench.configuration_costs``. It uses a wall timer and
prints figures only; nothing depends on them.
"""

import dataclasses
import hashlib
import sys
import time
from collections.abc import Callable
from typing import Any, Final, TypeVar

from bench.configuration_simulation import ConfigurationSimulation
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.process.configuration_follower import (
    SNAPSHOT_KEYS_PER_TICK,
)
from ebonycleat.internal.version.configuration_fold import (
    ConfigurationFold,
    create_fold,
)
from ebonycleat.internal.version.command_parser import parse_command
from ebonycleat.internal.version.records import (
    ChangeSet,
    PutKey,
    PutTeam,
    WithdrawTeam,
)
from ebonycleat.internal.version.snapshot import (
    CONFIGURATION_RECORD_TYPES,
    SnapshotBuilder,
    restore_view,
    take_snapshot,
)

Timed = TypeVar('Timed')

KEY_COUNTS: Final = (1000, 10_000, 50_000)
TEAMS: Final = 8
ROUNDS: Final = 1000
ZONE_NODES: Final = 550
ZONE_CHANGES: Final = 20
# 27,000 changes a day.
SECONDS_PER_CHANGE: Final = 3.2

_CODEC: Final = create_codec(*CONFIGURATION_RECORD_TYPES)


def report(label: str, figure: float, unit: str) -> None:
    """Print one figure."""
    sys.stdout.write(f'{label}: {figure:.1f} {unit}\n')


def timed(label: str, work: Callable[[], Timed]) -> Timed:
    """Print the time of one call in ms and return its result."""
    started = time.perf_counter()
    outcome = work()
    report(label, (time.perf_counter() - started) * 1000, 'ms')
    return outcome


def digest_of(number: int) -> str:
    """Make a digest."""
    return hashlib.sha256(str(number).encode()).hexdigest()


def change_set(offset: int, change: Any) -> ChangeSet:
    """Make a change set as the operator service does."""
    return ChangeSet(
        f'op-{offset:032x}',
        'operator',
        1.0,
        ((change.subject, 0),),
        (change,),
    )


def fill(keys: int) -> ConfigurationFold:
    """Fold a log with this many keys."""
    fold = create_fold()
    for number in range(TEAMS):
        team = PutTeam(f'team{number}', 1, 1, (('a', 1),))
        fold.apply(number + 1, change_set(number + 1, team))
    for offset in range(TEAMS + 1, TEAMS + 1 + keys):
        key = PutKey(digest_of(offset), f'team{offset % TEAMS}')
        fold.apply(offset, change_set(offset, key))
    return fold


def measure_fold(keys: int) -> None:
    """Print the cost of one record with this many keys in force."""
    fold = fill(keys)
    first = fold.view.offset + 1
    payloads = [
        _CODEC.encode(change_set(offset, PutKey(digest_of(offset), 'team1')))
        for offset in range(first, first + ROUNDS)
    ]
    started = time.perf_counter()
    for offset, payload in enumerate(payloads, first):
        fold.apply(offset, _CODEC.decode(payload))
    elapsed = time.perf_counter() - started
    report(f'{keys} keys, decode and fold', elapsed / ROUNDS * 1e6, 'us')
    measure_snapshot(fold)


def measure_snapshot(fold: ConfigurationFold) -> None:
    """Print the costs of what touches all keys."""
    snapshot = timed('  take a snapshot', lambda: take_snapshot(fold.view))
    builder = SnapshotBuilder(fold.view)
    timed(
        '  one portion of it', lambda: builder.add_keys(SNAPSHOT_KEYS_PER_TICK)
    )
    encoded = timed('  encode it', lambda: _CODEC.encode(snapshot))
    report('  its size', len(encoded) / 1000, 'kB')
    decoded = timed('  decode it', lambda: _CODEC.decode(encoded))
    timed('  restore the view', lambda: restore_view(decoded))
    last = fold.view.offset + 1
    record = change_set(last, WithdrawTeam('team1'))
    withdrawal = dataclasses.replace(record, expected=())
    timed('  withdraw a team', lambda: fold.apply(last, withdrawal))


def measure_zone() -> None:
    """Print the traffic of the busiest node of a zone at full size."""
    world = ConfigurationSimulation(
        *(f'node-{number}' for number in range(ZONE_NODES)),
    )
    world.run(5)
    world.bytes_sent.clear()
    world.reads.clear()
    started = time.perf_counter()
    for offset in range(1, ZONE_CHANGES + 1):
        team = PutTeam('team', float(offset), 1, (('a', 1),))
        record = dataclasses.replace(change_set(offset, team), expected=())
        world.append(record)
        world.run(SECONDS_PER_CHANGE)
    report_zone(world, time.perf_counter() - started)


def report_zone(world: ConfigurationSimulation, elapsed: float) -> None:
    """Print what a zone did since its counters were cleared."""
    seconds = ZONE_CHANGES * SECONDS_PER_CHANGE
    versions = {one.view.version for one in world.nodes.values()}
    report('versions in force at the end', len(versions), '')
    busiest = max(world.bytes_sent.values()) / seconds
    report('busiest node sends', busiest, 'bytes/s')
    mean = sum(world.bytes_sent.values()) / seconds / ZONE_NODES
    report('a node sends on average', mean, 'bytes/s')
    report('reads of the log', sum(world.reads.values()) / seconds, 'per s')
    load = elapsed / seconds / ZONE_NODES * 1e6
    report('processor time of a node on average', load, 'us per s')


def main() -> None:
    """Print all figures."""
    for keys in KEY_COUNTS:
        measure_fold(keys)
    text = 'create team survey rate 5/s burst 2 zones a=1, b=2'
    started = time.perf_counter()
    for _ in range(ROUNDS):
        parse_command(text)
    elapsed = time.perf_counter() - started
    report('parse one command', elapsed / ROUNDS * 1e6, 'us')
    measure_zone()


if __name__ == '__main__':
    main()
