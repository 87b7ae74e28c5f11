"""Bounded maps drop the same entries on every node."""

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.version.persistent_map import (
    BoundedMap,
    restore_bounded_map,
)

LIMIT = 4
batches = st.lists(
    st.one_of(
        st.dictionaries(st.sampled_from('abcdefgh'), st.integers()),
        st.frozensets(st.sampled_from('abcdefgh')),
    ),
)


@given(batches)
def test_updates_in_batches_drop_the_same_entries_as_single_updates(updates):
    """Guards against nodes that keep different entries of the same records.

    One map is updated in batches and restored from its items after each
    batch, as by a snapshot; the other is updated entry by entry.
    """
    batched = BoundedMap(LIMIT)
    single = batched
    for update in updates:
        if isinstance(update, dict):
            batched = batched.put_all(update)
        else:
            batched = batched.remove_all(update)
        for key in sorted(update) if isinstance(update, frozenset) else update:
            single = (
                single.put(key, update[key])
                if isinstance(update, dict)
                else single.remove_all((key,))
            )
        items = [item for _, item in batched.entry_by_key.items()]
        batched = restore_bounded_map(
            LIMIT,
            batched.oldest_place,
            batched.next_place,
            items,
        )
        assert batched == single
        assert len(batched.entry_by_key) <= LIMIT
