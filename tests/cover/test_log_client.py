"""The log client and the log stand-in: offsets, retention, lost answers."""

import contextlib
from concurrent.futures import ThreadPoolExecutor

import cbor2
import pytest
import urllib3
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.log_client import (
    create_http_log_service,
    decode_log_page,
    encode_log_page,
)
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogRecord,
    LogStream,
)
from ebonycleat_tools.log_standin import (
    LogFaults,
    LogListenSettings,
    LogStandinSettings,
    serve_log_standin,
)
from ebonycleat_tools.log_store import LogStore
from tests.scripted_server import find_free_port, run_scripted_server

TIMEOUT_S = 30


@contextlib.contextmanager
def run_log_service(**faults):
    settings = LogStandinSettings(
        listen=LogListenSettings(port=0, threads=4),
        log=LogFaults(**faults),
    )
    with serve_log_standin(settings) as port:
        base_url = f'http://127.0.0.1:{port}'
        service = create_http_log_service(base_url, TIMEOUT_S)
        try:
            yield service
        finally:
            service.close()


def append_records(service, count):
    return [
        service.append(LogStream.OWNERSHIP, b'claim', f'operation-{number}')
        for number in range(count)
    ]


def test_no_offset_is_used_in_a_log_that_was_restored_from_an_older_copy():
    """Guards against a page that proves that nothing was claimed since."""
    with run_log_service() as service:
        append_records(service, 3)
        control(service, restore_copy_age_s=3600)
        with pytest.raises(StorageUnavailable):
            service.read(LogStream.OWNERSHIP, 4, 10, 0)
        with pytest.raises(StorageUnavailable):
            append_records(service, 1)
        state = urllib3.request('GET', f'{service.base_url}/control').json()
    assert state['era'] == 1
    assert state['streams']['ownership']['next_offset'] == 1


def test_a_read_that_waits_while_the_log_is_restored_brings_nothing():
    """Guards against records at offsets that were given out twice."""
    with run_log_service() as service, ThreadPoolExecutor(1) as executor:
        append_records(service, 2)
        waiting = executor.submit(
            service.read, LogStream.OWNERSHIP, 3, 10, TIMEOUT_S / 2
        )
        control(service, restore_copy_age_s=3600)
        with pytest.raises(StorageUnavailable):
            waiting.result()


def test_a_client_of_the_new_era_uses_the_restored_log():
    """Guards against a log that is never used again."""
    with run_log_service() as service:
        append_records(service, 2)
        control(service, restore_copy_age_s=3600)
        restarted = create_http_log_service(service.base_url, TIMEOUT_S, era=1)
        assert append_records(restarted, 1) == [1]
        assert restarted.read(LogStream.OWNERSHIP, 1, 10, 0).at_end
        restarted.close()


def test_an_append_to_a_log_of_another_era_has_an_unknown_outcome():
    """Guards against a log that does not compare the era itself."""
    answer = (
        b'HTTP/1.1 201 Created\r\nLog-Era: 1\r\nContent-Length: 9\r\n\r\n'
        + cbor2.dumps({'offset': 5})
    )
    with run_scripted_server(answer) as server:
        service = create_http_log_service(
            f'http://127.0.0.1:{server.port}', TIMEOUT_S
        )
        with pytest.raises(WriteOutcomeUnknown):
            append_records(service, 1)
        service.close()


def test_an_offset_after_the_end_of_the_log_is_not_there():
    """Guards against an empty page that looks like the end of the log."""
    store = LogStore(retention_s=3600, appends_per_s=300)
    store.append('members', b'one')
    assert store.read('members', 2, 10, 0).at_end
    with pytest.raises(OffsetExpired):
        store.read('members', 3, 10, 0)


def control(service, **change):
    return urllib3.request(
        'POST',
        f'{service.base_url}/control',
        json=change,
        retries=False,
    )


def append(service, payload=b'record', stream=LogStream.CONFIGURATION):
    return service.append(stream, payload, 'operation-1')


def read(service, offset=1, limit=10, wait_s=0):
    return service.read(LogStream.CONFIGURATION, offset, limit, wait_s)


def test_records_come_back_in_the_order_of_their_offsets():
    """Guards against offsets shared by streams or pages with gaps."""
    with run_log_service() as service:
        offsets = [append(service, bytes([index])) for index in range(3)]
        assert append(service, stream=LogStream.OWNERSHIP) == 1
        first = read(service, limit=2)
        second = read(service, first.next_offset)
    assert offsets == [1, 2, 3]
    assert [record.payload for record in first.records] == [b'\0', b'\1']
    assert not first.at_end
    assert second.records == (LogRecord(3, b'\2'),)
    assert (second.next_offset, second.at_end) == (4, True)


def test_a_waiting_reader_gets_a_later_record():
    """Guards against a long poll that ignores records until its wait ends."""
    with run_log_service() as service, ThreadPoolExecutor() as threads:
        pending_read = threads.submit(read, service, wait_s=TIMEOUT_S)
        append(service)
        page = pending_read.result()
    assert [record.offset for record in page.records] == [1]


