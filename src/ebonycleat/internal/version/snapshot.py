"""Snapshots carry the whole state of the fold past the log's retention."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias

from ebonycleat.internal.version.change_checks import normalize_path_prefix
from ebonycleat.internal.version.persistent_map import (
    PersistentMap,
    BoundedMapEntry,
    create_persistent_map,
    restore_bounded_map,
)
from ebonycleat.internal.version.records import ChangeSet
from ebonycleat.internal.version.configuration_view import (
    MAX_OPERATIONS,
    MAX_WITHDRAWALS,
    ConfigurationView,
    ActiveKey,
    DecidedOperation,
    ActiveRoute,
    ActiveTeam,
)

PlaceRange: TypeAlias = tuple[int, int]
CompactKey: TypeAlias = tuple[bytes, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of the fold after the record at ``offset``.

    Keys are written as raw digest, team and offset, which is half as long
    as with names and hexadecimal digits. The places of the bounded memories are carried, so that a node that
    starts here forgets the same entries at the same offset as all others.
    """

    offset: int
    version: int
    teams: tuple[ActiveTeam, ...]
    keys: tuple[CompactKey, ...]
    routes: tuple[ActiveRoute, ...]
    fenced: tuple[tuple[str, int], ...]
    withdrawn_places: PlaceRange
    withdrawn: tuple[BoundedMapEntry[int], ...]
    operation_places: PlaceRange
    operations: tuple[BoundedMapEntry[DecidedOperation], ...]


CONFIGURATION_RECORD_TYPES: Final = (ChangeSet, Snapshot)


class SnapshotBuilder:
    """Writes a view in portions; tens of thousands of keys take 30 ms.

    The view is frozen, so changes in the meantime do not matter.
    """

    def __init__(self, view: ConfigurationView) -> None:
        """Begin with the first keys."""
        self.view = view
        self.remaining_keys = view.keys.items()
        self.compact_keys: list[CompactKey] = []

    def add_keys(self, count: int) -> Snapshot | None:
        """Write up to ``count`` more keys; return the finished snapshot."""
        portion = itertools.islice(self.remaining_keys, count)
        self.compact_keys.extend(_write_keys(portion))
        if len(self.compact_keys) < len(self.view.keys):
            return None
        return _write_snapshot(self.view, self.compact_keys)


def take_snapshot(view: ConfigurationView) -> Snapshot:
    """Write a view as one record at once."""
    return _write_snapshot(view, _write_keys(view.keys.items()))


def restore_view(snapshot: Snapshot) -> ConfigurationView:
    """Rebuild the view that the snapshot was taken of."""
    return ConfigurationView(
        snapshot.offset,
        snapshot.version,
        create_persistent_map((team.team, team) for team in snapshot.teams),
        create_persistent_map(
            (digest.hex(), ActiveKey(digest.hex(), team, changed_at))
            for digest, team, changed_at in snapshot.keys
        ),
        create_persistent_map(
            (route.route, route) for route in snapshot.routes
        ),
        _index_routes(snapshot.routes),
        create_persistent_map(snapshot.fenced),
        restore_bounded_map(
            MAX_WITHDRAWALS,
            *snapshot.withdrawn_places,
            snapshot.withdrawn,
        ),
        restore_bounded_map(
            MAX_OPERATIONS,
            *snapshot.operation_places,
            snapshot.operations,
        ),
    )


def _write_keys(
    pairs: Iterable[tuple[str, ActiveKey]],
) -> Iterator[CompactKey]:
    for digest, key in pairs:
        yield bytes.fromhex(digest), key.team, key.changed_at


def _write_snapshot(
    view: ConfigurationView,
    keys: Iterable[CompactKey],
) -> Snapshot:
    withdrawn = view.withdrawn
    operations = view.operations
    return Snapshot(
        view.offset,
        view.version,
        tuple(team for _, team in view.teams.items()),
        tuple(keys),
        tuple(route for _, route in view.routes.items()),
        tuple(view.fenced.items()),
        (withdrawn.oldest_place, withdrawn.next_place),
        tuple(entry for _, entry in withdrawn.entry_by_key.items()),
        (operations.oldest_place, operations.next_place),
        tuple(entry for _, entry in operations.entry_by_key.items()),
    )


def _index_routes(
    routes: tuple[ActiveRoute, ...],
) -> PersistentMap[tuple[str, ...]]:
    names: dict[str, list[str]] = {}
    for route in routes:
        names.setdefault(normalize_path_prefix(route.path_prefix), []).append(
            route.route
        )
    return create_persistent_map(
        (prefix, tuple(sorted(found))) for prefix, found in names.items()
    )
