"""Immutable maps that can be updated without copying all their items.

Every accepted change creates a new configuration view, while earlier views
may still be in use. Copying a dict of tens of thousands of keys for each
change would take milliseconds; here an update copies only one bucket per
changed key, and the maps share all other buckets.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

import xxhash

BUCKET_COUNT = 1024

Item = TypeVar('Item')
Buckets = tuple[dict[str, Item], ...]


def _bucket_index(key: str) -> int:
    encoded = key.encode('utf-8', 'surrogatepass')
    return xxhash.xxh64_intdigest(encoded) % BUCKET_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class PersistentMap(Generic[Item]):
    """An immutable map with string keys; updates return a new map.

    Keys are assigned to buckets by xxhash instead of ``hash``, which differs
    between processes, so that maps with the same items have equal buckets
    everywhere. A bucket is never modified once it belongs to a map.
    """

    buckets: Buckets[Item] = dataclasses.field(
        default_factory=lambda: ({},) * BUCKET_COUNT,
    )
    size: int = 0

    def __len__(self) -> int:
        """Return the number of items."""
        return self.size

    def __contains__(self, key: str) -> bool:
        """Return whether the map has the key."""
        return key in self.buckets[_bucket_index(key)]

    def get(self, key: str) -> Item | None:
        """Return the item of the key, or None if the key is absent."""
        return self.buckets[_bucket_index(key)].get(key)

    def put(self, key: str, item: Item) -> 'PersistentMap[Item]':
        """Return a map in which the key has this item."""
        return self.update(((key, item),), ())

    def remove(self, key: str) -> 'PersistentMap[Item]':
        """Return a map without the key, which may be absent."""
        return self.update((), (key,))

    def update(
        self,
        added: Iterable[tuple[str, Item]],
        removed: Iterable[str],
    ) -> 'PersistentMap[Item]':
        """Return a map after all removals and then all additions.

        Each bucket that they touch is copied once.
        """
        buckets = list(self.buckets)
        size = self.size
        copied: set[int] = set()
        for removed_key in removed:
            bucket = _copy_bucket_once(buckets, copied, removed_key)
            size -= removed_key in bucket
            bucket.pop(removed_key, None)
        for key, item in added:
            bucket = _copy_bucket_once(buckets, copied, key)
            size += key not in bucket
            bucket[key] = item
        return PersistentMap(tuple(buckets), size)

    def items(self) -> Iterator[tuple[str, Item]]:
        """Yield keys and items in an unspecified order."""
        for bucket in self.buckets:
            yield from bucket.items()


def _copy_bucket_once(
    buckets: list[dict[str, Item]],
    copied: set[int],
    key: str,
) -> dict[str, Item]:
    # An update copies a bucket before it first modifies it; ``copied`` holds
    # the indexes of those that it has copied.
    index = _bucket_index(key)
    if index not in copied:
        copied.add(index)
        buckets[index] = dict(buckets[index])
    return buckets[index]


def create_persistent_map(
    pairs: Iterable[tuple[str, Item]],
) -> PersistentMap[Item]:
    """Create a map from pairs, faster than with one ``put`` for each."""
    buckets: list[dict[str, Item]] = [{} for _ in range(BUCKET_COUNT)]
    for key, item in pairs:
        buckets[_bucket_index(key)][key] = item
    return PersistentMap(tuple(buckets), sum(map(len, buckets)))


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedMapEntry(Generic[Item]):
    """An item of a ``BoundedMap`` with its place in the insertion order.

    Snapshots contain these entries, so the field names are part of the stored
    format: ``place`` is the sequence number of the insertion, and ``kept`` is
    the item itself.
    """

    key: str
    place: int
    kept: Item


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedMap(Generic[Item]):
    """An immutable map that evicts its oldest entries.

    It keeps the entries with the ``limit`` newest places; a place is the
    sequence number of an insertion, and removals leave their places empty.
    ``oldest_place`` and ``next_place`` are part of the state, because nodes
    that start from a snapshot must evict the same entries at the same offset
    as all other nodes.
    """

    limit: int
    oldest_place: int = 0
    next_place: int = 0
    entry_by_key: PersistentMap[BoundedMapEntry[Item]] = dataclasses.field(
        default_factory=PersistentMap,
    )
    key_by_place: PersistentMap[str] = dataclasses.field(
        default_factory=PersistentMap,
    )

    def get(self, key: str) -> Item | None:
        """Return the item of the key, or None if it is absent or evicted."""
        found = self.entry_by_key.get(key)
        return None if found is None else found.kept

    def put(self, key: str, item: Item) -> 'BoundedMap[Item]':
        """Return a map with the item as its newest entry."""
        return self.put_all({key: item})

    def put_all(self, item_by_key: Mapping[str, Item]) -> 'BoundedMap[Item]':
        """Return a map with the items as its newest entries, in this order."""
        without_keys = self.remove_all(item_by_key)
        added = [
            BoundedMapEntry(key, place, item)
            for place, (key, item) in enumerate(
                item_by_key.items(),
                self.next_place,
            )
        ]
        return dataclasses.replace(
            without_keys,
            next_place=self.next_place + len(added),
            entry_by_key=without_keys.entry_by_key.update(
                ((entry.key, entry) for entry in added),
                (),
            ),
            key_by_place=without_keys.key_by_place.update(
                ((str(entry.place), entry.key) for entry in added),
                (),
            ),
        ).evict_beyond_limit()

    def remove_all(self, keys: Iterable[str]) -> 'BoundedMap[Item]':
        """Return a map without the keys, which may be absent."""
        known = [
            entry
            for entry in map(self.entry_by_key.get, keys)
            if entry is not None
        ]
        if not known:
            return self
        return dataclasses.replace(
            self,
            entry_by_key=self.entry_by_key.update(
                (), (entry.key for entry in known)
            ),
            key_by_place=self.key_by_place.update(
                (),
                (str(entry.place) for entry in known),
            ),
        )

    def evict_beyond_limit(self) -> 'BoundedMap[Item]':
        """Return a map with only the entries of the ``limit`` newest places."""
        oldest = max(self.oldest_place, self.next_place - self.limit)
        keys = (
            self.key_by_place.get(str(place))
            for place in range(self.oldest_place, oldest)
        )
        remaining = self.remove_all([key for key in keys if key is not None])
        return dataclasses.replace(remaining, oldest_place=oldest)

    def list_newest(self, limit: int) -> list[Item]:
        """Return up to ``limit`` items, the newest first."""
        found: list[Item] = []
        place = self.next_place
        while place > self.oldest_place and len(found) < limit:
            place -= 1
            key = self.key_by_place.get(str(place))
            item = None if key is None else self.get(key)
            if item is not None:
                found.append(item)
        return found


def restore_bounded_map(
    limit: int,
    oldest_place: int,
    next_place: int,
    bounded_entries: Iterable[BoundedMapEntry[Item]],
) -> BoundedMap[Item]:
    """Create a bounded map from the state in a snapshot."""
    entries = tuple(bounded_entries)
    return BoundedMap(
        limit,
        oldest_place,
        next_place,
        create_persistent_map((entry.key, entry) for entry in entries),
        create_persistent_map(
            (str(entry.place), entry.key) for entry in entries
        ),
    )
