"""Snapshots of the configuration view, stored as records of the log.

The log deletes old records after a time. A node that needs deleted records
restores the view from a snapshot instead, and applies the records after it.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias

from ebonycleat.internal.version.change_checks import normalize_path_prefix
from ebonycleat.internal.version.configuration_view import (
    MAX_OPERATIONS,
    MAX_WITHDRAWALS,
    ActiveKey,
    ActiveRoute,
    ActiveTeam,
    ConfigurationView,
    DecidedOperation,
)
from ebonycleat.internal.version.persistent_map import (
    BoundedMapEntry,
    PersistentMap,
    create_persistent_map,
    restore_bounded_map,
)
from ebonycleat.internal.version.records import ChangeSet

PlaceRange: TypeAlias = tuple[int, int]
CompactKey: TypeAlias = tuple[bytes, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The configuration view after the record at ``offset``.

    The class and field names are part of the stored format. A key is stored
    as the bytes of its digest, its team and the offset of its last change;
    with field names and hexadecimal digits it would take twice the space.
    ``withdrawn_places`` and ``operation_places`` are the oldest and the next
    place of the two bounded maps, so that a node that starts from the
    snapshot evicts the same entries at the same offset as all others.
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
    """Builds a snapshot in portions, so that the event loop is not blocked.

    Tens of thousands of keys take 30 ms in total. The view is immutable, so
    changes between the portions do not affect the snapshot.
    """

    def __init__(self, view: ConfigurationView) -> None:
        """Prepare a snapshot of ``view`` without any keys yet."""
        self.view = view
        self.remaining_keys = view.keys.items()
        self.compact_keys: list[CompactKey] = []

    def add_keys(self, count: int) -> Snapshot | None:
        """Add up to ``count`` keys; return the snapshot once it has all."""
        portion = itertools.islice(self.remaining_keys, count)
        self.compact_keys.extend(_compact_keys(portion))
        if len(self.compact_keys) < len(self.view.keys):
            return None
        return _create_snapshot(self.view, self.compact_keys)


def take_snapshot(view: ConfigurationView) -> Snapshot:
    """Create a snapshot of the whole view in one step."""
    return _create_snapshot(view, _compact_keys(view.keys.items()))


def restore_view(snapshot: Snapshot) -> ConfigurationView:
    """Create the view that the snapshot was taken of."""
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


def _compact_keys(
    pairs: Iterable[tuple[str, ActiveKey]],
) -> Iterator[CompactKey]:
    for digest, key in pairs:
        yield bytes.fromhex(digest), key.team, key.changed_at


def _create_snapshot(
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
    names_by_prefix: dict[str, list[str]] = {}
    for route in routes:
        names_by_prefix.setdefault(
            normalize_path_prefix(route.path_prefix), []
        ).append(route.route)
    return create_persistent_map(
        (prefix, tuple(sorted(names)))
        for prefix, names in names_by_prefix.items()
    )
