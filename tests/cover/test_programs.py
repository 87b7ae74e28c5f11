"""Every program prints its version and rejects a wrong settings file."""

import importlib
import pathlib
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SCRIPTS = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project'][
    'scripts'
]


def _load_main(entry_point):
    module_name, function_name = entry_point.split(':')
    module = importlib.import_module(module_name)
    return getattr(module, function_name)


@pytest.fixture(params=sorted(SCRIPTS))
def program(request):
    """Name and entry point of one program."""
    return request.param, _load_main(SCRIPTS[request.param])


def test_the_version_names_the_program(program, capsys):
    """Guards against an operator who cannot tell what runs on a VM."""
    name, main = program
    assert main(['--version']) == 0
    assert name in capsys.readouterr().out


@pytest.mark.parametrize('text', ['not toml', 'unknown_key = 1', '\0'])
def test_a_wrong_file_ends_with_code_two_and_no_traceback(
    program,
    text,
    tmp_path,
    capsys,
):
    """Guards against starting a program with an invalid settings file."""
    _, main = program
    path = tmp_path / 'wrong.toml'
    path.write_text(text)
    assert main(['--settings', str(path)]) == 2
    error = capsys.readouterr().err
    assert str(path) in error
    assert 'Traceback' not in error


def test_a_missing_file_ends_with_code_two(program, tmp_path, capsys):
    """Guards against a traceback for a mistyped file name."""
    _, main = program
    assert main(['--settings', str(tmp_path / 'absent.toml')]) == 2
    assert 'absent.toml' in capsys.readouterr().err


def test_help_and_wrong_options_have_their_exit_codes(program, capsys):
    """Guards against scripts that mistake a usage error for success."""
    _, main = program
    assert main(['--help']) == 0
    assert '--check-settings' in capsys.readouterr().out
    assert main(['--no-such-option']) == 2
