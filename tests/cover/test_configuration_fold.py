"""Which changes the configuration fold accepts, and what is then in force.

All nodes apply the same log records and must come to the same decisions.
"""

import pytest

from ebonycleat import Reason
from ebonycleat.internal.version.change_checks import MAX_CHANGES_PER_SET
from ebonycleat.internal.version.configuration_fold import (
    ConfigurationFold,
    create_fold,
)
from ebonycleat.internal.version.configuration_view import (
    MAX_WITHDRAWALS,
    NO_SHARE,
    UnknownTeam,
    ZoneShare,
)
from ebonycleat.internal.version.records import (
    Accepted,
    AlreadyDecided,
    FenceNode,
    PutKey,
    Rejected,
    RejectionReason,
    WithdrawKey,
    WithdrawRoute,
    WithdrawTeam,
)
from ebonycleat.internal.version.snapshot import (
    SnapshotBuilder,
    restore_view,
    take_snapshot,
)
from tests.configuration_records import (
    create_change_set,
    create_put_route,
    create_put_team,
    sha256_hex,
)

KEY_DIGEST = sha256_hex('key')


def fold_of(*changes):
    fold = create_fold()
    assert fold.apply(1, create_change_set('first', *changes)) == Accepted(1)
    return fold


def test_the_later_of_two_racing_changes_loses_and_names_the_winner():
    """Guards against an operator who unknowingly overwrites a change."""
    fold = fold_of(create_put_team())
    expected = [('team:survey', 1)]
    winner = create_change_set(
        'w', create_put_team(rate=200.0), expected=expected
    )
    loser = create_change_set(
        'l', create_put_team(rate=300.0), expected=expected
    )
    assert fold.apply(2, winner) == Accepted(2)
    rejected = fold.apply(3, loser)
    assert isinstance(rejected, Rejected)
    assert rejected.reason is RejectionReason.CONFLICT
    assert (rejected.subject, rejected.lost_to) == ('team:survey', 2)
    assert fold.view.find_team('survey').rate_per_s == 200
    assert (fold.view.version, fold.view.offset) == (2, 3)


def test_a_change_that_lost_to_a_withdrawal_names_the_withdrawal():
    """Guards against a rejection that cannot name the change it lost to."""
    fold = fold_of(create_put_team())
    fold.apply(2, create_change_set('w', WithdrawTeam('survey')))
    stale = [('team:survey', 1)]
    rejected = fold.apply(
        3, create_change_set('l', create_put_team(), expected=stale)
    )
    assert rejected.lost_to == 2
    unknown_team = fold.apply(
        4, create_change_set('k', PutKey(KEY_DIGEST, 'survey'))
    )
    assert (unknown_team.reason, unknown_team.lost_to) == (
        RejectionReason.UNKNOWN_TEAM,
        2,
    )


@pytest.mark.parametrize(
    'decided', [create_put_team(), create_put_team(rate=-1.0)]
)
def test_a_second_copy_of_an_append_changes_nothing(decided):
    """Guards against applying a change twice.

    An append whose answer was lost is repeated, so the log may hold two copies.
    """
    fold = create_fold()
    record = create_change_set('op', decided)
    fold.apply(1, record)
    fold.apply(2, create_change_set('other', create_put_team('other')))
    before = fold.view
    assert fold.apply(3, record) == AlreadyDecided(1)
    assert fold.view.teams is before.teams
    assert fold.view.operations is before.operations


def test_one_wrong_change_rejects_its_whole_set():
    """Guards against a change set that takes effect only in part."""
    fold = create_fold()
    changes = (
        create_put_team(),
        PutKey(KEY_DIGEST, 'survey'),
        WithdrawRoute('none'),
    )
    rejected = fold.apply(1, create_change_set('op', *changes))
    assert rejected.reason is RejectionReason.NOT_FOUND
    assert fold.view.find_team('survey') == UnknownTeam('survey')
    assert fold.view.find_team_of_key(KEY_DIGEST).reason is Reason.UNKNOWN_KEY
    assert fold.view.version == 0


