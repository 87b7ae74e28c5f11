"""The target stand-in, on whose faults and counters other tests rely."""

import contextlib
import json
import random
import threading

import pytest
import urllib3

from ebonycleat.internal.connection.target_client import (
    TargetFailureKind,
    create_target_client,
)
from ebonycleat_tools.target_calls import DownstreamCall
from ebonycleat_tools.target_standin import (
    CRASH_EXIT_CODE,
    TargetListenSettings,
    TargetStandinSettings,
    serve_target_standin,
)
from ebonycleat_tools.target_work import TargetBehaviour, TargetSimulation

AMPLE_TIMEOUT_S = 30
LONG_S = 600


@contextlib.contextmanager
def run_target(exit_process=int, settings=None, **behaviour):
    settings = settings or TargetStandinSettings(
        listen=TargetListenSettings(port=0),
        target=TargetBehaviour(**behaviour),
    )
    with (
        serve_target_standin(settings, exit_process) as port,
        create_target_client('127.0.0.1', port, 4) as client,
    ):
        yield client


def send(client, path='/maps', body=b'', headers=(), timeout_s=AMPLE_TIMEOUT_S):
    return client.send('POST', path, headers, body, timeout_s)


def decode_json(answer):
    return json.loads(answer.body)


def stats(client):
    return decode_json(send(client, '/control/stats'))


def control(client, **changes):
    return send(client, '/control', json.dumps(changes).encode())


def test_runs_are_counted_by_path_and_idempotency_key():
    """Guards against a request that runs twice without any test noticing."""
    key = (('Idempotency-Key', 'renewal-1'),)
    with run_target() as client:
        echo = decode_json(send(client, '/maps?x=1', b'abc', key))
        send(client, '/tiles', headers=key)
        counted = stats(client)
    assert counted['runs_by_path'] == {'/maps': 1, '/tiles': 1}
    assert counted['runs_by_key'] == {'renewal-1': 2}
    assert counted['counts'] == {'started': 2, 'finished': 2}
    assert (echo['body'], echo['query']) == ('abc', {'x': '1'})
    assert echo['headers']['idempotency-key'] == 'renewal-1'


def test_a_draining_target_refuses_new_work_until_draining_ends():
    """Guards against drain tests in which nothing drains."""
    with run_target() as client:
        control(client, draining=True)
        assert send(client).status == 503
        control(client, draining=False)
        assert send(client).status == 200
        assert stats(client)['counts']['refused_draining'] == 1


@pytest.mark.parametrize(
    ('marker', 'kind'),
    [
        ('truncate', TargetFailureKind.TRUNCATED),
        ('break', TargetFailureKind.BROKEN),
    ],
)
def test_markers_damage_the_answer_of_one_request(marker, kind):
    """Guards against fault tests in which the target stays healthy."""
    with run_target() as client:
        in_body = send(client, body=f'standin:{marker}'.encode())
        in_query = send(client, f'/maps?standin={marker}')
        after = send(client)
    assert in_body.kind is kind
    assert in_query.kind is kind
    assert after.status == 200


def test_a_crash_marker_ends_the_process():
    """Guards against crash tests in which nothing crashes."""
    codes = []
    with run_target(codes.append) as client:
        send(client, body=b'standin:crash')
    assert codes == [CRASH_EXIT_CODE]


@pytest.mark.parametrize(
    'name',
    ['Ebonycleat-Deadline-Ms', 'Ebonycleat-Timeout-Ms'],
)
def test_work_ends_at_the_deadline_of_the_caller(name):
    """Guards against slots held for callers that no longer wait."""
    headers = ((name, '1'),)
    with run_target(mean_s=LONG_S) as client:
        assert send(client, headers=headers).status == 504
        assert stats(client)['counts']['out_of_time'] == 1


def test_work_ends_when_the_client_disconnects():
    """Guards against slots held after the caller has gone."""
    finished = threading.Event()
    with run_target(mean_s=LONG_S) as client:
        late = send(client, timeout_s=0.05)
        assert late.kind is TargetFailureKind.TIMED_OUT
        while not stats(client)['counts'].get('cancelled'):
            finished.wait(0.01)
        assert stats(client)['running'] == 0


