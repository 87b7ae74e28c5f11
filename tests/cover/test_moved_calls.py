"""A call that would start too late moves once, and runs at most once."""

import asyncio
import random

import pytest

from ebonycleat import Answer, Reason
from ebonycleat.internal.connection.mesh_link import MeshLink
from ebonycleat.internal.connection.mesh_frames import (
    FrameDecoder,
)
from ebonycleat.internal.connection.mesh_messages import (
    CallRefusal,
    CancelCall,
)
from ebonycleat.internal.process.gate_calls import GateCall
from ebonycleat.internal.process.mesh_admission import AdmittedRequest
from ebonycleat.internal.process.mesh_gate_client import (
    LocalAttempt,
    LocalNode,
    RemoteAttempt,
)
from ebonycleat.internal.process.peer_calls import (
    MeshMessageRouter,
    PeerCallServer,
)
from ebonycleat.internal.process.placement.move_decision import is_too_late
from ebonycleat.internal.process.retry_budget import (
    RetryBudget,
    RetryBudgetLimits,
)
from ebonycleat.internal.process.router import PlacementRequest, create_router
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.mesh_request_run import (
    AttemptResult,
    GateClient,
    MeshRequestRun,
)
from ebonycleat.internal.version.mesh_configuration import fingerprint_key
from tests.cover.call_builders import make_gate_load
from tests.mesh_fakes import (
    API_KEY,
    SERVICE,
    ManualClock,
    RecordingTransport,
    create_call,
    create_gate_call,
    create_mesh_gate,
)

FINGERPRINT = fingerprint_key(API_KEY)


class MovingRequest(GateClient):
    """A request with one move, offered to gates whose results come at once."""

    def __init__(self, clock, gates, objective_s=0.4, **options):
        self.clock = clock
        self.gates = gates
        self.offers = []
        self.results = []
        call = create_call(
            clock, objective=clock() + objective_s, moves_left=1, **options
        )
        self.run = MeshRequestRun(
            AdmittedRequest(call, 'id', 'host', FINGERPRINT, 1, call.deadline),
            self,
            create_router('a', next(iter(gates)), random.Random(1)),
            RetryBudget(RetryBudgetLimits(0, 0, 0, 0)),
            lambda load: None,
            lambda _, result: self.results.append(result),
        )
        asyncio.run(self.start())

    async def start(self):
        self.run.start()
        self.run.stop_timer()

    def members_of(self, service):
        return tuple(Member(node, 'a', service=service) for node in self.gates)

    def start_attempt(self, member, admitted, on_result):
        gate = self.gates[member.node]
        call = admitted.call
        self.offers.append((member.node, call.moves_left))
        gate.offer(
            GateCall(call, 'id', 'host', 'origin', FINGERPRINT),
            lambda result: on_result(
                AttemptResult(result, gate.load_reporter.load_for_route(''))
            ),
        )
        return LocalAttempt(call, gate, on_result)


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


def create_busy_gate(clock):
    """Return a gate whose only slot is in use; runs take 0.3 s."""
    gate = create_mesh_gate(clock, slots=1)
    gate.offer(create_gate_call(clock, 'first'), lambda result: None)
    gate.gate.signals.service_times.record('fetch', 0.3, clock())
    return gate


def count_sends(gate):
    return sum(send.request.request_id == 'id' for send in gate.pool.sends)


@pytest.mark.parametrize(
    ('start', 'is_late'), [(0.5, False), (0.7, True), (1.7, True)]
)
def test_a_start_is_too_late_for_the_objective_or_else_the_deadline(
    start, is_late
):
    """Guards against moving calls that are in time, or lost anyway."""
    assert is_too_late(start, 1.6, 1, 0) is is_late
    assert is_too_late(start + 2, 3.6, 3.6, 0) is (start == 1.7)


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_call_that_would_miss_its_objective_starts_elsewhere(
    clock, idempotent
):
    """Guards against waiting at a full target while another one is idle.

    Nothing was sent, so it costs no retry and is no failure of the target.
    """
    gates = {'a1': create_busy_gate(clock), 'a2': create_mesh_gate(clock)}
    request = MovingRequest(clock, gates, idempotent=idempotent)
    assert request.offers == [('a1', 1), ('a2', 0)]
    assert [count_sends(gate) for gate in gates.values()] == [0, 1]
    gates['a2'].pool.sends[-1].answer()
    assert isinstance(request.results[0], Answer)
    stats = request.run.router.target_stats.stats_of('a1')
    assert (stats.consecutive_failures, stats.in_flight) == (0, 0)
    assert not gates['a1'].backpressure.direct.refused


