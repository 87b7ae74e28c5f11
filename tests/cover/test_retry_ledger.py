"""Retries of one root request stay bounded over its whole call tree."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.request.retry_ledger import RetryLedger

DEEPEST = 13


class Tree:
    """Random call tree whose answers get lost, late and doubled."""

    def __init__(self, rng: random.Random, limit: int) -> None:
        self.rng = rng
        self.limit = limit
        self.retries = 0
        self.live: list[RetryLedger] = []
        self.late: list[tuple[RetryLedger, str, int]] = []

    def check(self) -> None:
        held = sum(ledger.balance for ledger in self.live)
        assert held + self.retries <= self.limit

    def deliver(self, ledger: RetryLedger, attempt: str, unused: int) -> None:
        fate = self.rng.choice(('given', 'doubled', 'lost', 'late'))
        if fate in {'given', 'doubled'}:
            ledger.refund(attempt, unused)
        if fate == 'doubled':
            ledger.refund(attempt, unused + 1)
        if fate == 'late':
            ledger.write_off(attempt)
            self.late.append((ledger, attempt, unused))
        self.check()

    def run(self, allowance: int, depth: int) -> int:
        ledger = RetryLedger(allowance)
        self.live.append(ledger)
        fan_out = self.rng.randint(1, 3) if depth in {0, 6, 12} else 1
        for child in range(fan_out if depth < DEEPEST else 0):
            self.call_child(ledger, child, depth, fan_out - child)
        self.live.remove(ledger)
        return ledger.close()

    def call_child(
        self,
        ledger: RetryLedger,
        child: int,
        depth: int,
        parts_left: int,
    ) -> None:
        self.attempt(ledger, f'{child}-0', depth, parts_left)
        while self.rng.randrange(10) > 2 and ledger.take_retry():
            self.retries += 1
            self.check()
            self.attempt(ledger, f'{child}-{self.retries}', depth, parts_left)

    def attempt(
        self,
        ledger: RetryLedger,
        name: str,
        depth: int,
        parts_left: int,
    ) -> None:
        part = ledger.lend(name, parts_left)
        self.deliver(ledger, name, self.run(part, depth + 1))


@given(seed=st.integers(0, 2**32), limit=st.integers(0, 6))
def test_sum_over_a_deep_tree_never_exceeds_the_limit(
    seed: int,
    limit: int,
) -> None:
    """Guards against lost, late or doubled refunds creating retries."""
    tree = Tree(random.Random(seed), limit)
    unused = tree.run(limit, 0)
    for ledger, attempt, amount in tree.late:
        assert not ledger.refund(attempt, amount)
    assert tree.retries + unused <= limit


def test_all_answers_given_refund_exactly_what_was_unused() -> None:
    """Guards against allowance vanishing although no message was lost."""
    ledger = RetryLedger(3)
    part = ledger.lend('a')
    assert part + ledger.balance == 3
    assert ledger.refund('a', part) == part
    assert ledger.close() == 3
    assert not ledger.take_retry()


def test_a_closed_ledger_takes_no_refund() -> None:
    """Guards against spending what was already answered as unused."""
    ledger = RetryLedger(3)
    part = ledger.lend('a')
    ledger.close()
    assert not ledger.refund('a', part)