def test_the_health_endpoint_can_be_set_to_mislead():
    """Guards against decisions that trust a misleading health endpoint."""
    with run_target(health='always-bad') as client:
        assert send(client, '/health').status == 503
        control(client, health='always-good', draining=True)
        assert send(client, '/health').status == 200
        control(client, health='true')
        assert send(client, '/health').status == 503
        assert control(client, typo=1).status == 400


def test_downstream_calls_forward_the_context_and_a_failed_one_fails_the_run():
    """Guards against a call tree whose deeper calls lose their priority."""
    context = (('Ebonycleat-Context', 'opaque-1'),)
    with run_target() as downstream:
        settings = TargetStandinSettings(
            listen=TargetListenSettings(port=0),
            node=f'http://127.0.0.1:{downstream.pool.port}',
            calls=(
                DownstreamCall(path='/deeper'),
                DownstreamCall(path='/x?standin=fail'),
            ),
        )
        with run_target(settings=settings) as client:
            answer = send(client, headers=context)
        echo = decode_json(answer)
        assert stats(downstream)['runs_by_path'] == {'/deeper': 1, '/x': 1}
    assert answer.status == 502
    assert [made['status'] for made in echo['calls']] == [200, 500]
    assert echo['headers']['ebonycleat-context'] == 'opaque-1'


def test_downstream_calls_to_an_absent_node_are_reported():
    """Guards against a traceback when the node stops before its target."""
    settings = TargetStandinSettings(
        listen=TargetListenSettings(port=0),
        node='http://127.0.0.1:1',
        calls=(DownstreamCall(path='/deeper'),),
        on_call_failure='ignore',
    )
    with run_target(settings=settings) as client:
        answer = send(client)
    assert answer.status == 200
    assert decode_json(answer)['calls'][0]['reason'] == 'NewConnectionError'


class ManualClock:
    def __init__(self):
        self.now = 0

    def __call__(self):
        return self.now


def create_work(clock, **behaviour):
    return TargetSimulation(
        TargetBehaviour(**behaviour), random.Random(1), clock
    )


def test_slots_bound_the_running_work():
    """Guards against a target that hides overload in a queue."""
    work = create_work(ManualClock(), slots=2)
    assert [work.start('/x', '') for _ in range(3)] == [True, True, False]
    work.finish('finished')
    assert work.start('/x', '')
    assert work.stats()['counts'] == {'started': 3, 'shed': 1, 'finished': 1}
    assert work.stats()['most_running'] == 2


def test_a_lagging_health_endpoint_reports_past_values():
    """Guards against lag tests that see current values."""
    clock = ManualClock()
    work = create_work(clock, health_lag_s=5)
    clock.now = 10
    work.start('/x', '')
    assert work.health()['running'] == 0
    clock.now = 15
    assert work.health()['running'] == 1


@pytest.mark.parametrize('distribution', ['exponential', 'lognormal'])
def test_service_times_have_the_configured_mean_and_a_cold_start(distribution):
    """Guards against capacity figures based on wrong service times."""
    clock = ManualClock()
    work = create_work(
        clock,
        distribution=distribution,
        mean_s=0.1,
        cold_start_s=1,
        cold_factor=3,
    )
    clock.now = 2
    drawn = [work.draw_service_time_s() for _ in range(4000)]
    assert sum(drawn) / len(drawn) == pytest.approx(0.1, rel=0.1)
    clock.now = 0
    fixed = create_work(clock, mean_s=0.1, cold_start_s=1, cold_factor=3)
    assert fixed.draw_service_time_s() == pytest.approx(0.3)


def test_the_control_endpoint_can_be_used_without_a_node():
    """Guards against a control endpoint that only works through a node."""
    with run_target() as client:
        url = f'http://127.0.0.1:{client.pool.port}/control'
        answer = urllib3.request('GET', url, retries=False)
    assert answer.json()['slots'] == 16
