"""The configuration in force, and how long keys are accepted with it.

Keys are accepted only while a recent proof shows that no newer version has
withdrawn them.
"""

import pytest

from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.version.mesh_configuration import (
    CallerLimits,
    MeshConfiguration,
    MeshRoute,
    MeshTeam,
    RouteKind,
    WeightedService,
    fingerprint_key,
)

LIMITS = CallerLimits(1000, 1000, 3, 15)
KEY = 'secret'


def create_route(prefix, *, service='maps', host='maps.example', **options):
    defaults = {
        'kind': RouteKind.IDEMPOTENT,
        'attempts': 2,
        'timeout_s': 1,
        'latency_objective_s': 1,
        'priority': 1,
        'is_open_to_all': False,
    }
    return MeshRoute(
        f'{service}{prefix}',
        host,
        prefix,
        (WeightedService(service, 1),),
        **(defaults | options),
    )


def create_configuration(version, keys=(KEY,), routes=()):
    return MeshConfiguration(
        version,
        tuple(routes),
        (MeshTeam('shop', tuple(keys), 10, 10),),
        {},
        LIMITS,
    )


def create_holder(withdrawal_s=5):
    holder = ConfigurationHolder(withdrawal_s)
    holder.apply_if_newer(create_configuration(4))
    holder.record_proof(4, 100)
    return holder


def test_an_older_version_never_replaces_a_newer_one():
    """Guards against versions that arrive out of order."""
    holder = create_holder()
    assert not holder.apply_if_newer(create_configuration(3))
    assert not holder.apply_if_newer(create_configuration(4))
    assert holder.version == 4


def test_keys_are_accepted_while_the_proof_is_recent():
    """Guards against refusing valid keys in normal operation."""
    assert create_holder().accepts_key(fingerprint_key(KEY), 'shop', 104)


def test_keys_are_not_accepted_once_the_proof_is_old():
    """Guards against a key that was withdrawn while this node was cut off."""
    assert not create_holder().accepts_key(fingerprint_key(KEY), 'shop', 105)


def test_without_a_withdrawal_time_keys_are_accepted_with_any_proof():
    """Guards against refusals that the operators did not configure."""
    assert create_holder(None).accepts_key(fingerprint_key(KEY), 'shop', 1e6)


def test_a_withdrawn_key_is_refused():
    """Guards against calls that were queued when their key was withdrawn."""
    holder = create_holder()
    holder.apply_if_newer(create_configuration(5, keys=('other',)))
    holder.record_proof(5, 101)
    assert not holder.accepts_key(fingerprint_key(KEY), 'shop', 101)


def test_a_key_is_refused_for_a_team_that_it_does_not_belong_to():
    """Guards against calls that run in the name of another team.

    The key may have been given to another team while a call was queued.
    """
    assert not create_holder().accepts_key(fingerprint_key(KEY), 'other', 101)


def test_a_proof_of_another_version_is_ignored():
    """Guards against a proof that arrives before its version."""
    holder = create_holder()
    holder.record_proof(5, 200)
    assert holder.proof_age_s(200) == 100


def test_a_late_older_proof_is_ignored():
    """Guards against answers of the store that arrive out of order."""
    holder = create_holder()
    holder.record_proof(4, 50)
    assert holder.proof_age_s(100) == 0


@pytest.mark.parametrize(
    ('path', 'service'),
    [('/a/x', 'short'), ('/a/b/x', 'long'), ('/c/', None), ('/a', None)],
)
def test_the_longest_prefix_selects_the_route(path, service):
    """Guards against a route that hides one with a longer prefix."""
    holder = ConfigurationHolder(5)
    holder.apply_if_newer(
        create_configuration(
            1,
            routes=(
                create_route('/a/', service='short'),
                create_route('/a/b/', service='long'),
            ),
        ),
    )
    found = holder.index.find_route('maps.example', path)
    assert (found and found.weighted_services[0].service) == service
