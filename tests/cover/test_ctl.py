"""The control program: its exit codes, its output and its retries.

A change that is sent to several nodes must take effect at most once.
"""

import functools
import io
import json
import pathlib

import msgspec
import pytest

from ebonycleat.commands.ctl import main
from ebonycleat.internal.connection.operator_client import (
    NodeRequestFailed,
    NoNodeAnswered,
    OperatorClient,
    OperatorTransport,
)
from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)
from ebonycleat.internal.version.configuration_view import ActiveTeam
from tests.scripted_server import find_free_port, run_scripted_server

KEY = 'operators-secret'
ACCEPTED = OperatorAnswer(AnswerStatus.ACCEPTED, 'accepted', 'op', 7)


class ScriptedTransport(OperatorTransport):
    def __init__(self, *answers):
        self.answers = list(answers)
        self.sent = []

    def send(self, node, request):
        self.sent.append((node, request.operation_id, request.attempt))
        answer = self.answers.pop(0)
        if isinstance(answer, NodeRequestFailed):
            raise answer
        return answer


def http_response(answer, status='200 OK', headers=''):
    body = msgspec.json.encode(answer)
    head = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def write_settings(path, *ports, key_source="key_environment = 'OPERATOR_KEY'"):
    nodes = [f'127.0.0.1:{port}' for port in ports]
    path.write_text(f'nodes = {nodes}\n{key_source}\n')
    return ['--settings', str(path)]


@pytest.fixture
def settings(tmp_path, monkeypatch):
    """Return a function that writes settings for ports and returns options."""
    monkeypatch.setenv('OPERATOR_KEY', KEY)
    return functools.partial(write_settings, tmp_path / 'ctl.toml')


def test_a_change_that_may_have_been_sent_keeps_its_id_at_the_next_node():
    """Guards against a change that takes effect twice."""
    lost_answer = NodeRequestFailed('closed', sent=True)
    refused = NodeRequestFailed('refused', sent=False)
    not_ready = OperatorAnswer(AnswerStatus.NOT_READY)
    transport = ScriptedTransport(refused, lost_answer, not_ready, ACCEPTED)
    client = OperatorClient(['a', 'b', 'c', 'd'], transport)
    request = OperatorRequest('fence node x', 'op')
    assert client.send(request, is_change=True) == ACCEPTED
    assert transport.sent == [
        ('a', 'op', 0),
        ('b', 'op', 0),
        ('c', 'op', 1),
        ('d', 'op', 1),
    ]
    assert client.nodes[0] == 'd'


@pytest.mark.parametrize('sent', [True, False])
def test_no_answer_is_an_unknown_outcome_only_for_a_change_that_was_sent(sent):
    """Guards against reporting "nothing was done" for a change in force."""
    request = OperatorRequest('fence node x', 'op')
    for is_change in (True, False):
        transport = ScriptedTransport(NodeRequestFailed('gone', sent=sent))
        answer = OperatorClient(['a'], transport).send(
            request,
            is_change=is_change,
        )
        assert isinstance(answer, NoNodeAnswered)
        assert answer.may_have_taken_effect is (sent and is_change)


def test_a_script_sends_each_command_with_the_key_and_the_last_version(
    settings,
    monkeypatch,
    capsys,
):
    """Guards against a script whose next command sees an older version."""
    team = ActiveTeam('survey', 10.0, 5.0, (('a', 1.0),), 7)
    team_list = OperatorAnswer(AnswerStatus.DONE, version=7, teams=(team,))
    script = io.StringIO('withdraw route map\n\nshow teams\n')
    monkeypatch.setattr('sys.stdin', script)
    with run_scripted_server(
        http_response(ACCEPTED), http_response(team_list)
    ) as server:
        assert main(settings(server.port)) == 0
    first_request, second_request = server.requests
    assert f'Authorization: Bearer {KEY}\r\n'.encode() in first_request
    body = json.loads(first_request.split(b'\r\n\r\n')[1])
    assert body['text'] == 'withdraw route map'
    assert body['operation_id'].startswith('op-')
    body = json.loads(second_request.split(b'\r\n\r\n')[1])
    assert (body['at_least_version'], body['operation_id']) == (7, '')
    output = capsys.readouterr()
    assert 'survey  10          5      a=1           7' in output.out
    assert KEY not in output.out + output.err