def test_an_expired_offset_error_names_the_first_offset_kept():
    """Guards against a node that skips expired changes without a snapshot."""
    with run_log_service() as service:
        append(service)
        control(service, drop_records=True)
        assert append(service) == 2
        with pytest.raises(OffsetExpired) as raised:
            read(service)
    assert raised.value.first_offset == 2


def test_an_append_whose_answer_is_lost_is_unknown_and_stored():
    """Guards against repeating an append that has taken effect."""
    with run_log_service(lose_answers=1) as service:
        with pytest.raises(WriteOutcomeUnknown):
            append(service)
        assert len(read(service).records) == 1
        assert append(service) == 2


def test_a_log_that_refuses_has_appended_nothing():
    """Guards against StorageUnavailable for an append that took effect."""
    with run_log_service(mode='refusing') as service:
        with pytest.raises(StorageUnavailable):
            append(service)
        with pytest.raises(StorageUnavailable):
            read(service)
        control(service, log={'mode': 'up'})
        assert not read(service).records


def test_a_silent_log_leaves_the_outcome_unknown():
    """Guards against treating a closed connection as a refused append."""
    with run_log_service(mode='silent') as service:
        with pytest.raises(WriteOutcomeUnknown):
            append(service)
        with pytest.raises(StorageUnavailable):
            read(service)


def test_appends_over_the_rate_are_refused():
    """Guards against load tests that append faster than the platform allows."""
    with run_log_service(appends_per_s=0) as service:
        with pytest.raises(StorageUnavailable):
            append(service)
        assert not read(service).records


def test_an_unreachable_log_has_appended_nothing():
    """Guards against an outage that leaves every append unknown."""
    service = create_http_log_service(
        f'http://127.0.0.1:{find_free_port()}',
        TIMEOUT_S,
    )
    with pytest.raises(StorageUnavailable):
        append(service)
    with pytest.raises(StorageUnavailable):
        read(service)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\n\xa0',
        b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n',
    ],
)
def test_an_append_without_a_valid_answer_is_unknown(answer):
    """Guards against a proxy's error that is taken for a refused append."""
    with run_scripted_server(answer, closing=True) as server:
        service = create_http_log_service(
            f'http://127.0.0.1:{server.port}',
            TIMEOUT_S,
        )
        with pytest.raises(WriteOutcomeUnknown):
            append(service)


@pytest.mark.parametrize(
    'change',
    [{'log': {'mode': 'off'}}, {'log': {'typo': 1}}, {'typo': 1}],
)
def test_a_wrong_control_request_changes_nothing(change):
    """Guards against tests that run without the fault they requested."""
    with run_log_service() as service:
        assert control(service, **change).status == 400
        assert append(service) == 1


class ManualClock:
    """Clock that advances only when a test changes it."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def test_records_expire_and_the_append_rate_refills_with_time():
    """Guards against retention or rate that differ from their settings."""
    clock = ManualClock()
    store = LogStore(retention_s=10, appends_per_s=2, clock=clock)
    offsets = [store.append('members', b'') for _ in range(3)]
    assert offsets == [1, 2, None]
    clock.now += 0.5
    assert store.append('members', b'') == 3
    clock.now += 10
    page = store.read('members', 3, 10, 0)
    assert (page.first_offset, len(page.records)) == (3, 1)
    with pytest.raises(OffsetExpired):
        store.read('members', 2, 10, 0)


OFFSETS = st.integers(1, 2**60)


@given(OFFSETS, st.lists(st.binary(max_size=20), max_size=5), st.booleans())
def test_a_page_is_unchanged_by_encoding_and_decoding(first, payloads, at_end):
    """Guards against a page that encoding and decoding change."""
    page = LogPage(
        tuple(
            LogRecord(first + index, payload)
            for index, payload in enumerate(payloads)
        ),
        first + len(payloads),
        first,
        at_end,
    )
    assert decode_log_page(encode_log_page(page), first) == page


@given(st.binary(max_size=100))
def test_damaged_bytes_count_as_an_unavailable_log(encoded):
    """Guards against a damaged page whose exception ends the reader."""
    with pytest.raises(StorageUnavailable):
        decode_log_page(encoded, 1)


CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.binary() | st.text(),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=6,
)


@given(
    st.dictionaries(
        st.sampled_from(['records', 'next_offset', 'first_offset', 'at_end']),
        CBOR_VALUES,
    ),
)
def test_a_page_of_the_wrong_shape_is_rejected_or_advances(fields):
    """Guards against a reader that goes back to earlier offsets."""
    try:
        page = decode_log_page(cbor2.dumps(fields), 5)
    except StorageUnavailable:
        return
    assert page.next_offset >= 5


@pytest.mark.parametrize(
    ('offsets', 'next_offset'),
    [((4,), 5), ((6, 6), 7), ((7, 6), 8), ((5, 6), 6), ((), 4)],
)
def test_offsets_that_do_not_increase_are_rejected(offsets, next_offset):
    """Guards against records that are applied twice or out of order."""
    records = tuple(LogRecord(offset, b'') for offset in offsets)
    page = LogPage(records, next_offset, 1, at_end=True)
    with pytest.raises(StorageUnavailable):
        decode_log_page(encode_log_page(page), 5)
