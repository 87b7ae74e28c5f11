"""Decoding of the formats of the platform into the types of this project."""

import base64
import copy
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat import Reason
from ebonycleat.internal.connection.errors import (
    InvalidConfiguration,
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    find_header,
)
from ebonycleat.internal.connection.platform_interfaces import (
    CallerRequest,
    InvalidControlMessage,
    StoreTopic,
    TargetDeregistration,
    TargetHeartbeat,
    TargetRequest,
    TargetState,
    TopicPage,
)
from ebonycleat.internal.process.settings_file import InvalidSettings
from ebonycleat.internal.request.refusal import (
    refuse_not_run,
    refuse_outcome_unknown,
)
from ebonycleat.internal.version.mesh_configuration import RouteKind
from ebonycleat.platform import load_platform_settings
from ebonycleat.platform.caller_protocol import PlatformCallerProtocol
from ebonycleat.platform.configuration_format import PlatformConfigurationFormat
from ebonycleat.platform.control_protocol import PlatformControlProtocol
from ebonycleat.platform.store import PlatformStore
from ebonycleat.platform.target_protocol import PlatformTargetProtocol
from tests.loopback_http import run_with_timeout
from tests.platform_examples import (
    BOOT_SETTINGS,
    CONFIGURATION,
    HEARTBEAT,
    ScriptedPool,
    create_heartbeat_request,
    create_request,
    encode_json,
    json_response,
)

JSON_TREES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def replace_at_path(tree, path, value):
    """Return a copy of a tree with another value at a path."""
    copied = copy.deepcopy(tree)
    inner = copied
    *parents, last = path
    for key in parents:
        inner = inner[key]
    inner[last] = value
    return copied


PATHS_OF_HEARTBEAT = (
    ('born',),
    ('address',),
    ('info',),
    ('info', 'service'),
    ('info', 'slots'),
    ('status',),
    ('status', 'state'),
    ('status', 'seq'),
)


def test_every_part_of_a_configuration_is_decoded():
    """Guards against fields that are decoded with another meaning."""
    configuration = PlatformConfigurationFormat().parse_configuration(
        encode_json(CONFIGURATION)
    )
    assert configuration.version == 12
    fetch, renew = configuration.routes
    assert fetch.host == 'maps.example'
    assert [
        (part.service, part.weight) for part in fetch.weighted_services
    ] == [
        ('maps', 90),
        ('maps-new', 10),
    ]
    assert fetch.is_idempotent
    assert not renew.is_idempotent
    assert renew.is_open_to_all
    assert renew.weighted_services[0].service == 'billing'
    shop, free = configuration.teams
    assert (shop.keys, shop.rate_per_s, shop.burst) == (('k1', 'k2'), 60, 61)
    assert free.rate_per_s == 0
    assert configuration.limits.max_body_bytes == 1000


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        (('version',), '12'),
        (('version',), 12),
        (('routes',), []),
        (('routes', 'r-map', 'routeType'), None),
        (('routes', 'r-map', 'routeType'), ['idempotent']),
        (('routes', 'r-map', 'attempts'), 0),
        (('routes', 'r-map', 'timeoutS'), -1),
        (('tenants', 'shop', 'apiKeys'), 'k1'),
    ],
)
def test_an_invalid_configuration_record_is_refused_with_its_place(path, value):
    """Guards against putting a partly decoded configuration in force.

    The error says where the record is invalid, down to the entry of a table.
    """
    tree = replace_at_path(CONFIGURATION, path, value)
    with pytest.raises(InvalidConfiguration) as raised:
        PlatformConfigurationFormat().parse_configuration(encode_json(tree))
    assert '.'.join(path[:2]) in str(raised.value)


@given(st.binary() | JSON_TREES.map(encode_json))
def test_no_bytes_make_the_configuration_parser_fail(record):
    """Guards against a record that crashes a node."""
    with pytest.raises(InvalidConfiguration) as raised:
        PlatformConfigurationFormat().parse_configuration(record)
    assert str(raised.value)


