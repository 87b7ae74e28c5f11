"""Callers that repeat idempotency keys, their ingress nodes and a history."""

import dataclasses
import random
from collections.abc import Mapping

from bench.dedupe_node import DedupeNode, OwnerReply
from bench.dedupe_simulation import Clock
from ebonycleat.internal.request.call import (
    Answer,
    Call,
    CallResult,
    Priority,
    RefusedCall,
)
from ebonycleat.internal.request.dedupe_tracker import (
    UNDECLARED_ATTEMPT,
    DedupeAsk,
    DedupeStep,
    DedupeTracker,
    NextStep,
    OwnerAnswer,
)
from ebonycleat.internal.request.refusal import Outcome, Reason

MAX_ATTEMPTS = 5

USABLE_SLOTS = 2

UNNUMBERED_CALLER_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class ReportedResult:
    """The result that a caller received for one attempt."""

    request_id: str
    attempt: int
    numbered: bool
    at: float
    result: CallResult

    def contradicts(self, run_attempt: int) -> bool:
        """Tell whether a run by attempt ``run_attempt`` makes NOT_RUN false.

        NOT_RUN covers the earlier attempts too if the caller numbers its
        attempts. Otherwise it covers this attempt only, because earlier
        attempts that are still in transit cannot be ordered.
        """
        if self.numbered:
            return run_attempt <= self.attempt
        return run_attempt == self.attempt


