"""Targets that ask in their answers for fewer requests, or for none."""

import pytest

from ebonycleat import Answer, Outcome
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.platform.target_protocol import PlatformTargetProtocol
from tests.mesh_fakes import (
    ManualClock,
    create_gate_call,
    create_heartbeat,
    create_mesh_gate,
)

STEP_S = 0.01
WINDOW_S = 4.0


@pytest.fixture(name='clock')
def fixture_clock():
    return ManualClock()


class LoadedGate:
    """A gate that gets ``calls_per_s``, and a target that answers each call.

    ``headers`` go with each answer, ``service_s`` after the call was sent.
    """

    def __init__(self, clock, slots=50, calls_per_s=100.0):
        self.clock = clock
        self.slots = slots
        self.calls_per_s = calls_per_s
        self.headers = ()
        self.service_s = 0.05
        self.started_at = clock()
        self.offered = 0
        self.sent_at = []
        self.results = []
        self.start_process()

    def start_process(self):
        """Replace the gate by that of a node which has just started."""
        self.gate = create_mesh_gate(self.clock, slots=self.slots)
        self.answered = 0
        self.sends_of_process = []

    def run(self, seconds):
        """Offer and answer calls for some time."""
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.now += STEP_S
            self.gate.holder.record_proof(1, self.clock())
            self.offer_due_calls()
            self.gate.tick()
            self.record_sends()
            self.answer_due_calls()

    def offer_due_calls(self):
        due = (self.clock() - self.started_at) * self.calls_per_s
        while self.offered < due:
            self.offered += 1
            self.gate.offer(
                create_gate_call(
                    self.clock, self.offered, deadline=self.clock() + 1
                ),
                self.results.append,
            )

    def record_sends(self):
        now = self.clock()
        new = len(self.gate.pool.sends) - len(self.sends_of_process)
        self.sends_of_process += [now for _ in range(new)]
        self.sent_at += [now for _ in range(new)]

    def answer_due_calls(self):
        answered_until = self.clock() - self.service_s
        while self.answered < len(self.sends_of_process):
            if self.sends_of_process[self.answered] > answered_until:
                return
            self.gate.pool.sends[self.answered].answer(headers=self.headers)
            self.answered += 1
            self.record_sends()

    def most_sent_in_window(self, since):
        """Return the most calls sent in one window that begins later."""
        sent_at = [at for at in self.sent_at if at >= since]
        return max(
            sum(begin <= at < begin + WINDOW_S for at in sent_at)
            for begin in sent_at
        )


@pytest.mark.parametrize('limit_per_s', [2, 10, 40.5])
def test_a_target_gets_no_more_requests_than_the_limit_that_it_names(
    clock, limit_per_s
):
    """Guards against overloading a target that has asked for fewer calls."""
    load = LoadedGate(clock)
    load.run(2)
    load.headers = (('server-limit', str(limit_per_s)),)
    load.run(0.2)
    limited_since = clock()
    load.run(20)
    sent = len([at for at in load.sent_at if at >= limited_since])
    assert load.most_sent_in_window(limited_since) <= limit_per_s * WINDOW_S + 5
    assert sent >= limit_per_s * 20 * 0.9
    not_sent = [one for one in load.results if not isinstance(one, Answer)]
    assert {one.refusal.outcome for one in not_sent} == {Outcome.NOT_RUN}


def test_a_target_that_names_no_limit_any_more_gets_all_calls(clock):
    """Guards against a limit that outlives the target's need."""
    load = LoadedGate(clock)
    load.headers = (('server-limit', '10'),)
    load.run(5)
    load.headers = ()
    load.run(1)
    lifted_at = clock()
    load.run(5)
    sent = len([at for at in load.sent_at if at >= lifted_at])
    assert sent >= 5 * load.calls_per_s * 0.95


def test_an_answer_to_an_earlier_request_lifts_no_limit(clock):
    """Guards against answers that overtake each other on two connections."""
    gate = create_mesh_gate(clock, slots=4)
    for number in range(2):
        gate.offer(create_gate_call(clock, number), lambda result: None)
    gate.pool.sends[1].answer(headers=(('server-limit', '1'),))
    gate.pool.sends[0].answer()
    for number in range(2, 10):
        gate.offer(create_gate_call(clock, number), lambda result: None)
    assert len(gate.pool.sends) == 3