def test_full_gates_do_not_pass_a_call_on_and_on(clock):
    """Guards against calls that wander from gate to gate without running."""
    gates = {node: create_busy_gate(clock) for node in ('a1', 'a2', 'a3')}
    request = MovingRequest(clock, gates)
    assert [moves for _, moves in request.offers] == [1, 0]
    waiting = [len(gate.gate.queue) for gate in gates.values()]
    assert sorted(waiting) == [0, 0, 1]
    assert not request.results


def test_a_call_goes_back_if_no_other_target_is_left(clock):
    """Guards against a refusal of a call that could have waited."""
    gates = {'a1': create_busy_gate(clock), 'a2': create_mesh_gate(clock)}
    gates['a2'].gate.draining = True
    request = MovingRequest(clock, gates)
    assert request.offers == [('a1', 1), ('a2', 0), ('a1', 0)]
    gates['a1'].pool.sends[0].answer()
    assert count_sends(gates['a1']) == 1


def test_a_queued_call_moves_when_others_take_its_place(clock):
    """Guards against a check on arrival only."""
    gates = {'a1': create_busy_gate(clock), 'a2': create_mesh_gate(clock)}
    request = MovingRequest(clock, gates, 0.9, priority=Priority.LOW)
    assert request.offers == [('a1', 1)]
    for number in (7, 8):
        gates['a1'].offer(
            create_gate_call(clock, number, deadline=clock() + 9),
            lambda result: None,
        )
    clock.now += 0.05
    gates['a1'].tick()
    assert request.offers == [('a1', 1), ('a2', 0)]
    gates['a1'].pool.sends[0].answer()
    assert [count_sends(gate) for gate in gates.values()] == [0, 1]


def test_a_move_is_given_only_if_another_target_starts_the_call_in_time(clock):
    """Guards against moves that only make a call wait somewhere else."""
    request = MovingRequest(clock, {'a1': create_busy_gate(clock)})
    assert request.offers == [('a1', 0)]
    router = request.run.router
    here, there = Member('a1', 'a'), Member('a2', 'a')
    for queued, is_given in ((0, True), (900, False)):
        load = make_gate_load(running=10, queued=queued)
        router.record_refusal(there, load, clock())
        placement = PlacementRequest(request.run.admitted.call, (here, there))
        assert router.may_start_elsewhere(placement, here, clock()) is is_given


class PeerCall:
    """A call with a move that came over a link, and the replies to it."""

    def __init__(self, clock, gate):
        self.server = PeerCallServer(gate)
        self.link = MeshLink(MeshMessageRouter(), clock)
        self.link.connection_made(RecordingTransport())
        call = create_call(
            clock, priority=1, objective=clock() + 0.9, moves_left=1
        )
        attempt = RemoteAttempt(
            AdmittedRequest(call, 'id', 'host', FINGERPRINT, 1, call.deadline),
            LocalNode('here:1', SERVICE),
            lambda result: None,
        )
        request = attempt.create_message(clock())
        self.server.message_received(self.link, request)

    def replies(self):
        written = b''.join(self.link.transport.written)
        return FrameDecoder().feed(written)


def fill_queue(gate, clock):
    """Let calls of higher priority wait, so that others start too late."""
    for number in range(3):
        gate.offer(
            create_gate_call(
                clock, number, priority=Priority.CRITICAL, deadline=clock() + 9
            ),
            lambda result: None,
        )
    clock.now += 0.05


@pytest.mark.parametrize('is_cancelled_first', [True, False])
def test_a_hand_back_that_crosses_a_cancel_runs_nothing(
    clock, is_cancelled_first
):
    """Guards against a run for a caller that left or went elsewhere."""
    gate = create_busy_gate(clock)
    call = PeerCall(clock, gate)
    fill_queue(gate, clock)
    if is_cancelled_first:
        call.server.message_received(call.link, CancelCall(0))
    gate.tick()
    call.server.message_received(call.link, CancelCall(0))
    replies = call.replies()
    assert len(replies) == 1
    assert isinstance(replies[0], CallRefusal) and replies[0].has_not_run
    if not is_cancelled_first:
        assert replies[0].reason == Reason.ELSEWHERE.value
    gate.pool.sends[0].answer()
    assert not count_sends(gate)


def test_a_link_that_closes_before_the_hand_back_leaves_no_call(clock):
    """Guards against a run at a gate whose entry counts the call as lost."""
    gate = create_busy_gate(clock)
    call = PeerCall(clock, gate)
    call.server.drop_link(call.link)
    fill_queue(gate, clock)
    gate.tick()
    gate.pool.sends[0].answer()
    assert not count_sends(gate)
    assert not gate.gate.handed_back
