"""Retries of one root request stay bounded over its whole call tree."""

import random

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.request.retry_ledger import RetryLedger

MAX_DEPTH = 13


class CallTree:
    """Random call tree whose answers are lost, delayed or duplicated."""

    def __init__(self, rng: random.Random, limit: int) -> None:
        self.rng = rng
        self.limit = limit
        self.retries = 0
        self.open_ledgers: list[RetryLedger] = []
        self.late_refunds: list[tuple[RetryLedger, str, int]] = []

    def check_limit(self) -> None:
        held = sum(ledger.balance for ledger in self.open_ledgers)
        assert held + self.retries <= self.limit

    def deliver(self, ledger: RetryLedger, attempt: str, unused: int) -> None:
        delivery = self.rng.choice(('given', 'doubled', 'lost', 'late'))
        if delivery in {'given', 'doubled'}:
            ledger.refund(attempt, unused)
        if delivery == 'doubled':
            ledger.refund(attempt, unused + 1)
        if delivery == 'late':
            ledger.write_off(attempt)
            self.late_refunds.append((ledger, attempt, unused))
        self.check_limit()

    def run(self, allowance: int, depth: int) -> int:
        ledger = RetryLedger(allowance)
        self.open_ledgers.append(ledger)
        fan_out = self.rng.randint(1, 3) if depth in {0, 6, 12} else 1
        for child in range(fan_out if depth < MAX_DEPTH else 0):
            self.call_child(ledger, child, depth, fan_out - child)
        self.open_ledgers.remove(ledger)
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
            self.check_limit()
            self.attempt(ledger, f'{child}-{self.retries}', depth, parts_left)

    def attempt(
        self,
        ledger: RetryLedger,
        name: str,
        depth: int,
        parts_left: int,
    ) -> None:
        lent = ledger.lend(name, parts_left)
        self.deliver(ledger, name, self.run(lent, depth + 1))


@given(seed=st.integers(0, 2**32), limit=st.integers(0, 6))
def test_sum_over_a_deep_tree_never_exceeds_the_limit(
    seed: int,
    limit: int,
) -> None:
    """Guards against retries created by lost, late or duplicate refunds."""
    tree = CallTree(random.Random(seed), limit)
    unused = tree.run(limit, 0)
    for ledger, attempt, amount in tree.late_refunds:
        assert not ledger.refund(attempt, amount)
    assert tree.retries + unused <= limit


def test_answers_that_all_arrive_refund_exactly_the_unused_retries() -> None:
    """Guards against losing allowance although no message was lost."""
    ledger = RetryLedger(3)
    lent = ledger.lend('a')
    assert lent + ledger.balance == 3
    assert ledger.refund('a', lent) == lent
    assert ledger.close() == 3
    assert not ledger.take_retry()


def test_a_closed_ledger_takes_no_refund() -> None:
    """Guards against spending retries that were already reported as unused."""
    ledger = RetryLedger(3)
    lent = ledger.lend('a')
    ledger.close()
    assert not ledger.refund('a', lent)