@pytest.mark.parametrize(
    ('change', 'reason'),
    [
        (PutKey(KEY_DIGEST, 'nobody'), RejectionReason.UNKNOWN_TEAM),
        (PutKey('the key itself', 'survey'), RejectionReason.MALFORMED),
        (create_put_team(rate=-0.1), RejectionReason.BAD_RATE),
        (create_put_team(burst=float('nan')), RejectionReason.BAD_RATE),
        (create_put_team('x', weights=()), RejectionReason.BAD_ZONE_WEIGHTS),
        (
            create_put_team('x', weights=(('a', 0),)),
            RejectionReason.BAD_ZONE_WEIGHTS,
        ),
        (
            create_put_team('x', weights=(('a', 1.0), ('a', 2.0))),
            RejectionReason.BAD_ZONE_WEIGHTS,
        ),
        (
            create_put_team(weights=(('a', 1.0),)),
            RejectionReason.ZONE_WEIGHTS_FIXED,
        ),
        (create_put_team('no spaces'), RejectionReason.MALFORMED),
        (WithdrawTeam('nobody'), RejectionReason.NOT_FOUND),
        (WithdrawKey(KEY_DIGEST), RejectionReason.NOT_FOUND),
        (create_put_route(path='/map/../admin'), RejectionReason.MALFORMED),
        (create_put_route(methods=()), RejectionReason.MALFORMED),
        (create_put_route(retry_limit=-1), RejectionReason.BAD_LIMIT),
        (create_put_route(timeout_ms=0), RejectionReason.BAD_LIMIT),
        (create_put_route('twin', '/old/'), RejectionReason.ROUTE_OVERLAP),
        (FenceNode('no spaces'), RejectionReason.MALFORMED),
    ],
)
def test_an_invalid_change_is_rejected(change, reason):
    """Guards against a record that breaks the nodes that apply it."""
    fold = fold_of(create_put_team(), create_put_route('old', '/old'))
    rejected = fold.apply(2, create_change_set('op', change))
    assert isinstance(rejected, Rejected)
    assert rejected.reason is reason


def test_a_later_vm_of_the_same_node_can_be_fenced_and_a_racing_fence_loses():
    """Guards against a dead VM whose slots can never be taken over.

    A node keeps its name when its VM is replaced, so the name may have been
    fenced before.
    """
    fold = fold_of(FenceNode('n1'))
    expected = [('node:n1', 1)]
    again = create_change_set('again', FenceNode('n1'), expected=expected)
    racing = create_change_set('racing', FenceNode('n1'), expected=expected)
    assert fold.apply(2, again) == Accepted(2)
    assert fold.view.fenced.get('n1') == 2
    rejected = fold.apply(3, racing)
    assert (rejected.reason, rejected.lost_to) == (RejectionReason.CONFLICT, 2)


def test_zone_weights_cannot_change_inside_one_change_set():
    """Guards against changing fixed weights by withdrawal and new creation."""
    fold = fold_of(create_put_team())
    other = create_put_team(weights=(('a', 9.0),))
    rejected = fold.apply(
        2, create_change_set('op', WithdrawTeam('survey'), other)
    )
    assert rejected.reason is RejectionReason.ZONE_WEIGHTS_FIXED


def test_withdrawn_keys_are_refused_as_withdrawn():
    """Guards against keys that stay valid after a withdrawal."""
    fold = fold_of(create_put_team(), PutKey(KEY_DIGEST, 'survey'))
    fold.apply(2, create_change_set('again', PutKey(sha256_hex('2'), 'survey')))
    assert fold.view.find_team_of_key(KEY_DIGEST) == 'survey'
    fold.apply(3, create_change_set('w', WithdrawKey(KEY_DIGEST)))
    assert fold.view.find_team_of_key(KEY_DIGEST).reason is Reason.WITHDRAWN_KEY
    fold.apply(4, create_change_set('t', WithdrawTeam('survey')))
    refusal = fold.view.find_team_of_key(sha256_hex('2'))
    assert refusal.reason is Reason.WITHDRAWN_KEY
    fold.apply(5, create_change_set('back', create_put_team()))
    assert fold.view.find_team_of_key(sha256_hex('2')) == refusal