@pytest.mark.parametrize(
    ('answer', 'exit_code'),
    [
        (http_response(ACCEPTED), 0),
        (http_response(OperatorAnswer(AnswerStatus.REJECTED, 'no')), 1),
        (http_response(OperatorAnswer(AnswerStatus.UNAUTHORISED), '401 No'), 2),
        (http_response(OperatorAnswer(AnswerStatus.UNKNOWN, 'perhaps')), 3),
        (b'', 3),
        (http_response({'reason': 'shed'}, '503 Busy'), 3),
        (
            http_response({}, '503 Busy', 'Ebonycleat-Outcome: not-run\r\n'),
            4,
        ),
        (http_response(OperatorAnswer(AnswerStatus.NOT_READY)), 4),
    ],
)
def test_the_exit_code_tells_the_outcome_of_the_change(
    settings,
    answer,
    exit_code,
):
    """Guards against scripts that take an unknown outcome for a known one."""
    with run_scripted_server(answer, closing=True) as server:
        options = settings(find_free_port(), server.port)
        assert main([*options, 'fence', 'node', 'x']) == exit_code
    assert server.requests


def test_json_output_is_one_answer_per_line(settings, capsys):
    """Guards against output that programs cannot read."""
    with run_scripted_server(http_response(ACCEPTED)) as server:
        options = settings(server.port)
        expect_options = ['--expect', 'node:x=0', '--expect', 'team:y=2']
        repeat_options = ['--operation-id', 'op-1']
        command = ['fence node x']
        assert (
            main([
                *options,
                '--json',
                *expect_options,
                *repeat_options,
                *command,
            ])
            == 0
        )
    output = capsys.readouterr().out
    assert msgspec.json.decode(output, type=OperatorAnswer) == ACCEPTED
    body = json.loads(server.requests[0].split(b'\r\n\r\n')[1])
    assert body['expected'] == [['node:x', 0], ['team:y', 2]]
    assert (body['operation_id'], body['attempt']) == ('op-1', 1)


@pytest.mark.parametrize(
    ('key_source', 'arguments', 'message'),
    [
        ('', ['--check-settings'], 'one of key_file'),
        ("key_environment = 'UNSET'", ['--check-settings'], 'found no key,'),
        ("key_file = '/absent'", ['--check-settings'], 'a readable file'),
        ("key_environment = 'OPERATOR_KEY'", ['shwo'], 'did you mean "show"'),
        ("key_environment = 'OPERATOR_KEY'", ['#'], 'no command'),
        (
            "key_environment = 'OPERATOR_KEY'",
            ['--expect', 'x', 'fence node x'],
            'SUBJECT=VERSION',
        ),
    ],
)
def test_wrong_use_is_reported_before_anything_is_sent(
    settings,
    capsys,
    key_source,
    arguments,
    message,
):
    """Guards against a script that stops half-way because of a typing error."""
    assert (
        main([*settings(find_free_port(), key_source=key_source), *arguments])
        == 2
    )
    assert message in capsys.readouterr().err


def test_check_settings_names_a_bad_address_and_reads_the_key_file(
    settings,
    tmp_path,
    capsys,
):
    """Guards against settings that fail only at the first use."""
    assert main([*settings('x'), '--check-settings']) == 2
    assert 'nodes[0]: found' in capsys.readouterr().err
    key_file = pathlib.Path(tmp_path) / 'key'
    key_file.write_text(f'{KEY}\n')
    options = settings(find_free_port(), key_source=f"key_file = '{key_file}'")
    assert main([*options, '--check-settings']) == 0
