"""Measures the cost of configuration changes and snapshots.

Run ``python -m bench.configuration_costs``. Durations are measured in real
time. The figures are only printed; no check depends on them.
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
from ebonycleat.internal.version.command_parser import parse_command
from ebonycleat.internal.version.configuration_fold import (
    ConfigurationFold,
    create_fold,
)
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

WorkResult = TypeVar('WorkResult')

KEY_COUNTS: Final = (1000, 10_000, 50_000)
TEAMS: Final = 8
ROUNDS: Final = 1000
NODES_PER_ZONE: Final = 550
ZONE_CHANGES: Final = 20
# 27,000 changes per day.
SECONDS_PER_CHANGE: Final = 3.2

_CODEC: Final = create_codec(*CONFIGURATION_RECORD_TYPES)


def report(label: str, figure: float, unit: str) -> None:
    """Print a labelled figure with its unit."""
    sys.stdout.write(f'{label}: {figure:.1f} {unit}\n')


def measure_call(label: str, work: Callable[[], WorkResult]) -> WorkResult:
    """Call ``work``, print its duration in ms and return its result."""
    started = time.perf_counter()
    outcome = work()
    report(label, (time.perf_counter() - started) * 1000, 'ms')
    return outcome


def create_digest(number: int) -> str:
    """Return the hexadecimal SHA-256 digest of a number."""
    return hashlib.sha256(str(number).encode()).hexdigest()


def create_change_set(offset: int, change: Any) -> ChangeSet:
    """Create a change set like those of the operator service."""
    return ChangeSet(
        f'op-{offset:032x}',
        'operator',
        1.0,
        ((change.subject, 0),),
        (change,),
    )


def create_filled_fold(keys: int) -> ConfigurationFold:
    """Create a fold of a log that adds all teams and ``keys`` keys."""
    fold = create_fold()
    for number in range(TEAMS):
        team = PutTeam(f'team{number}', 1, 1, (('a', 1),))
        fold.apply(number + 1, create_change_set(number + 1, team))
    for offset in range(TEAMS + 1, TEAMS + 1 + keys):
        key = PutKey(create_digest(offset), f'team{offset % TEAMS}')
        fold.apply(offset, create_change_set(offset, key))
    return fold


def measure_fold(keys: int) -> None:
    """Print the cost of one more record when ``keys`` keys are in force."""
    fold = create_filled_fold(keys)
    first = fold.view.offset + 1
    payloads = [
        _CODEC.encode(
            create_change_set(offset, PutKey(create_digest(offset), 'team1'))
        )
        for offset in range(first, first + ROUNDS)
    ]
    started = time.perf_counter()
    for offset, payload in enumerate(payloads, first):
        fold.apply(offset, _CODEC.decode(payload))
    elapsed = time.perf_counter() - started
    report(f'{keys} keys, decode and fold', elapsed / ROUNDS * 1e6, 'us')
    measure_snapshot(fold)


def measure_snapshot(fold: ConfigurationFold) -> None:
    """Print the costs of the operations that process all keys."""
    snapshot = measure_call(
        '  take a snapshot', lambda: take_snapshot(fold.view)
    )
    builder = SnapshotBuilder(fold.view)
    measure_call(
        '  one portion of it', lambda: builder.add_keys(SNAPSHOT_KEYS_PER_TICK)
    )
    encoded = measure_call('  encode it', lambda: _CODEC.encode(snapshot))
    report('  its size', len(encoded) / 1000, 'kB')
    decoded = measure_call('  decode it', lambda: _CODEC.decode(encoded))
    measure_call('  restore the view', lambda: restore_view(decoded))
    last = fold.view.offset + 1
    record = create_change_set(last, WithdrawTeam('team1'))
    withdrawal = dataclasses.replace(record, expected=())
    measure_call('  withdraw a team', lambda: fold.apply(last, withdrawal))


def measure_zone() -> None:
    """Simulate changes in a zone of full size and print its traffic."""
    simulation = ConfigurationSimulation(
        *(f'node-{number}' for number in range(NODES_PER_ZONE)),
    )
    simulation.run(5)
    simulation.bytes_sent.clear()
    simulation.reads.clear()
    started = time.perf_counter()
    for offset in range(1, ZONE_CHANGES + 1):
        team = PutTeam('team', float(offset), 1, (('a', 1),))
        record = dataclasses.replace(
            create_change_set(offset, team), expected=()
        )
        simulation.append(record)
        simulation.run(SECONDS_PER_CHANGE)
    report_zone(simulation, time.perf_counter() - started)


def report_zone(simulation: ConfigurationSimulation, elapsed: float) -> None:
    """Print the traffic and the processor time since the counters were reset."""
    seconds = ZONE_CHANGES * SECONDS_PER_CHANGE
    versions = {follower.view.version for follower in simulation.nodes.values()}
    report('versions in force at the end', len(versions), '')
    busiest = max(simulation.bytes_sent.values()) / seconds
    report('busiest node sends', busiest, 'bytes/s')
    mean = sum(simulation.bytes_sent.values()) / seconds / NODES_PER_ZONE
    report('a node sends on average', mean, 'bytes/s')
    report(
        'reads of the log', sum(simulation.reads.values()) / seconds, 'per s'
    )
    load = elapsed / seconds / NODES_PER_ZONE * 1e6
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
