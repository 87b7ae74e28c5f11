"""Immutable maps whose update costs do not grow with their size.

Every accepted change makes a new view, and a view must stay as it is while
somebody still looks at it. Copying a dict of tens of thousands of keys for
each change would cost milliseconds; here one update copies one bucket.
"""

import dataclasses
from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

import xxhash

BUCKET_COUNT = 1024

Item = TypeVar('Item')
Buckets = tuple[dict[str, Item], ...]


def _bucket_of(key: str) -> int:
    encoded = key.encode('utf-8', 'surrogatepass')
    return xxhash.xxh64_intdigest(encoded) % BUCKET_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class PersistentMap(Generic[Item]):
    """A map from text to items; ``put`` and ``remove`` return a new map.

    Buckets are chosen by xxhash and not by ``hash``, so that maps with the
    same items are equal in every process. No bucket is ever changed.
    """

    buckets: Buckets[Item] = dataclasses.field(
        default_factory=lambda: ({},) * BUCKET_COUNT,
    )
    size: int = 0

    def __len__(self) -> int:
        """Count the items."""
        return self.size

    def __contains__(self, key: str) -> bool:
        """Tell whether the key is present."""
        return key in self.buckets[_bucket_of(key)]

    def get(self, key: str) -> Item | None:
        """Return the item under the key, or None."""
        return self.buckets[_bucket_of(key)].get(key)

    def put(self, key: str, entry: Item) -> 'PersistentMap[Item]':
        """Return a map that has the entry under the key."""
        return self.update(((key, entry),), ())

    def remove(self, key: str) -> 'PersistentMap[Item]':
        """Return a map without the key."""
        return self.update((), (key,))

    def update(
        self,
        added: Iterable[tuple[str, Item]],
        removed: Iterable[str],
    ) -> 'PersistentMap[Item]':
        """Return a map after many removals, then many additions."""
        buckets = list(self.buckets)
        size = self.size
        copied: set[int] = set()
        for lost in removed:
            bucket = _own_bucket(buckets, copied, lost)
            size -= lost in bucket
            bucket.pop(lost, None)
        for key, entry in added:
            bucket = _own_bucket(buckets, copied, key)
            size += key not in bucket
            bucket[key] = entry
        return PersistentMap(tuple(buckets), size)

    def items(self) -> Iterator[tuple[str, Item]]:
        """Yield keys and items in no useful order."""
        for bucket in self.buckets:
            yield from bucket.items()


def _own_bucket(
    buckets: list[dict[str, Item]],
    copied: set[int],
    key: str,
) -> dict[str, Item]:
    index = _bucket_of(key)
    if index not in copied:
        copied.add(index)
        buckets[index] = dict(buckets[index])
    return buckets[index]


def create_persistent_map(
    pairs: Iterable[tuple[str, Item]],
) -> PersistentMap[Item]:
    """Build a map at once; cheaper than one ``put`` per item."""
    buckets: list[dict[str, Item]] = [{} for _ in range(BUCKET_COUNT)]
    for key, entry in pairs:
        buckets[_bucket_of(key)][key] = entry
    return PersistentMap(tuple(buckets), sum(map(len, buckets)))


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedMapEntry(Generic[Item]):
    """One item of a bounded memory with its place in the order."""

    key: str
    place: int
    kept: Item


@dataclasses.dataclass(frozen=True, slots=True)
class BoundedMap(Generic[Item]):
    """An immutable map that forgets the entries written longest ago.

    ``oldest`` and ``next_place`` are part of the state: nodes that start
    from a snapshot must forget the same entries as nodes that did not.
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
        """Return what is remembered under the key, or None."""
        remembered = self.entry_by_key.get(key)
        return None if remembered is None else remembered.kept

    def put(self, key: str, entry: Item) -> 'BoundedMap[Item]':
        """Return a memory that has the entry as its newest."""
        return self.put_all({key: entry})

    def put_all(self, entries: Mapping[str, Item]) -> 'BoundedMap[Item]':
        """Return a memory that has the entries, in order, as its newest."""
        cleared = self.remove_all(entries)
        added = [
            BoundedMapEntry(key, place, entry)
            for place, (key, entry) in enumerate(
                entries.items(),
                self.next_place,
            )
        ]
        return dataclasses.replace(
            cleared,
            next_place=self.next_place + len(added),
            entry_by_key=cleared.entry_by_key.update(
                ((item.key, item) for item in added),
                (),
            ),
            key_by_place=cleared.key_by_place.update(
                ((str(item.place), item.key) for item in added),
                (),
            ),
        ).evict_beyond_limit()

    def remove_all(self, keys: Iterable[str]) -> 'BoundedMap[Item]':
        """Return a memory without the keys."""
        known = [
            item
            for item in map(self.entry_by_key.get, keys)
            if item is not None
        ]
        if not known:
            return self
        return dataclasses.replace(
            self,
            entry_by_key=self.entry_by_key.update(
                (), (item.key for item in known)
            ),
            key_by_place=self.key_by_place.update(
                (),
                (str(item.place) for item in known),
            ),
        )

    def evict_beyond_limit(self) -> 'BoundedMap[Item]':
        """Return a memory without the places past the limit."""
        oldest = max(self.oldest_place, self.next_place - self.limit)
        keys = (
            self.key_by_place.get(str(place))
            for place in range(self.oldest_place, oldest)
        )
        kept = self.remove_all([key for key in keys if key is not None])
        return dataclasses.replace(kept, oldest_place=oldest)

    def list_newest(self, limit: int) -> list[Item]:
        """List up to ``limit`` entries, the newest first."""
        found: list[Item] = []
        place = self.next_place
        while place > self.oldest_place and len(found) < limit:
            place -= 1
            key = self.key_by_place.get(str(place))
            entry = None if key is None else self.get(key)
            if entry is not None:
                found.append(entry)
        return found


def restore_bounded_map(
    limit: int,
    oldest: int,
    next_place: int,
    remembered: Iterable[BoundedMapEntry[Item]],
) -> BoundedMap[Item]:
    """Rebuild a memory from a snapshot."""
    entries = tuple(remembered)
    return BoundedMap(
        limit,
        oldest,
        next_place,
        create_persistent_map((entry.key, entry) for entry in entries),
        create_persistent_map(
            (str(entry.place), entry.key) for entry in entries
        ),
    )
