"""Snapshots carry the whole state of the fold past the log's retention."""

import dataclasses
import itertools
from collections.abc import Iterable, Iterator
from typing import Final, TypeAlias

from ebonycleat.internal.version.change_checks import prefix_key
from ebonycleat.internal.version.persistent_map import (
    PersistentMap,
    RememberedItem,
    create_persistent_map,
    restore_bounded_memory,
)
from ebonycleat.internal.version.records import ChangeSet
from ebonycleat.internal.version.view import (
    OPERATIONS_KEPT,
    WITHDRAWN_KEPT,
    ConfigurationView,
    KeyInForce,
    Operation,
    RouteInForce,
    TeamInForce,
)

OldestAndNext: TypeAlias = tuple[int, int]
KeyTriple: TypeAlias = tuple[bytes, str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state of the fold after the record at ``offset``.

    Keys are written as raw digest, team and offset, which is half as long
    as with names and hexadecimal digits. The places of the bounded memories are carried, so that a node that
    starts here forgets the same entries at the same offset as all others.
    """

    offset: int
    version: int
    teams: tuple[TeamInForce, ...]
    keys: tuple[KeyTriple, ...]
    routes: tuple[RouteInForce, ...]
    fenced: tuple[tuple[str, int], ...]
    withdrawn_places: OldestAndNext
    withdrawn: tuple[RememberedItem[int], ...]
    operation_places: OldestAndNext
    operations: tuple[RememberedItem[Operation], ...]


CONFIGURATION_RECORDS: Final = (ChangeSet, Snapshot)


class SnapshotBuilder:
    """Writes a view in portions; tens of thousands of keys take 30 ms.

    The view is frozen, so changes in the meantime do not matter.
    """

    def __init__(self, view: ConfigurationView) -> None:
        """Begin with the first keys."""
        self.view = view
        self.rest = view.keys.pairs()
        self.keys: list[KeyTriple] = []

    def advance(self, count: int) -> Snapshot | None:
        """Write up to ``count`` more keys; return the finished snapshot."""
        portion = itertools.islice(self.rest, count)
        self.keys.extend(_write_keys(portion))
        if len(self.keys) < len(self.view.keys):
            return None
        return _write_snapshot(self.view, self.keys)


def take_snapshot(view: ConfigurationView) -> Snapshot:
    """Write a view as one record at once."""
    return _write_snapshot(view, _write_keys(view.keys.pairs()))


def restore_view(snapshot: Snapshot) -> ConfigurationView:
    """Rebuild the view that the snapshot was taken of."""
    return ConfigurationView(
        snapshot.offset,
        snapshot.version,
        create_persistent_map((team.team, team) for team in snapshot.teams),
        create_persistent_map(
            (digest.hex(), KeyInForce(digest.hex(), team, changed_at))
            for digest, team, changed_at in snapshot.keys
        ),
        create_persistent_map(
            (route.route, route) for route in snapshot.routes
        ),
        _index_routes(snapshot.routes),
        create_persistent_map(snapshot.fenced),
        restore_bounded_memory(
            WITHDRAWN_KEPT,
            *snapshot.withdrawn_places,
            snapshot.withdrawn,
        ),
        restore_bounded_memory(
            OPERATIONS_KEPT,
            *snapshot.operation_places,
            snapshot.operations,
        ),
    )


def _write_keys(
    pairs: Iterable[tuple[str, KeyInForce]],
) -> Iterator[KeyTriple]:
    for digest, key in pairs:
        yield bytes.fromhex(digest), key.team, key.changed_at


def _write_snapshot(
    view: ConfigurationView,
    keys: Iterable[KeyTriple],
) -> Snapshot:
    withdrawn = view.withdrawn
    operations = view.operations
    return Snapshot(
        view.offset,
        view.version,
        tuple(team for _, team in view.teams.pairs()),
        tuple(keys),
        tuple(route for _, route in view.routes.pairs()),
        tuple(view.fenced.pairs()),
        (withdrawn.oldest, withdrawn.next_place),
        tuple(entry for _, entry in withdrawn.by_key.pairs()),
        (operations.oldest, operations.next_place),
        tuple(entry for _, entry in operations.by_key.pairs()),
    )


def _index_routes(
    routes: tuple[RouteInForce, ...],
) -> PersistentMap[tuple[str, ...]]:
    names: dict[str, list[str]] = {}
    for route in routes:
        names.setdefault(prefix_key(route.path_prefix), []).append(route.route)
    return create_persistent_map(
        (prefix, tuple(sorted(found))) for prefix, found in names.items()
    )
