"""Measures what configuration changes and snapshots cost.

Run with ``python -m bench.configuration_costs``. It uses a wall timer and
prints figures only; nothing depends on them.
"""

import dataclasses
import hashlib
import random
import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final, TypeVar

from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.log_service import LogPage, LogRecord
from ebonycleat.internal.process.config_follower import (
    KEYS_PER_TICK,
    ConfigurationFollower,
    ReadConfiguration,
)
from ebonycleat.internal.process.config_relay import CONFIGURATION_MESSAGES
from ebonycleat.internal.process.effects import AppendToLog, SendToPeer
from ebonycleat.internal.version.fold import ConfigurationFold, create_fold
from ebonycleat.internal.version.language import parse_command
from ebonycleat.internal.version.records import (
    ChangeSet,
    PutKey,
    PutTeam,
    WithdrawTeam,
)
from ebonycleat.internal.version.snapshot import (
    CONFIGURATION_RECORDS,
    SnapshotBuilder,
    restore_view,
    take_snapshot,
)

Timed = TypeVar('Timed')

KEY_COUNTS: Final = (1000, 10_000, 50_000)
TEAMS: Final = 8
ROUNDS: Final = 1000
ZONE_NODES: Final = 550
ZONE_SECONDS: Final = 60
TICKS_PER_S: Final = 10
# 27,000 changes a day are one in 3.2 seconds.
TICKS_PER_CHANGE: Final = 32

_CODEC: Final = create_codec(*CONFIGURATION_RECORDS)
_PEER_CODEC: Final = create_codec(*CONFIGURATION_MESSAGES)


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
    timed('  one portion of it', lambda: builder.advance(KEYS_PER_TICK))
    encoded = timed('  encode it', lambda: _CODEC.encode(snapshot))
    report('  its size', len(encoded) / 1000, 'kB')
    decoded = timed('  decode it', lambda: _CODEC.decode(encoded))
    timed('  restore the view', lambda: restore_view(decoded))
    last = fold.view.offset + 1
    record = change_set(last, WithdrawTeam('team1'))
    withdrawal = dataclasses.replace(record, expected=())
    timed('  withdraw a team', lambda: fold.apply(last, withdrawal))


class Zone:
    """Followers of one zone; messages arrive at once."""

    def __init__(self, nodes: int) -> None:
        """Start all nodes with an empty log."""
        names = tuple(f'node-{number}' for number in range(nodes))
        self.records: list[LogRecord] = []
        self.reads: list[tuple[str, ReadConfiguration]] = []
        self.read_count = 0
        self.bytes_sent: Counter[str] = Counter()
        self.followers = {
            name: ConfigurationFollower(name, random.Random(name), 0)
            for name in names
        }
        for follower in self.followers.values():
            follower.members_changed(names)

    def step(self, now: float) -> None:
        """Let one tick pass and answer the reads of the one before."""
        reads = tuple(self.reads)
        self.reads.clear()
        for node, read in reads:
            self.read_count += 1
            effects = self.followers[node].log_answered(
                read.offset,
                self.page(read.offset),
                now,
            )
            self.carry_out(node, effects, now)
        for name, follower in self.followers.items():
            self.carry_out(name, follower.tick(now), now)

    def page(self, offset: int) -> LogPage:
        """Read to the end."""
        found = tuple(self.records[offset - 1 :])
        return LogPage(found, len(self.records) + 1, 1, at_end=True)

    def carry_out(self, node: str, effects: list[Any], now: float) -> None:
        """Deliver messages and keep reads for the next tick."""
        queue: list[tuple[str, Any]] = [(node, effect) for effect in effects]
        while queue:
            sender, effect = queue.pop()
            if isinstance(effect, SendToPeer):
                self.bytes_sent[sender] += len(
                    _PEER_CODEC.encode(effect.message),
                )
                follower = self.followers[effect.node]
                later = follower.peer_message(sender, effect.message, now)
                queue.extend((effect.node, one) for one in later)
            elif not isinstance(effect, AppendToLog):
                self.reads.append((sender, effect))


def measure_zone() -> None:
    """Print the traffic of the busiest node of a zone at full size."""
    zone = Zone(ZONE_NODES)
    for tick in range(TICKS_PER_S * 5):
        zone.step(tick / TICKS_PER_S)
    zone.bytes_sent.clear()
    zone.read_count = 0
    first = TICKS_PER_S * 5
    for tick in range(first, first + ZONE_SECONDS * TICKS_PER_S):
        if tick % TICKS_PER_CHANGE == 0:
            offset = len(zone.records) + 1
            team = PutTeam('team', float(offset), 1, (('a', 1),))
            record = dataclasses.replace(change_set(offset, team), expected=())
            zone.records.append(LogRecord(offset, _CODEC.encode(record)))
        zone.step(tick / TICKS_PER_S)
    versions = {one.view.version for one in zone.followers.values()}
    report('versions in force at the end', len(versions), '')
    busiest = max(zone.bytes_sent.values()) / ZONE_SECONDS
    report('busiest node sends', busiest, 'bytes/s')
    mean = sum(zone.bytes_sent.values()) / ZONE_SECONDS / ZONE_NODES
    report('a node sends on average', mean, 'bytes/s')
    report('reads of the log', zone.read_count / ZONE_SECONDS, 'per s')


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
