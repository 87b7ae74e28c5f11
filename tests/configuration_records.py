"""Factory functions for configuration records with test defaults."""

import hashlib

from ebonycleat import Priority
from ebonycleat.internal.connection.codec import create_codec
from ebonycleat.internal.connection.log_service import LogRecord
from ebonycleat.internal.version.records import ChangeSet, PutRoute, PutTeam
from ebonycleat.internal.version.snapshot import CONFIGURATION_RECORD_TYPES

codec = create_codec(*CONFIGURATION_RECORD_TYPES)
ZONE_WEIGHTS = (('a', 1.0), ('b', 3.0))


def sha256_hex(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def create_put_team(
    name='survey', rate=100.0, burst=20.0, weights=ZONE_WEIGHTS
):
    return PutTeam(name, rate, burst, weights)


def create_put_route(name='map', path='/map', methods=('GET',), **options):
    fields = {
        'priority': Priority.CRITICAL,
        'idempotent': True,
        'retry_limit': 2,
        'timeout_ms': 2000,
        'open_to_all': False,
        **options,
    }
    return PutRoute(
        route=name,
        service='map',
        methods=methods,
        path_prefix=path,
        **fields,
    )


def create_change_set(operation_id, *changes, expected=()):
    return ChangeSet(operation_id, 'kim', 1.0, tuple(expected), changes)


def create_log_records(*payloads):
    """Wrap payloads as records of a new log, with offsets from 1."""
    return tuple(
        LogRecord(
            offset,
            payload if isinstance(payload, bytes) else codec.encode(payload),
        )
        for offset, payload in enumerate(payloads, 1)
    )
