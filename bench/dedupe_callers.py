"""Callers that repeat ids, ingress nodes, and the record of what was said."""

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
    OwnerAnswer,
    DedupeAsk,
    DedupeTracker,
    NextStep,
    DedupeStep,
)
from ebonycleat.internal.request.refusal import Outcome, Reason

MAX_ATTEMPTS = 5

USABLE_SLOTS = 2

UNNUMBERED_SHARE = 0.25


@dataclasses.dataclass(frozen=True)
class ReportedResult:
    """What a caller was told about one send."""

    request_id: str
    attempt: int
    numbered: bool
    at: float
    result: CallResult

    def contradicts(self, run_attempt: int) -> bool:
        """Say if NOT_RUN is false, given a run by this attempt.

        A caller that does not number its sends is told of this send only:
        nobody can order its earlier sends that are still on their way.
        """
        if self.numbered:
            return run_attempt <= self.attempt
        return run_attempt == self.attempt


class History:
    """Runs as the targets saw them, and words as the callers heard them."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.runs: dict[str, list[int]] = {}
        self.reported_results: list[ReportedResult] = []

    def record_run(self, call: Call) -> bytes:
        """Record a run at a target; the body is different for each run."""
        runs = self.runs.setdefault(call.idempotency_key, [])
        runs.append(int(call.path.removeprefix('/')))
        return f'{call.idempotency_key} run {len(runs)}'.encode()

    def violations(self) -> list[str]:
        """Compare runs and words; an empty list means that all is well."""
        found = [
            f'{request_id} ran {len(runs)} times, by attempts {runs}'
            for request_id, runs in self.runs.items()
            if len(runs) > 1
        ]
        for told in self.reported_results:
            found.extend(self._check(told))
        return found

    def _check(self, told: ReportedResult) -> list[str]:
        runs = self.runs.get(told.request_id, [])
        if isinstance(told.result, RefusedCall):
            refusal = told.result.refusal
            said_not_run = refusal.outcome is Outcome.NOT_RUN
            if said_not_run and any(told.contradicts(run) for run in runs):
                return [f'{told} said NOT_RUN, ran by attempts {runs}']
            return []
        expected = f'{told.request_id} run 1'.encode()
        if told.result.body != expected:
            return [f'{told} is not the whole answer of the first run']
        return []


class IngressSend:
    """One send of a caller at its ingress node."""

    def __init__(
        self,
        node: DedupeNode,
        callers: 'Callers',
        send: DedupeTracker,
    ) -> None:
        """Follow the send at this node."""
        self.node = node
        self.callers = callers
        self.send = send
        self.done = False

    def start(self) -> None:
        """Take the request in and send the first copy."""
        call = self.send.call
        rng = self.callers.rng
        self.deadline = self.node.clock.now + rng.choice((1, 3, 6))
        self.callers.sends[call.call_id] = self
        self.node.later(
            self.deadline - self.node.clock.now,
            self._give_up,
        )
        self._send_copy()

    def handle_owner_reply(self, word: OwnerReply) -> None:
        """Take a word of an owner that answers one of the copies."""
        if isinstance(word, OwnerAnswer):
            self._step(self.send.owner_answered(word))
        else:
            self._step(self.send.copy_not_taken(word))

    def _send_copy(self) -> None:
        if self.done:
            return
        asks = self.send.call
        slot = self.callers.slot_by_key[asks.idempotency_key]
        view = self.node.slots.recipients.get(slot)
        if view is None:
            self.node.later(0.1, self._send_copy)
            return
        ask = self.send.create_copy(view)
        ask = dataclasses.replace(ask, slot=slot)
        left_s = self.deadline - self.node.clock.now
        self.callers.deliver_copy(view.node, ask, left_s)
        lost_after_s = self.callers.rng.choice((0.3, 1))
        self.node.later(lost_after_s, self._copy_lost, ask.copy_number)

    def _copy_lost(self, number: int) -> None:
        if not self.done:
            self._step(self.send.link_closed(number, sent=True))

    def _step(self, step: DedupeStep) -> None:
        if self.done or step is NextStep.WAIT:
            return
        if isinstance(step, NextStep):
            self.node.later(0.1, self._send_copy)
            return
        self._tell(step)

    def _give_up(self) -> None:
        if not self.done:
            self._tell(self.send.give_up(Reason.DEADLINE))

    def _tell(self, ran: CallResult) -> None:
        self.done = True
        self.callers.handle_result(self.send, ran)


class Callers:
    """Sends ids through all nodes, and repeats them at all nodes."""

    def __init__(
        self,
        clock: Clock,
        history: History,
        rng: random.Random,
    ) -> None:
        """Start without nodes; ``nodes`` is set by the scenario."""
        self.clock = clock
        self.history = history
        self.rng = rng
        self.nodes: Mapping[str, DedupeNode] = {}
        self.sends: dict[str, IngressSend] = {}
        self.attempts: dict[str, int] = {}
        self.unnumbered: set[str] = set()
        self.slot_by_key: dict[str, int] = {}

    def add_id(self, start_s: float) -> None:
        """Let a caller send a new id at the given time."""
        request_id = f'id-{len(self.slot_by_key)}'
        self.slot_by_key[request_id] = self.rng.randrange(USABLE_SLOTS)
        self.attempts[request_id] = 0
        if self.rng.random() < UNNUMBERED_SHARE:
            self.unnumbered.add(request_id)
        self.clock.after(start_s, self._send_next, request_id, 1)

    def deliver_copy(self, name: str, ask: DedupeAsk, left_s: float) -> None:
        """Carry a copy to a node: late, twice or never."""
        for delay_s in self._delays():
            self.clock.after(
                delay_s,
                self.nodes[name].receive,
                ask,
                left_s,
            )

    def deliver_reply(self, word: OwnerReply) -> None:
        """Carry the word of an owner back to the ingress."""
        send = self.sends.get(word.call_id)
        if send is None:
            return
        for delay_s in self._delays():
            node = send.node
            self.clock.after(
                delay_s,
                node.run,
                node.incarnation,
                send.handle_owner_reply,
                word,
            )

    def handle_result(self, send: DedupeTracker, ran: CallResult) -> None:
        """Record the word, and repeat unless the caller is content."""
        request_id = send.call.idempotency_key
        now = self.clock.now
        attempt = int(send.call.path.removeprefix('/'))
        self.history.reported_results.append(
            ReportedResult(
                request_id, attempt, bool(send.caller_attempt), now, ran
            ),
        )
        content = isinstance(ran, Answer) and self.rng.random() < 1 / 2
        if not content:
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
        declared = attempt
        if request_id in self.unnumbered:
            declared = UNDECLARED_ATTEMPT
        send = IngressSend(node, self, DedupeTracker(call, declared))
        for delay_s in self._delays()[:1]:
            self.clock.after(
                delay_s,
                node.run,
                node.incarnation,
                send.start,
            )
        # An impatient caller repeats before it has heard anything.
        patience_s = self.rng.choice((0.1, 0.5, 2, 8))
        self.clock.after(
            patience_s,
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
