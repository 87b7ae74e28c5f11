"""Mistakes in a configuration are found before it is submitted."""

import copy
import json

import pytest

from ebonycleat.commands.mesh_node import main
from tests.platform_examples import CONFIGURATION


def sound_configuration():
    changed = copy.deepcopy(CONFIGURATION)
    changed['routes']['r-map']['targetLatencyS'] = 0.5
    return changed


def check(tmp_path, capsys, submitted, in_force=None, status=1):
    """Check files; return the findings as (severity, place, reason)."""
    path = tmp_path / 'new.json'
    path.write_text(json.dumps(submitted))
    arguments = ['check-configuration', str(path), '--json']
    if in_force is not None:
        before = tmp_path / 'old.json'
        before.write_text(json.dumps(in_force))
        arguments += ['--against', str(before)]
    assert main(arguments) == status
    report = json.loads(capsys.readouterr().out)
    assert (report['errors'] > 0) == (status == 1)
    return [tuple(finding.values()) for finding in report['findings']]


def change_entry(table, name, **fields):
    changed = sound_configuration()
    changed[table].setdefault(name, {}).update(fields)
    return changed


ROUTE = sound_configuration()['routes']['r-map']


@pytest.mark.parametrize(
    ('submitted', 'place', 'reason'),
    [
        (change_entry('routes', 'r-z', **ROUTE), 'routes.r-z', 'never matches'),
        (
            change_entry('routes', 'r-map', pathPrefix='map'),
            'routes.r-map',
            'begin with /',
        ),
        (
            change_entry('routes', 'r-map', targetLatencyS=1.5),
            'routes.r-map',
            'longer than the time-out',
        ),
        (
            change_entry('routes', 'r-renew', service=''),
            'routes.r-renew',
            'has no service',
        ),
        (
            change_entry('tenants', 'z', apiKeys=['k'], burst=5),
            'tenants.z',
            'a rate of 0',
        ),
        (
            change_entry('tenants', 'z', apiKeys=['k'], ratePerS=5, burst=0.5),
            'tenants.z',
            'below one request',
        ),
        (
            change_entry('routes', 'r-map', timeoutS='1'),
            'new.json',
            'routes.r-map',
        ),
    ],
)
def test_mistakes_are_errors(tmp_path, capsys, submitted, place, reason):
    """Guards against submitting entries that cannot work as written."""
    findings = check(tmp_path, capsys, submitted)
    found = [finding for finding in findings if finding[0] == 'error']
    assert len(found) == 1
    assert found[0][1].endswith(place)
    assert reason in found[0][2]


def test_unused_entries_are_warnings(tmp_path, capsys):
    """Guards against rejecting what is only prepared for later use."""
    submitted = change_entry('services', 'later')
    submitted['routes']['r-map']['weightedClusters'][1]['weight'] = 0
    findings = check(tmp_path, capsys, submitted, status=0)
    warned = {place for severity, place, _ in findings if severity == 'warning'}
    assert {'services.later', 'routes.r-map'} <= warned


def test_differences_are_listed_without_keys(tmp_path, capsys):
    """Guards against a change that nobody meant, and against shown keys."""
    before = change_entry('tenants', 'z', apiKeys=['secret-1'])
    after = change_entry('tenants', 'z', apiKeys=['secret-2'])
    after['version'] = '0000000d'
    after['routes']['r-map']['timeoutS'] = 2
    del after['routes']['r-renew']
    findings = check(tmp_path, capsys, after, before, status=0)
    assert ('difference', 'routes.r-map', 'timeout_s: 1.0 -> 2.0') in findings
    assert ('difference', 'routes.r-renew', 'removed') in findings
    assert ('difference', 'tenants.z', 'keys: 1 added, 1 removed') in findings
    assert 'secret' not in str(findings)
    stale = check(tmp_path, capsys, before, after)
    assert 'version' in {place for _, place, _ in stale}


def test_bad_usage_has_its_own_exit_status(tmp_path, capsys):
    """Guards against scripts that take a missing file for a sound one."""
    assert main(['check-configuration', str(tmp_path / 'absent')]) == 2
    assert main(['check-configuration']) == 2
    assert 'absent' in capsys.readouterr().err