def test_zone_shares_add_up_to_the_rate_of_the_team():
    """Guards against zones that together grant more than a team may use."""
    view = fold_of(create_put_team()).view
    assert view.zone_share('survey', 'a') == ZoneShare(25, 5)
    assert view.zone_share('survey', 'b') == ZoneShare(75, 15)
    assert view.zone_share('survey', 'elsewhere') == NO_SHARE
    assert view.zone_share('nobody', 'a') == NO_SHARE


@pytest.mark.parametrize(
    ('method', 'path', 'found'),
    [
        ('GET', '/map', 'map'),
        ('GET', '/map/current?zoom=2', 'map'),
        ('GET', '/map/tiles/1', 'tiles'),
        ('POST', '/map/tiles/1', 'draw'),
        ('GET', '/%6Dap/tiles', 'tiles'),
        ('GET', '/mapping', 'all'),
        ('POST', '/mapping', Reason.NO_ROUTE),
        ('GET', '/map/../map', Reason.BAD_REQUEST),
        ('GET', '/map/%2e%2E/x', Reason.BAD_REQUEST),
        ('GET', '//map', Reason.BAD_REQUEST),
        ('GET', '/x/..;a/map', Reason.BAD_REQUEST),
    ],
)
def test_routes_match_whole_segments_of_unambiguous_paths(method, path, found):
    """Guards against an open route that matches paths of another route.

    A path that the target could read differently is refused.
    """
    view = fold_of(
        create_put_route('all', '/', open_to_all=True),
        create_put_route('map', '/map'),
        create_put_route('tiles', '/map/tiles/'),
        create_put_route('draw', '/map', methods=('POST',)),
    ).view
    match = view.find_route(method, path)
    assert found in {getattr(match, 'route', None), getattr(match, 'reason', 0)}


def test_a_route_that_moves_leaves_its_old_path():
    """Guards against a path that stays reachable after its route moved."""
    fold = fold_of(
        create_put_route('map', '/map'), create_put_route('z', '/all')
    )
    moved = (
        create_put_route('map', '/all', methods=('POST',)),
        create_put_route('a', '/all', methods=('PUT',)),
    )
    fold.apply(2, create_change_set('move', *moved))
    assert fold.view.find_route('GET', '/map').reason is Reason.NO_ROUTE
    assert fold.view.find_route('POST', '/all').route == 'map'
    assert restore_view(take_snapshot(fold.view)) == fold.view


def test_nodes_forget_the_same_withdrawn_keys():
    """Guards against refusals that differ from node to node.

    One node applied all records, the other one started from a snapshot. Both
    remember the same limited number of withdrawn keys.
    """
    fold = fold_of(create_put_team())
    digests = [sha256_hex(str(number)) for number in range(MAX_WITHDRAWALS + 1)]
    digests.sort(reverse=True)
    for start in range(0, len(digests), MAX_CHANGES_PER_SET):
        batch = digests[start : start + MAX_CHANGES_PER_SET]
        keys = [PutKey(digest, 'survey') for digest in batch]
        fold.apply(start + 2, create_change_set(f'op{start}', *keys))
    builder = SnapshotBuilder(fold.view)
    build_results = [builder.add_keys(MAX_WITHDRAWALS), builder.add_keys(1)]
    assert build_results == [None, take_snapshot(fold.view)]
    restored = ConfigurationFold(restore_view(build_results[1]))
    offset = fold.view.offset + 1
    for node in (fold, restored):
        node.apply(offset, create_change_set('w', WithdrawTeam('survey')))
    assert restore_view(take_snapshot(fold.view)) == restored.view
    reasons = [fold.view.find_team_of_key(digest).reason for digest in digests]
    # The withdrawn team counts towards the limit as well.
    assert reasons[-2:] == [Reason.UNKNOWN_KEY, Reason.UNKNOWN_KEY]
    assert set(reasons[:-2]) == {Reason.WITHDRAWN_KEY}
