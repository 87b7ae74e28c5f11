"""Member lists of several eras: the newest revision of a record counts."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.process.mesh_members import (
    MAX_REMOVED_REVISIONS,
    MemberRecord,
    MeshMembers,
    encode_member,
)

ADDRESS = 'n1:1'


def encode_revision(revision, address=ADDRESS):
    record = MemberRecord(address, 'a', 's', f'i-{revision}', 1, 4, True)
    return encode_member(
        MemberRecord(
            record.address,
            record.zone,
            record.service,
            record.instance,
            record.instance_started_ms,
            record.slots,
            record.has_target,
            revision=revision,
        )
    )


def known_revision(members):
    record = members.record_by_address.get(ADDRESS)
    return None if record is None else record.revision


def test_a_member_that_a_restored_store_lacks_stays_until_it_is_written():
    """Guards against rate shares of nodes that only the store has lost."""
    members = MeshMembers()
    members.apply(5, [(ADDRESS, encode_revision(7))], is_complete=True, era=1)
    members.apply(2, [], is_complete=True, era=2)
    assert known_revision(members) == 7
    assert members.lost_changes == {ADDRESS: encode_revision(7)}
    members.apply(3, [], is_complete=True, era=2)
    assert known_revision(members) == 7
    members.apply(4, [(ADDRESS, encode_revision(7))], is_complete=False, era=2)
    assert not members.lost_changes
    members.apply(5, [], is_complete=True, era=2)
    assert known_revision(members) is None


def test_a_removal_that_a_restored_store_lacks_still_holds():
    """Guards against a member that returns with an older copy."""
    members = MeshMembers()
    members.apply(5, [(ADDRESS, encode_revision(7))], is_complete=True, era=1)
    members.apply(6, [(ADDRESS, b'')], is_complete=False, era=1)
    members.apply(5, [(ADDRESS, encode_revision(7))], is_complete=True, era=2)
    assert known_revision(members) is None
    assert members.lost_changes == {ADDRESS: b''}
    members.apply(6, [(ADDRESS, encode_revision(8))], is_complete=False, era=2)
    assert known_revision(members) == 8
    assert not members.lost_changes


def test_records_without_a_revision_count_in_the_order_of_the_log():
    """Guards against nodes of an earlier version that are not listed again."""
    members = MeshMembers()
    members.apply(1, [(ADDRESS, encode_revision(7))], is_complete=True, era=1)
    members.apply(2, [(ADDRESS, encode_revision(0))], is_complete=False, era=1)
    assert known_revision(members) == 0
    members.apply(3, [(ADDRESS, b'')], is_complete=False, era=1)
    members.apply(4, [(ADDRESS, encode_revision(0))], is_complete=False, era=1)
    assert known_revision(members) == 0


def test_the_memory_of_removed_members_is_bounded():
    """Guards against a list that grows with each node that ever left."""
    members = MeshMembers()
    for number in range(MAX_REMOVED_REVISIONS + 50):
        address = f'n{number}:1'
        record = encode_revision(1, address)
        members.apply(number * 2, [(address, record)], is_complete=False, era=1)
        members.apply(
            number * 2 + 1, [(address, b'')], is_complete=False, era=1
        )
    assert len(members.removed_revisions) == MAX_REMOVED_REVISIONS


@given(
    st.lists(
        st.tuples(
            st.sampled_from((1, 2, 3)), st.integers(0, 30), st.integers(1, 30)
        ),
        min_size=1,
    ),
)
def test_no_restore_brings_an_older_record_back(pages):
    """Guards against a target in use whose departure is known."""
    members = MeshMembers()
    highest = 0
    for era, offset, revision in pages:
        change = [(ADDRESS, encode_revision(revision))]
        if members.apply(offset, change, is_complete=True, era=era):
            highest = max(highest, revision)
            assert known_revision(members) == highest


def test_positions_are_ordered_by_era_before_offset():
    """Guards against a list of an earlier era that replaces a later one."""
    positions = list(itertools.product((1, 2), (0, 9)))
    for (era, offset), (later_era, later_offset) in itertools.combinations(
        positions, 2
    ):
        members = MeshMembers()
        members.apply(later_offset, [], is_complete=True, era=later_era)
        assert not members.apply(offset, [], is_complete=True, era=era)