@pytest.mark.parametrize(
    ('word', 'kind'),
    [
        ('idempotent', RouteKind.IDEMPOTENT),
        ('non_idempotent', RouteKind.NON_IDEMPOTENT),
        ('upload', RouteKind.UPLOAD),
        ('sometimes', RouteKind.UNKNOWN),
        ('', RouteKind.UNKNOWN),
    ],
)
def test_only_routes_known_to_be_idempotent_may_run_twice(word, kind):
    """Guards against a kind of route that makes a whole configuration void.

    A kind of a later version must not run twice and must not be refused.
    """
    tree = replace_at_path(
        CONFIGURATION, ('routes', 'r-map', 'routeType'), word
    )
    configuration = PlatformConfigurationFormat().parse_configuration(
        encode_json(tree)
    )
    assert configuration.routes[0].kind is kind
    assert configuration.routes[0].is_idempotent is (word == 'idempotent')
    is_unknown = kind is RouteKind.UNKNOWN
    assert configuration.unknown_kinds == ((('r-map', word),) * is_unknown)


def test_only_the_newest_record_with_the_configuration_key_is_selected():
    """Guards against selecting records of other keys or replaced records."""
    page = TopicPage(
        (('config', b'old'), ('other', b'x'), ('config', b'new')),
        3,
        3,
    )
    assert PlatformConfigurationFormat().select_newest_record(page) == b'new'


def test_a_heartbeat_is_decoded():
    """Guards against targets whose heartbeats are never recognised."""
    assert PlatformControlProtocol().parse_message(
        create_heartbeat_request()
    ) == TargetHeartbeat(
        'i-1',
        'maps',
        40,
        TargetState.READY,
        1700000000000,
        4,
        0,
    )


@pytest.mark.parametrize(
    ('body', 'started_ms'),
    [(b'', 0), (b'{"born": 7}', 7)],
)
def test_a_deregistration_is_decoded(body, started_ms):
    """Guards against targets whose departure goes unnoticed."""
    message = PlatformControlProtocol().parse_message(
        create_request('DELETE', '/instances/i-1', body),
    )
    assert message == TargetDeregistration('i-1', started_ms)


@pytest.mark.parametrize('path', PATHS_OF_HEARTBEAT)
@given(value=JSON_TREES)
def test_a_heartbeat_with_any_other_value_is_decoded_or_rejected(path, value):
    """Guards against a heartbeat of an unknown format that crashes a node."""
    control = PlatformControlProtocol()
    message = control.parse_message(
        create_heartbeat_request(replace_at_path(HEARTBEAT, path, value))
    )
    assert isinstance(message, (TargetHeartbeat, InvalidControlMessage))
    assert control.render_acknowledgement(message).status in {200, 400}


@given(
    st.sampled_from(['PUT', 'DELETE', 'GET']),
    st.text(max_size=20),
    st.binary(),
)
def test_no_message_makes_the_control_parser_fail(method, path, body):
    """Guards against bytes that cannot be decoded and crash a node."""
    PlatformControlProtocol().parse_message(
        create_request(method, f'/instances/{path}', body)
    )


def caller_headers(changes):
    headers = {
        'host': 'Maps.example:80',
        'x-request-id': 'root.child',
        'x-deadline-ms': '2500',
        'authorization': 'Bearer k1',
        'x-tenant-id': 'forged',
        'x-caller-service': 'forged',
        'x-expected-instance': 'forged',
        'accept': 'text/plain',
    }
    headers.update(changes)
    return tuple((name, text) for name, text in headers.items() if text)


def read_caller(changes=()):
    return PlatformCallerProtocol().parse_request(
        create_request(
            'GET', '/map/1?a=b', headers=caller_headers(dict(changes))
        ),
    )


def test_the_request_of_a_caller_is_decoded():
    """Guards against forwarding keys or forged headers."""
    caller_request = read_caller()
    assert caller_request == CallerRequest(
        'root.child',
        'maps.example',
        '/map/1',
        2.5,
        'k1',
        (('accept', 'text/plain'),),
        ('root',),
    )


