"""Which records of the store a node puts in force, and what it logs."""

import asyncio
import copy
import functools
import logging
import operator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonycleat.internal.connection.platform_interfaces import TopicPage
from ebonycleat.internal.process.mesh_node import create_mesh_node
from ebonycleat.internal.version.mesh_configuration import RouteKind
from ebonycleat.platform import (
    create_platform_interfaces,
    load_platform_settings,
)
from tests.mesh_fakes import ManualClock
from tests.platform_examples import BOOT_SETTINGS, CONFIGURATION, encode_json

LOGGER = 'ebonycleat.decisions'

VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8)
    | st.sampled_from(['idempotent', 'upload', '0000000c', '000000ff', 1e308])
    | st.just([])
    | st.just({})
)


def list_paths(tree, prefix=()):
    """Return the paths of all values in a tree of tables and lists."""
    entries = ()
    if isinstance(tree, dict):
        entries = tree.items()
    elif isinstance(tree, list):
        entries = enumerate(tree)
    paths = []
    for key, value in entries:
        paths.append((*prefix, key))
        paths.extend(list_paths(value, (*prefix, key)))
    return paths


PATHS = list_paths(CONFIGURATION)
MUTATIONS = st.tuples(st.sampled_from(PATHS), VALUES | st.just('remove'))


def mutate(tree, mutations):
    """Return a copy of a tree with values replaced or removed at paths."""
    mutated = copy.deepcopy(tree)
    for path, value in mutations:
        # An earlier mutation may have replaced a part of the path.
        if path in list_paths(mutated):
            inner = functools.reduce(operator.getitem, path[:-1], mutated)
            inner.pop(path[-1])
            if value != 'remove' and isinstance(inner, dict):
                inner[path[-1]] = value
    return mutated


@pytest.fixture(name='node', scope='module')
def fixture_node(tmp_path_factory):
    """Return a node that is not connected to anything."""
    path = tmp_path_factory.mktemp('boot') / 'node.json'
    path.write_bytes(encode_json(BOOT_SETTINGS))
    boot = load_platform_settings(path)

    async def create():
        return create_mesh_node(
            boot, create_platform_interfaces(boot), None, ManualClock()
        )

    return asyncio.run(create())


def apply_records(node, *trees):
    """Let the follower of a node read records one after the other."""
    follower = node.background.follower
    for tree in trees:
        record = tree if isinstance(tree, bytes) else encode_json(tree)
        page = TopicPage((('config', record),), 1, 1)
        assert follower.apply_configuration_page(page)


def with_version(tree, number):
    return tree | {'version': f'{number:08x}'}


@settings(max_examples=300)
@given(mutations=st.lists(MUTATIONS, max_size=4), cut=st.integers(0, 900))
def test_a_damaged_configuration_is_used_wholly_or_not_at_all(
    node, mutations, cut
):
    """Guards against a traceback, half of a version, and older versions.

    Records are mutations of a valid one, some of them cut short.
    """
    record = encode_json(mutate(CONFIGURATION, mutations))
    if cut < len(record) // 2:
        record = record[:cut]
    holder = node.fleet.configuration
    before = holder.index
    rejected_before = node.background.follower.rejected_configurations
    apply_records(node, record)
    if holder.index is before:
        return
    assert node.background.follower.rejected_configurations == rejected_before
    assert before is None or holder.version > before.version
    assert holder.index.configuration.encoded_record == record
    limited_teams = {
        team.name
        for team in holder.index.configuration.teams
        if team.rate_per_s > 0
    }
    assert set(node.fleet.quotas.limits) == limited_teams
    limits = holder.index.configuration.limits
    assert node.listener.limits.body_bytes == limits.max_body_bytes


def test_a_record_that_cannot_be_used_is_logged_with_place_and_reason(
    node, caplog
):
    """Guards against a fleet that serves nothing and does not say why."""
    newer = node.fleet.configuration.version + 12_345_678
    apply_records(node, with_version(CONFIGURATION, newer))
    # Versions are compared with those of the store, so all digits count.
    assert f'configuration.version {newer}\n' in node.render_metrics()
    broken = copy.deepcopy(CONFIGURATION)
    broken['routes']['r-renew']['attempts'] = 0
    rejected_before = node.background.follower.rejected_configurations
    with caplog.at_level(logging.INFO, LOGGER):
        apply_records(node, with_version(broken, newer + 1))
    assert node.fleet.configuration.version == newer
    details = [line.detail for line in caplog.records]
    assert len(details) == 1
    assert 'routes.r-renew' in details[0]
    assert 'attempts' in details[0]
    rejected = node.background.follower.rejected_configurations
    assert rejected == rejected_before + 1
    assert f'configuration.rejected {rejected}\n' in node.render_metrics()


def test_an_unknown_kind_of_route_is_served_and_logged_once(node, caplog):
    """Guards against a word in one route that makes a node refuse all."""
    newer = node.fleet.configuration.version + 1
    tree = copy.deepcopy(CONFIGURATION)
    tree['routes']['r-map']['routeType'] = 'stream'
    with caplog.at_level(logging.INFO, LOGGER):
        apply_records(
            node, with_version(tree, newer), with_version(tree, newer + 1)
        )
    assert node.fleet.configuration.version == newer + 1
    route = node.fleet.configuration.index.routes['r-map']
    assert route.kind is RouteKind.UNKNOWN
    assert not route.is_idempotent
    lines = [one for one in caplog.records if 'unknown kind' in one.msg]
    assert [(line.route, line.kind) for line in lines] == [('r-map', 'stream')]


@pytest.mark.parametrize('older_by', [0, 1, 12])
def test_a_record_of_an_older_version_changes_nothing(node, older_by):
    """Guards against a version that comes back after a newer one."""
    newest = node.fleet.configuration.version + 12
    older = copy.deepcopy(CONFIGURATION)
    older['tenants'] = {}
    apply_records(
        node,
        with_version(CONFIGURATION, newest),
        with_version(older, newest - older_by),
    )
    assert node.fleet.configuration.version == newest
    assert node.fleet.configuration.index.teams
