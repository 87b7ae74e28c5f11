"""Counters, mergeable latency histograms and JSON log lines of a node."""

import io
import json
import logging
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.errors import MalformedMessage
from ebonycleat.internal.process.logging_setup import (
    JsonLineFormatter,
    set_up_logging,
)
from ebonycleat.internal.process.metrics import (
    MAX_COUNTER_NAMES,
    EncodedHistogram,
    LatencyHistograms,
    create_counters,
)
from ebonycleat.internal.process.settings import StatsdSettings
from ebonycleat.internal.request.call import Priority
from tests.scripted_server import find_free_port

LATENCIES_S = st.lists(st.floats(0, 1000), min_size=1, max_size=50)


def test_counters_arrive_summed_and_with_safe_names():
    """Guards against a team name that splits or forges a statsd line."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        settings = StatsdSettings(
            host='127.0.0.1',
            port=server.getsockname()[1],
        )
        metrics = create_counters(settings)
        metrics.count('refused', 'over-rate', 'a:b\nc|d.e')
        metrics.count('refused', 'over-rate', 'a:b\nc|d.e', amount=2)
        metrics.close()
        datagram = server.recv(2000)
    assert datagram == b'ebonycleat.refused.over-rate.a_b_c_d_e:3|c'


def test_an_absent_statsd_server_causes_no_error():
    """Guards against a node that fails because its statsd server is down."""
    settings = StatsdSettings(host='127.0.0.1', port=find_free_port())
    metrics = create_counters(settings)
    for index in range(3):
        metrics.count('name', amount=index)
        metrics.flush()
    metrics.close()
    assert metrics.totals == {'name': 3}


def test_the_number_of_counter_names_is_bounded():
    """Guards against names made from request data filling the memory."""
    metrics = create_counters(None)
    for index in range(MAX_COUNTER_NAMES + 5):
        metrics.count('name', str(index))
    assert metrics.totals['metrics.names_dropped'] == 5
    assert len(metrics.totals) == MAX_COUNTER_NAMES + 1


@given(LATENCIES_S, LATENCIES_S)
def test_merged_histograms_equal_one_histogram_of_all(first, second):
    """Guards against percentiles that depend on where calls were counted."""
    combined, left, right = (LatencyHistograms() for _ in range(3))
    for latency_s in first:
        combined.record('maps', Priority.HIGH, latency_s)
        left.record('maps', Priority.HIGH, latency_s)
    for latency_s in second:
        combined.record('maps', Priority.HIGH, latency_s)
        right.record('maps', Priority.HIGH, latency_s)
    left.merge(right.export())
    assert left.summarise() == combined.summarise()
    assert left.summarise()[0].count == len(first) + len(second)


@given(st.binary(max_size=200))
def test_a_damaged_histogram_is_rejected(encoded):
    """Guards against a peer's damaged message ending the event loop."""
    part = EncodedHistogram('maps', Priority.HIGH, encoded)
    with pytest.raises(MalformedMessage):
        LatencyHistograms().merge([part])


def test_latencies_are_reported_in_seconds():
    """Guards against a report that is wrong by a power of ten."""
    histograms = LatencyHistograms()
    histograms.record('maps', Priority.HIGH, 0.25)
    assert histograms.summarise()[0].p50_s == pytest.approx(0.25, rel=0.01)


def test_log_lines_are_json_with_their_fields():
    """Guards against a field that breaks the line format."""
    stream = io.StringIO()
    handler = set_up_logging('INFO', 'vm-1', stream)
    logger = logging.getLogger('test')
    logger.info('lease lost\n', extra={'slot': object(), 'epoch': 3})
    logger.debug('not shown')
    logging.getLogger().removeHandler(handler)
    line = json.loads(stream.getvalue())
    assert line['event'] == 'lease lost\n'
    assert (line['process'], line['epoch']) == ('vm-1', 3)
    assert 'object' in line['slot']


def test_an_exception_is_part_of_its_line():
    """Guards against tracebacks that split a log record into several lines."""
    record = logging.makeLogRecord({
        'msg': 'failed',
        'exc_info': (ValueError, ValueError('bad'), None),
    })
    line = json.loads(JsonLineFormatter('vm-1').format(record))
    assert 'ValueError: bad' in line['error']