@pytest.mark.parametrize('text', ['', 'soon', 'nan', 'inf', '-1', '1e99'])
def test_an_invalid_deadline_counts_as_none(text):
    """Guards against deadlines such as NaN that break comparisons."""
    assert read_caller({'x-deadline-ms': text}).timeout_s is None


@pytest.mark.parametrize('name', ['x-request-id', 'host'])
def test_a_request_without_id_or_host_is_refused(name):
    """Guards against requests that cannot be traced or routed."""
    assert read_caller({name: ''}).reason is Reason.BAD_REQUEST


@given(
    st.lists(
        st.tuples(st.sampled_from(list(dict(caller_headers({})))), st.text())
    ),
)
def test_no_headers_make_the_request_parser_fail(headers):
    """Guards against a caller whose headers crash a node."""
    PlatformCallerProtocol().parse_request(
        create_request('GET', '/x', headers=headers)
    )


@pytest.mark.parametrize(
    ('refusal', 'status'),
    [
        (refuse_not_run(Reason.OVER_RATE, '', 0.5), 429),
        (refuse_not_run(Reason.DEADLINE, '', 0.5), 503),
        (refuse_not_run(Reason.UNKNOWN_KEY), 401),
        (refuse_not_run(Reason.NO_ROUTE), 404),
        (refuse_outcome_unknown(Reason.DEADLINE), 504),
        (refuse_outcome_unknown(Reason.CONNECTION_LOST), 502),
    ],
)
def test_statuses_match_the_outcomes_they_stand_for(refusal, status):
    """Guards against "not run" for what may have run, and the reverse."""
    answer = PlatformCallerProtocol().render_refusal('id', refusal)
    assert answer.status == status
    has_retry_after = bool(find_header(answer.headers, 'retry-after'))
    assert has_retry_after is (refusal.retry_after_s > 0)


@pytest.mark.parametrize('reason', list(Reason))
def test_an_unknown_outcome_never_gets_a_status_that_means_not_run(reason):
    """Guards against a reason whose status promises that nothing ran."""
    answer = PlatformCallerProtocol().render_refusal(
        'id',
        refuse_outcome_unknown(reason),
    )
    assert answer.status not in {408, 421, 429, 503}


def test_a_target_gets_the_headers_of_the_node_and_of_the_caller():
    """Guards against requests without their team, caller or instance."""
    headers = PlatformTargetProtocol().render_headers(
        TargetRequest('id', 'h', 1.25, 'i-1', 'shop', 'web', (('a', 'b'),)),
    )
    assert dict(headers) == {
        'host': 'h',
        'x-request-id': 'id',
        'x-deadline-ms': '1250',
        'x-expected-instance': 'i-1',
        'x-caller-service': 'web',
        'x-tenant-id': 'shop',
        'a': 'b',
    }


@pytest.mark.parametrize(
    ('status', 'headers', 'has_not_run'),
    [
        (200, (), False),
        (503, (), False),
        (503, (('x-not-executed', '1'),), True),
        (421, (), True),
        (500, (), False),
    ],
)
def test_only_an_explicit_response_of_the_target_means_not_run(
    status, headers, has_not_run
):
    """Guards against treating every 503 as a promise that nothing ran."""
    report = PlatformTargetProtocol().parse_response(
        HttpResponse(status, headers)
    )
    assert report.has_not_run is has_not_run


def test_headers_that_only_nodes_need_are_removed_from_an_answer():
    """Guards against sending headers between zones that no caller reads."""
    report = PlatformTargetProtocol().parse_response(
        HttpResponse(
            200,
            (('x-server-signature', 's'), ('x-upstream-load', '1,0,4')),
            b'body',
        ),
    )
    assert report.response.headers == (('x-server-signature', 's'),)


