"""The load generator: latencies, counts, and no API key in its output."""

import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.target_client import (
    TargetFailure,
    TargetFailureKind,
    TargetResponse,
)
from ebonycleat.internal.process.settings_file import (
    InvalidSettings,
    parse_settings,
)
from ebonycleat.internal.request.refusal import Outcome
from ebonycleat_tools.load import main
from ebonycleat_tools.load_plan import LoadPlan, plan_requests
from ebonycleat_tools.load_report import Curve, plot
from ebonycleat_tools.load_results import AttemptResult, LoadResults
from ebonycleat_tools.load_runner import classify_result, run_load
from ebonycleat_tools.target_standin import (
    TargetListenSettings,
    TargetStandinSettings,
    serve_target_standin,
)
from tests.scripted_server import run_scripted_server

PLAN = """
addresses = ["127.0.0.1:{port}"]
duration_s = {duration_s}
check_echo = {check_echo}
threads = 4
{extra}
[[teams]]
name = "maps"
rate_per_s = 40
arrivals = "even"
key_variable = "MAPS_KEY"
{team_extra}
[[teams.requests]]
path = "/maps"
method = "POST"
priority = "high"
idempotency_keys = true
repeat_share = 0.5
body_bytes = 3
"""

KEY = 'a-secret-key'
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nEbonycleat-Reason: shed\r\n'
    b'Ebonycleat-Outcome: not-run\r\nRetry-After: 0.01\r\n'
    b'Content-Length: 0\r\n\r\n'
)


def plan_text(**values):
    defaults = {
        'port': 9,
        'duration_s': 1,
        'check_echo': 'true',
        'extra': '',
        'team_extra': '',
    }
    return PLAN.format(**(defaults | values))


def plan_with(**values):
    return parse_settings(plan_text(**values), 'plan.toml', LoadPlan)


@contextlib.contextmanager
def target():
    settings = TargetStandinSettings(listen=TargetListenSettings(port=0))
    with serve_target_standin(settings, int) as port:
        yield port


def test_the_same_seed_plans_the_same_requests():
    """Guards against a run that cannot be repeated."""
    first = list(plan_requests(plan_with(), 'run'))
    assert first == list(plan_requests(plan_with(), 'run'))
    assert len(first) == 39
    assert len({planned.marker for planned in first}) < len(first)


def test_a_surge_multiplies_the_rate_while_it_lasts():
    """Guards against a surge test whose load does not rise."""
    surge = 'surges = [{start_s = 0.5, duration_s = 0.25, factor = 4}]'
    planned = list(plan_requests(plan_with(extra=surge), 'run'))
    in_surge = [request for request in planned if 2 <= request.at_s * 4 < 3]
    assert len(in_surge) in {40, 41}


def test_a_run_reports_every_request_once(tmp_path, monkeypatch, capsys):
    """Guards against reports that omit requests or contain an API key."""
    monkeypatch.setenv('MAPS_KEY', KEY)
    json_file = tmp_path / 'out' / 'load.json'
    html_file = tmp_path / 'load.html'
    path = tmp_path / 'plan.toml'
    with target() as port:
        report = f'json_file = "{json_file}"\nhtml_file = "{html_file}"'
        path.write_text(f'{plan_text(port=port)}\n[report]\n{report}')
        assert main(['--settings', str(path)]) == 0
    results = json.loads(json_file.read_text())
    page = html_file.read_text()
    group = results['groups'][0]
    assert (group['team'], group['class']) == ('maps', 'high')
    assert group['offered'] == 39
    assert group['answered'] + group['wrong'] == 39
    assert page.count('<polyline') == 7
    output = capsys.readouterr().out
    assert 'maps' in output
    assert KEY not in output + page + json_file.read_text()


def test_a_missing_key_is_reported_before_any_request(tmp_path, capsys):
    """Guards against a run in which each request lacks its key."""
    path = tmp_path / 'plan.toml'
    path.write_text(plan_text())
    assert main(['--settings', str(path)]) == 2
    assert 'MAPS_KEY' in capsys.readouterr().err


@pytest.mark.parametrize('retry', ['honour', 'hard'])
def test_refused_requests_are_retried_as_the_plan_says(retry):
    """Guards against retries that are not counted, or never made."""
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    with run_scripted_server(REFUSAL, REFUSAL, answer) as server:
        plan = plan_with(
            port=server.port,
            duration_s=0.03,
            check_echo='false',
            team_extra=f'retry = "{retry}"\nretry_limit = 2',
        )
        counts = run_load(plan, {}, 'run').groups['maps', 'high']
    assert (counts.offered, counts.attempts) == (1, 3)
    assert counts.refusals == {'shed not-run': 2}
    assert counts.completions == {'answered': 1}


def test_a_client_gives_up_after_its_last_retry():
    """Guards against a client that retries at once and never ends the run."""
    with run_scripted_server(REFUSAL, REFUSAL) as server:
        plan = plan_with(
            port=server.port,
            duration_s=0.03,
            team_extra='retry = "hard"\nretry_limit = 1',
        )
        counts = run_load(plan, {}, 'run').groups['maps', 'high']
    assert counts.attempts == 2
    assert counts.completions == {'refused': 1}


def test_latency_counts_from_the_intended_start():
    """Guards against coordinated omission: waiting hidden by the client."""
    results = LoadResults(bucket_s=1)
    group = ('maps', 'high')
    results.record_offered_request(group, 0.5, start_delay_s=2)
    results.record_completion(group, 0.5, AttemptResult('answered'), 3)
    report = results.to_dict()
    assert report['groups'][0]['p50_s'] == pytest.approx(3, rel=0.01)
    assert report['start_delay']['p50_s'] == pytest.approx(2, rel=0.01)


@pytest.mark.parametrize(
    ('headers', 'status', 'body', 'kind'),
    [
        ((('Ebonycleat-Reason', 'shed'),), 503, b'', 'refused'),
        ((), 503, b'', 'error'),
        ((), 404, b'{"query": {"load": "m"}}', 'answered'),
        ((), 200, b'{"query": {"load": "m"}}', 'answered'),
        ((), 200, b'{"query": {"load": "other"}}', 'wrong'),
        ((), 200, b'[]', 'wrong'),
        ((), 200, b'\xff', 'wrong'),
    ],
)
def test_answers_are_distinguished_from_refusals_and_wrong_answers(
    headers,
    status,
    body,
    kind,
):
    """Guards against counting an answer to another request as a success."""
    assert (
        classify_result(TargetResponse(status, headers, body), 'm').kind == kind
    )


def test_a_connection_failure_reports_its_outcome():
    """Guards against unknown outcomes that look like refusals."""
    failure = TargetFailure(TargetFailureKind.BROKEN, Outcome.UNKNOWN, '')
    result = classify_result(failure, '')
    assert (result.reason, result.outcome) == ('client-broken', 'unknown')


@given(
    st.lists(
        st.tuples(st.floats(0, 1e6), st.floats(0, 1e6)),
        max_size=5,
    ),
)
def test_any_curve_can_be_drawn(points):
    """Guards against losing the report of a long run to a drawing error."""
    drawn = plot([Curve('<name>', points)])
    assert '&lt;name&gt;' in drawn
    assert 'nan' not in drawn


@given(st.text())
def test_arbitrary_text_is_reported_as_an_invalid_plan(text):
    """Guards against a traceback from a damaged plan."""
    with pytest.raises(InvalidSettings):
        parse_settings(text, 'plan.toml', LoadPlan)