class History:
    """Runs at the targets and results that the callers received."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.runs: dict[str, list[int]] = {}
        self.reported_results: list[ReportedResult] = []

    def record_run(self, call: Call) -> bytes:
        """Record a run at a target and return a body that is unique to it."""
        runs = self.runs.setdefault(call.idempotency_key, [])
        runs.append(int(call.path.removeprefix('/')))
        return f'{call.idempotency_key} run {len(runs)}'.encode()

    def violations(self) -> list[str]:
        """Compare runs with results; return one text per violation."""
        found = [
            f'{request_id} ran {len(runs)} times, by attempts {runs}'
            for request_id, runs in self.runs.items()
            if len(runs) > 1
        ]
        for reported in self.reported_results:
            found.extend(self._check(reported))
        return found

    def _check(self, reported: ReportedResult) -> list[str]:
        runs = self.runs.get(reported.request_id, [])
        if isinstance(reported.result, RefusedCall):
            refusal = reported.result.refusal
            reported_not_run = refusal.outcome is Outcome.NOT_RUN
            if reported_not_run and any(
                reported.contradicts(run) for run in runs
            ):
                return [
                    f'{reported} reported NOT_RUN, but was run by attempts {runs}'
                ]
            return []
        expected = f'{reported.request_id} run 1'.encode()
        if reported.result.body != expected:
            return [f'{reported} is not the complete answer of the first run']
        return []


class IngressSend:
    """One attempt of a caller at its ingress node."""

    def __init__(
        self,
        node: DedupeNode,
        callers: 'Callers',
        tracker: DedupeTracker,
    ) -> None:
        """Track the attempt at this node."""
        self.node = node
        self.callers = callers
        self.tracker = tracker
        self.done = False

    def start(self) -> None:
        """Choose a deadline and send the first copy."""
        call = self.tracker.call
        rng = self.callers.rng
        self.deadline = self.node.clock.now + rng.choice((1, 3, 6))
        self.callers.sends[call.call_id] = self
        self.node.later(
            self.deadline - self.node.clock.now,
            self._report_deadline,
        )
        self._send_copy()

    def handle_owner_reply(self, reply: OwnerReply) -> None:
        """Handle the reply of an owner to one of the copies."""
        if isinstance(reply, OwnerAnswer):
            self._handle_step(self.tracker.owner_answered(reply))
        else:
            self._handle_step(self.tracker.copy_not_taken(reply))

    def _send_copy(self) -> None:
        if self.done:
            return
        call = self.tracker.call
        slot = self.callers.slot_by_key[call.idempotency_key]
        recipient = self.node.slots.recipients.get(slot)
        if recipient is None:
            self.node.later(0.1, self._send_copy)
            return
        ask = self.tracker.create_copy(recipient)
        ask = dataclasses.replace(ask, slot=slot)
        left_s = self.deadline - self.node.clock.now
        self.callers.deliver_copy(recipient.node, ask, left_s)
        lost_after_s = self.callers.rng.choice((0.3, 1))
        self.node.later(lost_after_s, self._handle_lost_copy, ask.copy_number)

    def _handle_lost_copy(self, number: int) -> None:
        if not self.done:
            self._handle_step(self.tracker.link_closed(number, sent=True))

    def _handle_step(self, step: DedupeStep) -> None:
        if self.done or step is NextStep.WAIT:
            return
        if isinstance(step, NextStep):
            self.node.later(0.1, self._send_copy)
            return
        self._report_result(step)

    def _report_deadline(self) -> None:
        if not self.done:
            self._report_result(self.tracker.give_up(Reason.DEADLINE))

    def _report_result(self, call_result: CallResult) -> None:
        self.done = True
        self.callers.handle_result(self.tracker, call_result)


class Callers:
    """Sends calls and repeats them, each time through a random node."""

    def __init__(
        self,
        clock: Clock,
        history: History,
        rng: random.Random,
    ) -> None:
        """Start without nodes; the scenario sets ``nodes``."""
        self.clock = clock
        self.history = history
        self.rng = rng
        self.nodes: Mapping[str, DedupeNode] = {}
        self.sends: dict[str, IngressSend] = {}
        self.attempts: dict[str, int] = {}
        self.unnumbered: set[str] = set()
        self.slot_by_key: dict[str, int] = {}

    def add_id(self, start_s: float) -> None:
        """Schedule the first attempt of a new id."""
        request_id = f'id-{len(self.slot_by_key)}'
        self.slot_by_key[request_id] = self.rng.randrange(USABLE_SLOTS)
        self.attempts[request_id] = 0
        if self.rng.random() < UNNUMBERED_CALLER_SHARE:
            self.unnumbered.add(request_id)
        self.clock.after(start_s, self._send_next, request_id, 1)

    def deliver_copy(self, name: str, ask: DedupeAsk, left_s: float) -> None:
        """Deliver a copy to a node, possibly late, twice or never."""
        for delay_s in self._delays():
            self.clock.after(
                delay_s,
                self.nodes[name].receive,
                ask,
                left_s,
            )

    def deliver_reply(self, reply: OwnerReply) -> None:
        """Deliver the reply of an owner to the ingress node."""
        ingress_send = self.sends.get(reply.call_id)
        if ingress_send is None:
            return
        for delay_s in self._delays():
            node = ingress_send.node
            self.clock.after(
                delay_s,
                node.run,
                node.incarnation,
                ingress_send.handle_owner_reply,
                reply,
            )

    def handle_result(
        self, tracker: DedupeTracker, call_result: CallResult
    ) -> None:
        """Record a result; repeat the call unless the caller accepts it.

        An answer is accepted with a probability of 1/2, a refusal never.
        """
        request_id = tracker.call.idempotency_key
        now = self.clock.now
        attempt = int(tracker.call.path.removeprefix('/'))
        self.history.reported_results.append(
            ReportedResult(
                request_id,
                attempt,
                bool(tracker.caller_attempt),
                now,
                call_result,
            ),
        )
        is_accepted = (
            isinstance(call_result, Answer) and self.rng.random() < 1 / 2
        )
        if not is_accepted:
            delay_s = self.rng.choice((0.05, 1))
            self.clock.after(
                delay_s,
                self._send_next,
                request_id,
                attempt + 1,
            )

    def _send_next(self, request_id: str, attempt: int) -> None:
        if not self.attempts[request_id] < attempt <= MAX_ATTEMPTS:
            return
        self.attempts[request_id] = attempt
        call = Call(
            call_id=f'{request_id}/{attempt}',
            root_id=request_id,
            team='survey',
            route='deposit',
            service='payment',
            priority=Priority.HIGH,
            idempotent=False,
            deadline=0,
            method='POST',
            path=f'/{attempt}',
            idempotency_key=request_id,
        )
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        declared_attempt = attempt
        if request_id in self.unnumbered:
            declared_attempt = UNDECLARED_ATTEMPT
        send = IngressSend(node, self, DedupeTracker(call, declared_attempt))
        for delay_s in self._delays()[:1]:
            self.clock.after(
                delay_s,
                node.run,
                node.incarnation,
                send.start,
            )
        # An impatient caller repeats the call before it has received a result.
        repeat_after_s = self.rng.choice((0.1, 0.5, 2, 8))
        self.clock.after(
            repeat_after_s,
            self._send_next,
            request_id,
            attempt + 1,
        )

    def _delays(self) -> tuple[float, ...]:
        usual_s = self.rng.choice((0.0005, 0.001, 0.01))
        late_s = self.rng.choice((0.5, 2, 5))
        return self.rng.choices(
            ((usual_s,), (late_s,), (usual_s, late_s), ()),
            (80, 8, 6, 6),
        )[0]
