"""Starts at a target that is cold, or of which that is not known."""

import itertools

import pytest

from ebonycleat.internal.connection.client_requests import SendFailureKind
from ebonycleat.internal.version.mesh_configuration import MeshService
from tests.mesh_fakes import (
    FakePool,
    ManualClock,
    create_configuration_holder,
    create_gate_call,
    create_heartbeat,
    create_mesh_gate,
)

OWN = (('x-upstream-instance', 'i-1'),)


class ColdTarget:
    """A gate with a target of 200 slots, and the times of all sends."""

    def __init__(self, rate=20):
        self.clock = ManualClock()
        self.service = MeshService('maps', '/healthz', 0, 30, rate)
        self.sent_at = []
        self.results = []
        self.numbers = itertools.count(2)
        self.start_gate()

    def start_gate(self):
        holder = create_configuration_holder(
            self.clock, services={'maps': self.service}
        )
        holder.key_withdrawal_s = None
        self.gate = create_mesh_gate(self.clock, holder, slots=200)
        # One check may have been sent before the pool could be watched.
        self.sent_at += [self.clock() for _ in self.gate.pool.sends]
        self.gate.pool.send = self.send

    def send(self, request, on_result):
        self.sent_at.append(self.clock())
        return FakePool.send(self.gate.pool, request, on_result)

    def open_sends(self, path=b'/fetch'):
        return [
            send
            for send in self.gate.pool.sends
            if path in send.request.encoded and not hasattr(send, 'is_over')
        ]

    def end_calls(self, end):
        for send in self.open_sends():
            send.is_over = True
            end(send)

    def answer_check(self, *headers, own=OWN, status=200):
        send = self.open_sends(b'/healthz')[-1]
        send.is_over = True
        send.answer(status, (*own, *headers))

    def heartbeat(self):
        beat = create_heartbeat(slots=200, sequence=next(self.numbers))
        self.gate.handle_target_message(beat)

    def offer(self, count=1):
        for _ in range(count):
            call = create_gate_call(self.clock, next(self.numbers))
            self.gate.offer(call, self.results.append)

    def wait(self, seconds):
        self.clock.now += seconds
        self.gate.tick()

    def run(self, seconds):
        """Offer calls in each tick of the queue, and answer at once."""
        for _ in range(round(seconds / 0.025)):
            self.offer(20)
            self.end_calls(lambda send: send.answer())
            self.wait(0.025)

    def busiest_second(self):
        return max(
            sum(start <= other < start + 1 for other in self.sent_at)
            for start in self.sent_at
        )

    def is_limited(self):
        return self.gate.gate.signals.warm_up.is_limited(self.clock())


def break_connections(target, kind=SendFailureKind.CLOSED):
    while not target.open_sends():
        target.wait(0.025)
        target.offer()
    target.end_calls(lambda send: send.fail(kind))


def evacuate_and_end(target):
    target.gate.set_evacuated(is_evacuated=True)
    target.run(0.3)
    target.gate.set_evacuated(is_evacuated=False)


@pytest.mark.parametrize('rate', [4, 100])
@pytest.mark.parametrize(
    'event',
    [
        ColdTarget.start_gate,
        break_connections,
        lambda target: break_connections(target, SendFailureKind.NOT_CONNECTED),
        lambda target: target.gate.pool.on_idle_lost(),
        evacuate_and_end,
    ],
)
def test_a_target_that_may_be_cold_gets_no_more_than_its_bound(event, rate):
    """Guards against a burst after which a cold target crashes.

    The event comes while the target is limited, and while it was known to be
    warm. Checks are not answered after it. The bound is 1.5 times the rate plus
    8, of which requests that a stalled target has not read take a part.
    """
    target = ColdTarget(rate)
    target.run(1.7)
    event(target)
    target.run(1.7)
    assert target.busiest_second() <= rate * 1.08 + 1.5
    target.answer_check()
    target.run(0.5)
    target.sent_at = []
    event(target)
    target.run(2)
    assert target.busiest_second() <= rate * 1.08 + 1.5
    assert len(target.sent_at) > rate


def test_requests_that_wait_do_not_arrive_in_one_moment():
    """Guards against a burst when a stalled target reads or accepts again."""
    target = ColdTarget()
    target.run(0.1)
    target.end_calls(lambda send: send.answer())
    for _ in range(32):
        target.offer()
        target.wait(0.025)
    calls = target.open_sends()
    assert len(calls) < 10
    assert not calls[0].request.may_send()
    target.answer_check()
    assert calls[0].request.may_send()


def test_a_late_heartbeat_does_not_end_a_newer_cold_state():
    """Guards against reports that were sent before the target turned cold."""
    target = ColdTarget()
    target.answer_check()
    target.gate.pool.on_idle_lost()
    target.heartbeat()
    target.wait(1)
    assert target.is_limited()
    target.answer_check(('x-warmup-ms', '3000'))
    target.heartbeat()
    assert target.is_limited()
    target.wait(2.5)
    target.heartbeat()
    assert not target.is_limited()


def test_only_a_later_answer_of_the_target_itself_ends_the_limit():
    """Guards against believing another process, or an earlier answer.

    Calls that waited start with the answer, and entries hear of more slots.
    They hear of no overloaded service, of which this may be one target of many.
    """
    target = ColdTarget()
    target.answer_check(own=(('x-upstream-instance', 'i-2'),))
    target.wait(0.5)
    target.answer_check(('x-not-executed', '1'), status=503)
    target.wait(1)
    target.answer_check(('x-warmup-ms', 'soon'))
    target.wait(1)
    target.gate.pool.on_idle_lost()
    target.answer_check()
    target.offer(20)
    assert target.is_limited()
    assert target.gate.load_reporter.load_for_route('').limit <= 3
    target.wait(1)
    assert target.gate.backpressure.published_shares('maps') is None
    target.answer_check(status=503)
    target.end_calls(lambda send: send.answer())
    assert len(target.results) + len(target.open_sends()) == 20
    assert target.gate.load_reporter.load_for_route('').limit > 3


def test_few_health_checks_are_sent():
    """Guards against checks that cost a target more than they tell."""
    target = ColdTarget()
    for _ in range(300):
        target.wait(0.01)
        target.open_sends(b'/healthz')[-1].fail(SendFailureKind.SILENT)
    assert len(target.sent_at) == 4
    target.wait(1)
    target.answer_check()
    for _ in range(50):
        target.wait(0.2)
        target.heartbeat()
    target.gate.set_evacuated(is_evacuated=True)
    target.wait(5)
    assert len(target.sent_at) == 5


def test_a_service_without_a_limit_is_served_as_before():
    """Guards against limits and checks that no configuration asks for."""
    target = ColdTarget(0)
    target.gate.pool.on_idle_lost()
    target.offer(100)
    target.open_sends()[0].answer()
    assert len(target.open_sends()) == len(target.sent_at) == 100


def test_queued_calls_are_refused_as_not_run_when_the_zone_is_evacuated():
    """Guards against queued calls that still reach an evacuated target."""
    target = ColdTarget(0)
    target.offer(30)
    running = len(target.open_sends())
    target.gate.set_evacuated(is_evacuated=True)
    refusals = {result.refusal for result in target.results}
    assert {refusal.reason.value for refusal in refusals} == {'evacuated'}
    assert {refusal.outcome.value for refusal in refusals} == {'not-run'}
    assert not target.gate.backpressure.direct.refused
    assert not target.open_sends()[0].request.may_send()
    target.end_calls(lambda send: send.answer())
    target.offer()
    assert (len(target.results), len(target.sent_at)) == (31, running)