@pytest.mark.parametrize(
    ('named', 'is_own'),
    [('id', True), ('', True), ('other', False)],
)
def test_an_answer_is_matched_to_its_request_by_the_id(named, is_own):
    """Guards against an answer that belongs to another request."""
    headers = (('x-request-id', named),) if named else ()
    protocol = PlatformTargetProtocol()
    assert protocol.is_response_to('id', headers) is is_own
    assert protocol.names_request('id', headers) is (named == 'id')


def framed_response(*records, end_offset=7):
    body = end_offset.to_bytes(8, 'big') + bytes(8)
    for key, value in records:
        keyed = bytes((len(key),)) + key + value
        body += len(keyed).to_bytes(4, 'big') + keyed
    return HttpResponse(200, (), body)


def test_newest_records_are_read_page_by_page():
    """Guards against missing the keys after the first page."""
    value = base64.b64encode(b'v').decode()
    pool = ScriptedPool(
        json_response({
            'items': [{'key': 'a', 'value': value, 'offset': 1}],
            'more': True,
            'end': 7,
        }),
        json_response({'items': [{'key': 'b'}], 'more': False, 'end': 9}),
    )
    store = PlatformStore(pool, 'store')
    page = run_with_timeout(store.read_newest(StoreTopic.CONFIGURATION))
    assert page == TopicPage((('a', b'v'), ('b', b'')), 7, 7)
    assert b'after=a' in pool.requests[1]


def test_changes_are_read_from_an_offset():
    """Guards against records that are skipped or read twice."""
    pool = ScriptedPool(
        framed_response((b'a', b'v'), (b'b', b''), end_offset=9)
    )
    page = run_with_timeout(
        PlatformStore(pool, 's').wait_for_changes(StoreTopic.MEMBERS, 5, 1),
    )
    assert page == TopicPage((('a', b'v'), ('b', b'')), 7, 9)
    assert b'from=5&waitMs=1000' in pool.requests[0]


@pytest.mark.parametrize(
    ('answer', 'error'),
    [
        (json_response({'first': 9}, 410), OffsetExpired),
        (json_response({}, 503), StorageUnavailable),
        (json_response({}, 429), StorageUnavailable),
        (HttpResponse(200, (), b'short'), StorageUnavailable),
        (
            HttpResponse(200, (), b'\0' * 16 + b'\0\0\0\x09abc'),
            StorageUnavailable,
        ),
        (HttpResponse(200, (), b'\0' * 20), StorageUnavailable),
    ],
)
def test_refusals_and_malformed_answers_of_the_store_are_errors(answer, error):
    """Guards against taking a failed read as proof of a current state."""
    store = PlatformStore(ScriptedPool(answer), 's')
    with pytest.raises(error):
        run_with_timeout(store.wait_for_changes(StoreTopic.CONFIGURATION, 0, 1))


@given(st.binary())
def test_no_bytes_of_the_store_raise_another_error(body):
    """Guards against an answer of the store that crashes a node."""
    store = PlatformStore(ScriptedPool(HttpResponse(200, (), body)), 's')
    try:
        run_with_timeout(store.wait_for_changes(StoreTopic.CONFIGURATION, 0, 1))
    except StorageUnavailable:
        return


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (500, WriteOutcomeUnknown),
        (502, WriteOutcomeUnknown),
        (504, WriteOutcomeUnknown),
        (503, StorageUnavailable),
        (429, StorageUnavailable),
        (507, StorageUnavailable),
    ],
)
def test_a_write_has_had_no_effect_only_if_the_store_says_so(status, error):
    """Guards against taking a failed write for one without effect."""
    store = PlatformStore(ScriptedPool(json_response({}, status)), 's')
    with pytest.raises(error):
        run_with_timeout(store.write(StoreTopic.MEMBERS, 'n1', b'record'))


@pytest.mark.parametrize('text', ['a', '=', 'é', '****='])
def test_records_in_damaged_base64_are_an_error_of_the_store(text):
    """Guards against a damaged page that ends the task of the reader."""
    pool = ScriptedPool(
        json_response({'items': [{'key': 'a', 'value': text}], 'end': 1})
    )
    with pytest.raises(StorageUnavailable):
        run_with_timeout(
            PlatformStore(pool, 's').read_newest(StoreTopic.MEMBERS)
        )


