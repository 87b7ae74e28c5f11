"""Figures of load that nodes report to each other."""

import dataclasses
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.mesh_frames import (
    FrameDecoder,
    encode_frame,
)
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    LoadReport,
)
from ebonycleat.internal.process.backpressure import (
    MAX_CALLS_PER_REQUEST,
    AdmissibleShares,
)
from ebonycleat.internal.process.entry_backpressure import EntryBackpressure
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.load_codec import (
    MAX_COUNT,
    MAX_TIME_MS,
    decode_load,
    encode_load,
)
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from tests.mesh_fakes import (
    SERVICE,
    ManualClock,
    create_call,
    create_mesh_gate,
)

ROUTE = 'tile'
REQUESTS_PER_RUN = 2

FIGURES = st.floats(allow_nan=True, allow_infinity=True)
WIRE_FIGURES = st.integers(-(2**63), 2**64 - 1)


def lists_of(count, elements):
    return st.lists(elements, min_size=count, max_size=count)


@dataclasses.dataclass
class OverloadedNode:
    """A node with twice the requests that its target runs, all without a key."""

    clock: ManualClock
    service: str = SERVICE

    def __post_init__(self):
        self.gate = create_mesh_gate(self.clock)
        self.gate.target.service = self.service
        self.gate.backpressure.direct.share = 0.5
        self.entry = EntryBackpressure(self.gate.call_counts)
        self.reporter = self.gate.load_reporter
        self.reporter.overloaded_behind_target = lambda route: (
            self.entry.overloaded_behind_target(route, self.clock())
        )

    def report(self):
        """Return the load that other nodes get with an answer."""
        self.reporter.invalidate()
        return decode_load(self.reporter.report_for_route(ROUTE))

    def send_to(self, other):
        """Send requests of callers to a node and take its answers."""
        for _ in range(REQUESTS_PER_RUN):
            call = create_call(
                self.clock, route=other.service, service=other.service, depth=1
            )
            request = AdmittedRequest(call, 'id', 'host', b'', 2, call.deadline)
            self.entry.record_call(request, self.clock())
            self.entry.record_shares(
                request, other.report().shares, self.clock()
            )
        other.gate.call_counts.record_run(ROUTE, self.clock())


def play(nodes, steps=400):
    """Let all nodes send to all of them, itself included."""
    for _ in range(steps):
        for node in nodes:
            for other in nodes:
                node.send_to(other)
        nodes[0].clock.now += 0.05


def test_a_service_is_not_reported_as_behind_itself():
    """Guards against a figure that grows with each answer without end.

    Requests without a key count as calls of the node's own target. The figure
    outgrew what a message can hold, and the error closed callers' connections.
    """
    node = OverloadedNode(ManualClock())
    play([node])
    assert [shares.calls for shares in node.report().shares] == [1]


def test_services_that_seem_to_call_each_other_report_bounded_figures():
    """Guards against the same growth in a circle of several services."""
    clock = ManualClock()
    nodes = [OverloadedNode(clock, f'service-{number}') for number in range(3)]
    play(nodes)
    for node in nodes:
        shares = node.report().shares
        assert {one.service for one in shares} == {
            other.service for other in nodes
        }
        assert max(one.calls for one in shares) <= MAX_CALLS_PER_REQUEST


@given(
    counts=lists_of(4, st.integers(0, MAX_COUNT)),
    share=lists_of(3, FIGURES),
    times=lists_of(3, FIGURES),
)
def test_every_load_can_be_sent_and_is_received_in_range(counts, share, times):
    """Guards against a figure whose encoding fails within an answer."""
    latency_s, *pace_and_service_s = times
    load = GateLoad(
        *counts[:3],
        latency_s,
        counts[3],
        False,
        (AdmissibleShares('deep', *share),),
        *pace_and_service_s,
    )
    refusal = CallRefusal(1, 'shed', True, 0, encode_load(load))
    received = FrameDecoder().feed(encode_frame(refusal))
    check_load(decode_load(received[0].load))


@given(
    counts=lists_of(5, WIRE_FIGURES),
    share=lists_of(2, WIRE_FIGURES),
    calls=WIRE_FIGURES,
    times=lists_of(2, WIRE_FIGURES),
)
def test_figures_of_another_version_are_taken_in_range(
    counts, share, calls, times
):
    """Guards against figures that are passed on whatever they are."""
    report = LoadReport(*counts, False, (('deep', *share),), (calls,), *times)
    check_load(decode_load(report))


def check_load(load):
    """Check that no figure is outside of its range."""
    counts = (load.queued, load.running, load.limit, load.admission_level)
    assert all(0 <= count <= MAX_COUNT for count in counts)
    assert 0 <= load.latency_s <= MAX_TIME_MS / 1000
    assert 0 <= load.service_s <= MAX_TIME_MS / 1000
    assert math.isfinite(load.pace) and load.pace > 0
    for shares in load.shares:
        assert 0 <= shares.direct <= 1
        assert 0 <= shares.called <= 1
        assert 0 <= shares.calls <= MAX_CALLS_PER_REQUEST


@pytest.mark.parametrize('calls', [0.25, 1, 7.5])
def test_usual_figures_are_received_as_they_were_sent(calls):
    """Guards against limits that change a load which is in range."""
    shares = (AdmissibleShares('deep', 0.5, 0.25, calls),)
    load = GateLoad(3, 2, 4, 0.5, 1280, True, shares, 1.5, 0.125)
    assert decode_load(encode_load(load)) == load