def test_a_target_that_takes_nothing_is_tried_now_and_then(clock):
    """Guards against a target that stays unused since no answer tells more."""
    load = LoadedGate(clock)
    load.headers = (('server-limit', '0'),)
    load.run(20)
    assert load.most_sent_in_window(load.started_at + 1) <= 5
    load.headers = ()
    load.run(5)
    recovered_at = clock()
    load.run(2)
    sent = len([at for at in load.sent_at if at >= recovered_at])
    assert sent >= 2 * load.calls_per_s * 0.95


def test_a_node_that_starts_sends_few_calls_before_the_first_answer(clock):
    """Guards against a surge at a target whose limit a restart forgot."""
    load = LoadedGate(clock, calls_per_s=200)
    load.headers = (('server-limit', '5'),)
    load.run(5)
    restarted_at = clock()
    load.start_process()
    load.run(6)
    assert load.most_sent_in_window(restarted_at) <= 5 * 1.5 * WINDOW_S + 5


def test_a_node_that_gets_no_first_answer_sends_more_calls_with_time(clock):
    """Guards against a target that is hardly used since its answers are lost.

    The first calls may find its slots taken by those of an earlier process.
    """
    load = LoadedGate(clock, slots=30)
    load.service_s = 60
    load.run(1)
    assert len(load.gate.gate.running) <= 10
    load.run(5)
    assert len(load.gate.gate.running) == 30


def test_a_limited_target_reports_less_room_to_other_nodes(clock):
    """Guards against nodes that go on choosing a target with a limit."""
    load = LoadedGate(clock)
    load.headers = (('server-limit', '40'),)
    load.run(3)
    report = load.gate.load_reporter.load_for_route('fetch')
    assert report.limit <= 40 * load.service_s + 1
    assert report.queued > 0


def test_a_call_that_waits_for_a_limited_target_is_told_when_to_return(clock):
    """Guards against refusals that send callers back too soon."""
    load = LoadedGate(clock)
    load.headers = (('server-limit', '4'),)
    load.run(10)
    refusals = [
        one.refusal for one in load.results[-50:] if not isinstance(one, Answer)
    ]
    assert refusals
    assert all(refusal.retry_after_s > 0 for refusal in refusals)


def test_a_target_that_says_in_an_answer_that_it_leaves_gets_no_call(clock):
    """Guards against new work for a target whose heartbeat is late."""
    load = LoadedGate(clock)
    changed = []
    load.gate.on_record_changed = lambda: changed.append(clock())
    load.run(1)
    load.headers = (('server-leaving', '1'),)
    load.run(0.2)
    sent_before = len(load.sent_at)
    load.run(2)
    assert len(load.sent_at) == sent_before
    assert len(changed) == 1
    load.gate.handle_target_message(create_heartbeat(sequence=9, slots=50))
    load.run(1)
    assert len(load.sent_at) == sent_before


def test_an_answer_of_an_earlier_incarnation_does_not_close_the_gate(clock):
    """Guards against a new target that is taken for the one before it."""
    gate = create_mesh_gate(clock)
    gate.offer(create_gate_call(clock, 0), lambda result: None)
    gate.handle_target_message(create_heartbeat('i-2', started_ms=200))
    gate.pool.sends[0].answer(
        headers=(('server-leaving', '1'), ('server-limit', '0'))
    )
    for number in range(1, 3):
        gate.offer(create_gate_call(clock, number), lambda result: None)
    assert len(gate.pool.sends) == 3


@pytest.mark.parametrize(
    'text', ['', 'many', '-1', 'nan', 'inf', '1e999', '1,5', '٣']
)
def test_a_limit_that_is_no_decimal_number_is_ignored(text):
    """Guards against a malformed header that stops all calls."""
    report = PlatformTargetProtocol().parse_response(
        HttpResponse(200, (('server-limit', text),), b'')
    )
    assert report.max_requests_per_s is None


def test_refusals_for_a_long_queue_are_logged(clock):
    """Guards against calls that are refused without a trace at their gate."""
    load = LoadedGate(clock, slots=2)
    lines = []
    load.gate.log.write_limited = lambda event, **fields: lines.append(event)
    load.run(4)
    assert 'call refused: the queue is too long' in lines