def test_a_record_that_is_shorter_than_its_key_is_skipped():
    """Guards against a record that is taken for one with a shorter key."""
    records = b'\0\0\0\3\5ab' + b'\0\0\0\3\1bv'
    body = bytes(16) + records
    store = PlatformStore(ScriptedPool(HttpResponse(200, (), body)), 's')
    page = run_with_timeout(store.wait_for_changes(StoreTopic.MEMBERS, 5, 1))
    assert page == TopicPage((('b', b'v'),), 7, 0)


def test_a_write_whose_answer_has_no_offset_may_have_had_an_effect():
    """Guards against a write that is taken for confirmed at no position."""
    store = PlatformStore(ScriptedPool(json_response({'end': 6})), 's')
    with pytest.raises(WriteOutcomeUnknown):
        run_with_timeout(store.write(StoreTopic.MEMBERS, 'n1', b'record'))


def test_calls_of_the_store_share_no_connection():
    """Guards against an answer that is taken for that of the next call.

    Answers of the store name no call, so a late copy cannot be recognised.
    """
    appended = json_response({'offset': 5, 'end': 6})
    pool = ScriptedPool(framed_response(), appended)
    store = PlatformStore(pool, 's')
    run_with_timeout(store.wait_for_changes(StoreTopic.MEMBERS, 5, 1))
    run_with_timeout(store.write(StoreTopic.MEMBERS, 'n1', b'record'))
    assert len(pool.requests) == 2
    assert not pool.shares_connections


def write_settings(folder, tree):
    path = folder / 'node.json'
    path.write_text(json.dumps(tree))
    return path


def test_settings_are_decoded_and_unknown_keys_ignored(tmp_path):
    """Guards against failing when the platform adds a settings key."""
    settings = load_platform_settings(write_settings(tmp_path, BOOT_SETTINGS))
    assert settings.callers.host_port == '10.1.0.26:8548'
    assert settings.peers.host_port == '10.1.0.26:7000'
    assert settings.mesh_limits.key_withdrawal_s == 5


def test_keys_have_no_withdrawal_limit_if_operators_disable_it(tmp_path):
    """Guards against refusals that the operators have switched off."""
    tree = replace_at_path(BOOT_SETTINGS, ('bounds', 'revokeFailClosed'), False)
    settings = load_platform_settings(write_settings(tmp_path, tree))
    assert settings.mesh_limits.key_withdrawal_s is None


@pytest.mark.parametrize(
    ('path', 'value', 'expected_texts'),
    [
        (('appAddr',), 'nowhere', ('appAddr', 'HOST:PORT')),
        (('listen', 'ready'), None, ('listen.ready', 'nothing')),
        (('bounds', 'graceS'), -1, ('bounds.graceS', '-1')),
        (('bounds', 'propagationS'), 0, ('bounds.propagationS', '0')),
        (('internalPortRange',), [], ('internalPortRange',)),
    ],
)
def test_wrong_settings_name_file_key_and_what_is_allowed(
    tmp_path,
    path,
    value,
    expected_texts,
):
    """Guards against a node that starts with half of its settings."""
    settings_file = write_settings(
        tmp_path, replace_at_path(BOOT_SETTINGS, path, value)
    )
    with pytest.raises(InvalidSettings) as raised:
        load_platform_settings(settings_file)
    for expected_text in (str(settings_file), *expected_texts):
        assert expected_text in str(raised.value)


@given(JSON_TREES)
def test_no_settings_tree_raises_another_error(tmp_path_factory, tree):
    """Guards against a traceback instead of an error message."""
    settings_file = write_settings(tmp_path_factory.mktemp('boot'), tree)
    with pytest.raises(InvalidSettings):
        load_platform_settings(settings_file)
