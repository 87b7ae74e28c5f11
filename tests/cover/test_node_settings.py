"""Settings files: every mistake is reported, and none as a traceback."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.process.command_line import Program, run_program
from ebonycleat.internal.process.settings import NodeSettings, split_address
from ebonycleat.internal.process.settings_file import (
    InvalidSettings,
    parse_settings,
)

MINIMAL_SETTINGS = """
[node]
id = "vm-1"
zone = "zone-a"
service = "maps"
[callers]
address = "127.0.0.1"
port = 0
[peers]
address = "127.0.0.1"
port = 0
[target]
host = "127.0.0.1"
port = 9000
slots = 35
[log]
base_url = "http://127.0.0.1:9200"
"""

KEY_LINES = tuple(line for line in MINIMAL_SETTINGS.splitlines() if '=' in line)


def _parse(text):
    return parse_settings(text, 'node.toml', NodeSettings)


def _problems(text):
    with pytest.raises(InvalidSettings) as raised:
        _parse(text)
    return {problem.key_path: problem for problem in raised.value.problems}


def test_a_minimal_file_gets_the_documented_defaults():
    """Guards against a lost default, which silently makes its key required."""
    settings = _parse(MINIMAL_SETTINGS)
    assert settings.target.slots == 35
    assert settings.queue_length() == 2 * settings.target.slots
    assert settings.statsd is None
    assert not settings.operators


@pytest.mark.parametrize('line', KEY_LINES)
def test_each_missing_key_is_named(line):
    """Guards against a node that starts with a value nobody configured."""
    problems = _problems(MINIMAL_SETTINGS.replace(line, '', 1))
    assert any(key.endswith(line.split(' =')[0]) for key in problems)


def test_all_mistakes_of_a_file_are_reported_at_once():
    """Guards against having to start the node once per mistake."""
    text = MINIMAL_SETTINGS.replace('35', '0').replace('"vm-1"', '7')
    problems = _problems(f'{text}\n[[operators]]\nname = "x"\nsecret = 1\n')
    assert set(problems) == {
        'node.id',
        'target.slots',
        'operators[0].key_digest',
        'operators[0].secret',
    }
    assert problems['target.slots'].found == '0'
    assert '1 to 1000000' in problems['target.slots'].allowed


@pytest.mark.parametrize(
    ('old', 'new', 'key'),
    [
        ('port = 9000', 'port = 65536', 'target.port'),
        ('port = 9000', 'port = true', 'target.port'),
        ('host = "127.0.0.1"', 'host = "localhost"', 'target.host'),
        ('"http://127.0.0.1:9200"', '"127.0.0.1:9200"', 'log.base_url'),
        ('[target]', 'seeds = ["10.0.0.1"]\n[target]', 'peers.seeds[0]'),
        ('[target]', 'seeds = ["10.0.0.1:0"]\n[target]', 'peers.seeds[0]'),
        ('[log]', '[logging]\nlevel = "LOUD"\n[log]', 'logging.level'),
        ('[log]', '[queue]\nlength = -1\n[log]', 'queue.length'),
        ('[log]', 'queue = 3\n[log]', 'target.queue'),
        ('"vm-1"', r'"vm-1\n"', 'node.id'),
    ],
)
def test_a_value_outside_its_bounds_is_refused(old, new, key):
    """Guards against values that fail only once the node is under load."""
    assert key in _problems(MINIMAL_SETTINGS.replace(old, new))


def test_two_operators_cannot_share_one_key():
    """Guards against a change history that names the wrong operator."""
    operator = '[[operators]]\nname = "x"\nkey_digest = "{0}"\n'
    text = MINIMAL_SETTINGS + operator.format('a' * 64) * 2
    assert '(file)' in _problems(text)


def test_a_peers_address_must_be_one_that_others_can_reach():
    """Guards against a node that announces 0.0.0.0 to its peers."""
    text = MINIMAL_SETTINGS.replace(
        '[peers]\naddress = "127.0.0.1"', ('[peers]\naddress = "0.0.0.0"')
    )
    assert 'peers.address' in _problems(text)


def test_addresses_split_with_and_without_brackets():
    """Guards against IPv6 seeds whose last group is taken for the port."""
    assert split_address('10.0.0.1:70') == ('10.0.0.1', 70)
    assert split_address('[::1]:70') == ('::1', 70)


SCALARS = (
    st.integers(-(2**63), 2**63 - 1).map(str)
    | st.sampled_from(['true', '[]', '{}', '1e400', '"x"', '[[1]]', 'nan'])
    | st.text(st.characters(min_codepoint=32, max_codepoint=126)).map(repr)
)


@given(st.text())
def test_arbitrary_text_is_reported_as_invalid_settings(text):
    """Guards against a traceback from a damaged settings file."""
    with pytest.raises(InvalidSettings) as raised:
        _parse(text)
    assert raised.value.problems


@given(st.sampled_from(KEY_LINES), SCALARS)
def test_any_value_of_a_key_is_used_or_reported(line, scalar):
    """Guards against a value of another type reaching the node."""
    key = line.split(' =')[0]
    try:
        settings = _parse(
            MINIMAL_SETTINGS.replace(line, f'{key} = {scalar}', 1)
        )
    except InvalidSettings as error:
        assert all(problem.allowed for problem in error.problems)
    else:
        assert isinstance(settings, NodeSettings)


def test_check_settings_does_not_start_the_program(tmp_path, capsys):
    """Guards against --check-settings opening ports on a busy VM."""
    started = []
    program = Program('node', 'Runs.', NodeSettings, started.append)
    path = tmp_path / 'node.toml'
    path.write_text(MINIMAL_SETTINGS)
    options = ['--settings', str(path), '--check-settings']
    assert run_program(program, options) == 0
    assert not started
    path.write_text(MINIMAL_SETTINGS.replace('35', '0'))
    assert run_program(program, options) == 2
    assert f'{path}: target.slots: found 0' in capsys.readouterr().err
