"""Attempts of one call, with the real router and the real retry policy."""

import abc
import dataclasses
from collections.abc import Callable
from functools import partial
from typing import TypeAlias

import msgspec

from bench.policy_clock import SimulatedClock
from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.retry_budget import RetryBudget
from ebonycleat.internal.process.retry_policy import (
    FailedAttempt,
    RetryAfter,
    RetryPolicy,
)
from ebonycleat.internal.process.router import PlacementRequest, Router
from ebonycleat.internal.process.target_stats_table import Member
from ebonycleat.internal.request.call import Call
from ebonycleat.internal.request.refusal import (
    Reason,
    Refusal,
    refuse_outcome_unknown,
)
from ebonycleat.internal.request.retry_ledger import RetryLedger


@dataclasses.dataclass(frozen=True, slots=True)
class HopReply:
    """Reply to one attempt; ``load`` is None when the node did not answer."""

    refusal: Refusal | None
    unused_retries: int
    load: GateLoad | None


ReplyCallback: TypeAlias = Callable[[HopReply], None]
HopCallback: TypeAlias = Callable[[Refusal | None], None]


class HopNode(abc.ABC):
    """Node that makes the attempts."""

    clock: SimulatedClock
    router: Router
    budget: RetryBudget
    policy: RetryPolicy

    @abc.abstractmethod
    def members_of(self, service: str) -> list[Member]:
        """List the members of a service."""

    @abc.abstractmethod
    def send(
        self,
        member: Member,
        call: Call,
        chain: tuple[str, ...],
        handle_reply: ReplyCallback,
    ) -> None:
        """Send one attempt to a member; its reply goes to ``handle_reply``."""


class Hop:
    """All attempts of one call from one node to one service."""

    def __init__(
        self,
        node: HopNode,
        call: Call,
        chain: tuple[str, ...],
        ledger: RetryLedger,
        done: HopCallback,
    ) -> None:
        """Schedule the timeout; ``attempt`` starts the first attempt."""
        self.node = node
        self.call = call
        self.chain = chain
        self.ledger = ledger
        self.done: HopCallback | None = done
        self.attempts = 0
        self.refused_zones: frozenset[str] = frozenset()
        self.failed_nodes: frozenset[str] = frozenset()
        clock = node.clock
        clock.after(call.deadline - clock.now, self.handle_timeout)

    def handle_timeout(self) -> None:
        """Finish at the deadline unless the call is already finished."""
        self.finish(refuse_outcome_unknown(Reason.DEADLINE))

    def finish(self, refusal: Refusal | None) -> None:
        """Report the result to the caller; later results are ignored."""
        done = self.done
        self.done = None
        if done:
            done(refusal)

    def attempt(self) -> None:
        """Let the router choose a member and send it an attempt."""
        if self.done is None:
            return
        node = self.node
        self.attempts += 1
        members = node.members_of(self.call.service)
        choice = node.router.choose(
            PlacementRequest(
                self.call,
                members,
                self.refused_zones,
                self.failed_nodes,
            ),
            node.clock.now,
        )
        if isinstance(choice, Refusal):
            self.retry_or_give_up(choice)
            return
        call_id = f'{self.call.call_id}{self.attempts}'
        allowance = self.ledger.lend(call_id)
        sent = msgspec.structs.replace(
            self.call,
            call_id=call_id,
            retry_allowance=allowance,
        )
        node.router.record_sent(choice, node.clock.now)
        handle_reply = partial(self.handle_reply, choice, sent, node.clock.now)
        node.send(choice, sent, self.chain, handle_reply)

    def handle_reply(
        self,
        member: Member,
        sent: Call,
        sent_at: float,
        reply: HopReply,
    ) -> None:
        """Record the result of an attempt, then finish or retry."""
        now = self.node.clock.now
        router = self.node.router
        refusal = reply.refusal
        if reply.load is None:
            router.record_failure(member, reached=False, now=now)
            self.ledger.write_off(sent.call_id)
        else:
            self.ledger.refund(sent.call_id, reply.unused_retries)
            if refusal is None:
                router.record_answer(
                    member, reply.load, now - sent_at, now, sent.route
                )
                self.node.budget.record_success(self.call.service, now)
            elif refusal.reason is Reason.TARGET_FAILED:
                router.record_failure(member, reached=True, now=now)
            else:
                router.record_refusal(member, reply.load, now)
        if refusal is None:
            self.finish(None)
            return
        if refusal.reason in {Reason.TARGET_FAILED, Reason.CONNECTION_LOST}:
            self.failed_nodes |= {member.node}
        self.retry_or_give_up(refusal)

    def retry_or_give_up(self, refusal: Refusal) -> None:
        """Let the retry policy decide whether to retry or to finish."""
        if self.done is None:
            return
        node = self.node
        members = node.members_of(self.call.service)
        failed = FailedAttempt(
            self.call,
            refusal,
            self.attempts,
            self.refused_zones,
            frozenset(member.zone for member in members),
        )
        decision = node.policy.decide(failed, self.ledger, node.clock.now)
        if isinstance(decision, RetryAfter):
            self.refused_zones = decision.avoid_zones
            node.clock.after(decision.delay_s, self.attempt)
        else:
            self.finish(decision.refusal)
