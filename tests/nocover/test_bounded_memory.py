"""What nodes forget must be the same on every node."""

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
def test_a_memory_in_batches_forgets_as_one_entry_at_a_time_does(steps):
    """Guards against nodes that disagree on what they remember."""
    whole = BoundedMap(LIMIT)
    single = whole
    for step in steps:
        if isinstance(step, dict):
            whole = whole.put_all(step)
        else:
            whole = whole.remove_all(step)
        for key in sorted(step) if isinstance(step, frozenset) else step:
            single = (
                single.put(key, step[key])
                if isinstance(step, dict)
                else single.remove_all((key,))
            )
        items = [item for _, item in whole.entry_by_key.items()]
        whole = restore_bounded_map(
            LIMIT,
            whole.oldest_place,
            whole.next_place,
            items,
        )
        assert whole == single
        assert len(whole.entry_by_key) <= LIMIT
