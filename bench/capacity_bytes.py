"""Encoded size of each peer message and log record."""

import functools
from collections.abc import Callable

from bench import capacity_messages as messages
from bench import capacity_samples as samples
from bench.capacity_fit import CostBenchmark
from bench.capacity_states import make_heartbeat
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.grant_messages import (
    GRANT_MESSAGES,
)
from ebonycleat.internal.connection.lease_messages import (
    LEASE_MESSAGES,
)
from ebonycleat.internal.connection.log_service import LogRecord
from ebonycleat.internal.connection.peer_messages import (
    CALL_MESSAGES,
    LINK_MESSAGES,
    PeerAnswer,
    PeerCall,
    Ping,
)
from ebonycleat.internal.process.configuration_relay import (
    CONFIGURATION_MESSAGES,
    ConfigurationPage,
)
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    HubDigest,
)
from ebonycleat.internal.process.metrics import EncodedHistogram
from ebonycleat.internal.process.ownership import Claim, Release
from ebonycleat.internal.process.started_log import StartedGroup
from ebonycleat.internal.version.configuration_view import (
    ActiveRoute,
    ActiveTeam,
)
from ebonycleat.internal.version.records import ChangeSet
from ebonycleat.internal.version.snapshot import Snapshot

CODEC = create_codec(
    *LINK_MESSAGES,
    *CALL_MESSAGES,
    *GRANT_MESSAGES,
    *LEASE_MESSAGES,
    *CONFIGURATION_MESSAGES,
    Announcement,
    ChangeSet,
    Claim,
    EncodedHistogram,
    HubDigest,
    Release,
    Snapshot,
    StartedGroup,
)
UNIT = 'bytes'
SMALL_SIZES = (1, 8, 64)
LARGE_SIZES = (100, 1000, 4000)
BODY_SIZES = (0, 4096, 65536)
HASH_BYTES = 16


def create_bytes_benchmarks() -> list[CostBenchmark]:
    """Create one benchmark per message and record of the protocol."""
    return [
        _create_benchmark('PeerCall', 'body byte', _peer_call, BODY_SIZES),
        _create_benchmark('PeerAnswer', 'body byte', _peer_answer, BODY_SIZES),
        _create_benchmark('Ping', 'doubling of its number', _ping),
        _create_benchmark('Heartbeat', 'slot', make_heartbeat),
        _create_benchmark(
            'HeartbeatAck',
            'refused slot',
            messages.make_heartbeat_ack,
            (0, 1, 8),
        ),
        _create_benchmark('SupportAsk', 'slot', messages.make_support_ask),
        _create_benchmark(
            'GrantAsk', 'report', messages.make_grant_ask, (0, 1, 8)
        ),
        _create_benchmark(
            'GrantGiven', 'doubling of its tokens', messages.make_grant_given
        ),
        _create_benchmark('ConfigurationPage', 'record', _configuration_page),
        _create_benchmark(
            'HubDigest of beats', 'beat', messages.make_heartbeat_digest
        ),
        _create_benchmark(
            'HubDigest of summaries', 'summary', messages.make_summary_digest
        ),
        _create_benchmark('record Announcement', 'node', _announcement),
        _create_benchmark('record Claim', 'doubling of its number', _claim),
        _create_benchmark('record Release', 'doubling of its epoch', _release),
        _create_benchmark('record StartedGroup', 'id', _started_group),
        _create_benchmark('record ChangeSet', 'node', _change_set),
        _create_benchmark(
            'snapshot keys', 'key', _snapshot_of_keys, LARGE_SIZES
        ),
        _create_benchmark(
            'snapshot teams', 'team', _snapshot_of_teams, LARGE_SIZES
        ),
        _create_benchmark(
            'snapshot routes', 'route', _snapshot_of_routes, LARGE_SIZES
        ),
    ]


def _create_benchmark(
    name: str,
    per: str,
    make: Callable[[int], object],
    sizes: tuple[int, ...] = SMALL_SIZES,
) -> CostBenchmark:
    measure = functools.partial(encoded_bytes, make)
    return CostBenchmark(f'bytes: {name}', UNIT, per, sizes, measure)


def encoded_bytes(make: Callable[[int], object], size: int) -> float:
    """Encoded length of the message that ``make`` builds for a size."""
    return len(CODEC.encode(make(size)))


def _peer_call(size: int) -> PeerCall:
    return PeerCall(samples.make_call(1, size), 1.25)


def _peer_answer(size: int) -> PeerAnswer:
    return PeerAnswer(samples.make_answer(1, size), samples.LOAD)


def _ping(size: int) -> Ping:
    return Ping(size)


def _configuration_page(size: int) -> ConfigurationPage:
    records = tuple(
        LogRecord(
            100_000 + number,
            CODEC.encode(samples.make_change_set(number)),
        )
        for number in range(size)
    )
    return ConfigurationPage(1, 4, 100_000, 100_000 + size, 90_000, records)


def _announcement(size: int) -> Announcement:
    return samples.make_announcement(size)


def _claim(size: int) -> Claim:
    return samples.make_claim(size)


def _release(size: int) -> Release:
    return Release(samples.make_slot(size), size, samples.node_name(size))


def _started_group(size: int) -> StartedGroup:
    return StartedGroup(
        f'{samples.node_name(1)}/1780000000000/1000',
        samples.node_name(1),
        1_780_000_000_000,
        'service-0001',
        bytes(HASH_BYTES * size),
    )


def _change_set(size: int) -> ChangeSet:
    return samples.make_change_set(size)


def _snapshot_of_keys(size: int) -> Snapshot:
    keys = map(samples.make_key, range(size))
    return make_snapshot(
        keys=tuple(
            (bytes.fromhex(key.digest), key.team, key.changed_at)
            for key in keys
        ),
    )


def _snapshot_of_teams(size: int) -> Snapshot:
    return make_snapshot(teams=tuple(map(samples.make_team, range(size))))


def _snapshot_of_routes(size: int) -> Snapshot:
    return make_snapshot(routes=tuple(map(samples.make_route, range(size))))


def make_snapshot(
    teams: tuple[ActiveTeam, ...] = (),
    keys: tuple[tuple[bytes, str, int], ...] = (),
    routes: tuple[ActiveRoute, ...] = (),
) -> Snapshot:
    """Build a snapshot that contains only the given entries."""
    return Snapshot(100, 100, teams, keys, routes, (), (0, 0), (), (0, 0), ())
