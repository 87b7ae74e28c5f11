"""Compares logged group commit with a refusal window, on a simulated clock.

With ``logged``, the owner appends the ids of started calls to the log before
the calls run. With ``window``, it keeps them in memory only. A new owner then
cannot know which calls have started, and refuses every unknown id for the
retention time of the ids, ten minutes.

All calls carry new ids and stay within their team's rate, so each refusal is
wrongful. The added time is measured from the arrival at the ingress node to
the arrival at the gate.
"""

import argparse
import collections
import dataclasses
import json
import random
import sys

from bench.dedupe_bench_node import (
    HOP_S,
    NODES_BY_SERVICE,
    RETRY_S,
    BenchIngress,
    BenchNode,
)
from bench.dedupe_simulation import (
    CLOCK_DRIFT,
    HEARTBEAT_S,
    LEASE_DURATION_S,
    Clock,
    FakeLog,
    Fault,
    Faults,
)
from ebonycleat.internal.process.dedupe_tenure import Tenure
from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.request.dedupe_tracker import (
    SLOTS_PER_SERVICE,
    DedupeAsk,
    slot_index,
)
from ebonycleat.internal.request.refusal import Outcome

TIMEOUT_S = 2

FAILURE_AT_S = 90


@dataclasses.dataclass(frozen=True)
class Scenario:
    """The failures and the duration of one run."""

    name: str
    owner_lost: bool
    log_down: bool
    duration_s: int


SCENARIOS = (
    Scenario('calm', owner_lost=False, log_down=False, duration_s=120),
    Scenario('owner lost', owner_lost=True, log_down=False, duration_s=780),
    Scenario('log down 60 s', owner_lost=False, log_down=True, duration_s=780),
    Scenario('both', owner_lost=True, log_down=True, duration_s=780),
)


@dataclasses.dataclass(slots=True)
class Pending:
    """A call that has neither started nor been refused."""

    ask: DedupeAsk
    service: str
    arrived_at: float


class BenchRun(BenchIngress):
    """Simulates one scenario, with or without the log of started calls."""

    def __init__(
        self,
        scenario: Scenario,
        rate_per_s: float,
        seed: int,
        *,
        logged: bool,
    ) -> None:
        """Assign the slots of each service to its nodes in turn."""
        self.scenario = scenario
        self.rate_per_s = rate_per_s
        self.logged = logged
        self.rng = random.Random(seed)
        self.clock = Clock()
        down = Fault('log-down', '', FAILURE_AT_S - 30, FAILURE_AT_S + 30)
        faults = Faults(self.clock, (down,) if scenario.log_down else ())
        self.log = FakeLog(self.clock, faults, self.rng)
        self.faults = faults
        self.pending: dict[str, Pending] = {}
        self.added_s: list[float] = []
        self.refusals: collections.Counter[str] = collections.Counter()
        self.calls = 0
        self.epoch = 0
        self.nodes: dict[str, list[BenchNode]] = {}
        self.owners: dict[tuple[str, int], BenchNode] = {}
        self.epochs: dict[tuple[str, int], int] = {}
        for index, count in enumerate(NODES_BY_SERVICE):
            service = f's{index}'
            self.nodes[service] = [
                BenchNode(self, f'{service}-{number}', service)
                for number in range(count)
            ]
            for slot in range(SLOTS_PER_SERVICE):
                self.claim(self.nodes[service][slot % count], slot, 0)

    def run(self) -> dict[str, object]:
        """Run the scenario to its end and return a row of the report."""
        self.clock.after(1, self.create_call)
        if self.scenario.owner_lost:
            self.clock.after(FAILURE_AT_S, self.crash_node, self.nodes['s1'][0])
        self.clock.run_until(self.scenario.duration_s)
        refused = sum(self.refusals.values())
        self.added_s.sort()
        return {
            'scenario': self.scenario.name,
            'way': 'logged' if self.logged else 'window',
            'calls': self.calls,
            'wrongful_refusals': refused,
            'wrongful_share': round(refused / self.calls, 5),
            'refused_not_run': self.refusals['not-run'],
            'refused_unknown': self.refusals['unknown'],
            'added_p50_ms': self.percentile(0.5),
            'added_p99_ms': self.percentile(0.99),
            'appends_per_s': round(
                self.log.appends / self.scenario.duration_s,
                1,
            ),
        }

    def percentile(self, share: float) -> float:
        """Return a percentile of the added time in milliseconds."""
        index = min(len(self.added_s) - 1, int(share * len(self.added_s)))
        return round(self.added_s[index] * 1000, 2)

    def create_call(self) -> None:
        """Create a call with a new id and schedule the next arrival."""
        self.calls += 1
        key = f'id-{self.calls}'
        service = f's{self.rng.randrange(len(NODES_BY_SERVICE))}'
        now = self.clock.now
        call = Call(
            call_id=key,
            root_id=key,
            team='survey',
            route='deposit',
            service=service,
            priority=Priority.HIGH,
            idempotent=False,
            deadline=now + TIMEOUT_S,
            method='POST',
            path='/',
            idempotency_key=key,
        )
        ask = DedupeAsk(call, slot_index('survey', key), 0, 1, 0)
        self.pending[key] = Pending(ask, service, now)
        self.send_copy(key)
        self.clock.after(TIMEOUT_S, self.refuse_at_deadline, key)
        if now < self.scenario.duration_s - 2 * TIMEOUT_S:
            next_arrival_s = self.rng.expovariate(self.rate_per_s)
            self.clock.after(next_arrival_s, self.create_call)

    def send_copy(self, call_id: str) -> None:
        """Send the next copy to the owner, or try later if it is down."""
        pending = self.pending.get(call_id)
        if pending is None:
            return
        service_slot = (pending.service, pending.ask.slot)
        node = self.owners[service_slot]
        if not node.alive:
            self.clock.after(RETRY_S, self.send_copy, call_id)
            return
        pending.ask = dataclasses.replace(
            pending.ask,
            epoch=self.epochs[service_slot],
            copy_number=pending.ask.copy_number + 1,
        )
        self.clock.after(HOP_S, node.handle_ask, pending.ask)
        # A copy is sent again after 1 s if its node has crashed by then.
        self.clock.after(1, self.resend_if_crashed, call_id, node)

    def resend_if_crashed(self, call_id: str, node: BenchNode) -> None:
        """Send another copy if the node has crashed."""
        if not node.alive:
            self.send_copy(call_id)

    def record_start(self, call: Call) -> None:
        """Record the time from the arrival of a call to its gate."""
        pending = self.pending.pop(call.call_id, None)
        if pending is not None:
            self.added_s.append(self.clock.now - pending.arrived_at)

    def record_refusal(self, call_id: str, outcome: Outcome) -> None:
        """Count a refusal; every refusal is wrongful in this benchmark."""
        if self.pending.pop(call_id, None) is not None:
            self.refusals[outcome.value] += 1

    def refuse_at_deadline(self, call_id: str) -> None:
        """Refuse a pending call at its deadline.

        A call of which no copy was sent cannot have run.
        """
        pending = self.pending.get(call_id)
        if pending is not None:
            is_unsent = pending.ask.copy_number == 0
            self.record_refusal(
                call_id,
                Outcome.NOT_RUN if is_unsent else Outcome.UNKNOWN,
            )

    def crash_node(self, crashed_node: BenchNode) -> None:
        """Crash a node for good; others claim its slots when its leases end."""
        crashed_node.alive = False
        self.clock.after(
            LEASE_DURATION_S * (1 + CLOCK_DRIFT) + HEARTBEAT_S,
            self.take_over,
            crashed_node,
        )

    def take_over(self, crashed_node: BenchNode) -> None:
        """Claim the slots of a crashed node as soon as the log is up."""
        if self.faults.active('log-down'):
            self.clock.after(RETRY_S, self.take_over, crashed_node)
            return
        alive = [
            node for node in self.nodes[crashed_node.service] if node.alive
        ]
        for slot in crashed_node.leases.usable_from:
            flagged = slot in crashed_node.leases.flagged_at or not self.logged
            wait_s = LEASE_DURATION_S * (1 + CLOCK_DRIFT)
            new_owner = alive[slot % len(alive)]
            self.claim(new_owner, slot, wait_s, unlogged=flagged)

    def claim(
        self,
        node: BenchNode,
        slot: int,
        wait_s: float,
        *,
        unlogged: bool = False,
    ) -> None:
        """Make a node the owner of a slot after ``wait_s``."""
        self.epoch += 1
        service_slot = (node.service, slot)
        tenure = Tenure(
            slot=slot,
            first_epoch=self.epoch,
            epoch=self.epoch,
            unlogged=unlogged,
            never_owned=service_slot not in self.owners,
            # Without the log there are no started ids to load.
            is_loaded=not self.logged,
        )
        self.owners[service_slot] = node
        self.epochs[service_slot] = self.epoch
        now = self.clock.now
        node.leases.usable_from[slot] = now + wait_s
        node.perform(node.owner.handle_slot_gained(tenure, now))


def main() -> int:
    """Run the scenarios with and without the log; print JSON and a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rate', type=float, default=200)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--scenario', default='')
    options = parser.parse_args()
    rows = []
    for scenario in SCENARIOS:
        if options.scenario in {'', scenario.name}:
            for logged in (True, False):
                run = BenchRun(
                    scenario,
                    options.rate,
                    options.seed,
                    logged=logged,
                )
                rows.append(run.run())
                row = {'seed': options.seed, 'rate': options.rate, **rows[-1]}
                sys.stdout.write(f'{json.dumps(row)}\n')
    write_table(rows)
    return 0


def write_table(rows: list[dict[str, object]]) -> None:
    """Write the rows as a Markdown table."""
    columns = list(rows[0])
    sys.stdout.write(f'| {" | ".join(columns)} |\n')
    sys.stdout.write(f'|{"---|" * len(columns)}\n')
    for cells in rows:
        texts = [str(cells[name]) for name in columns]
        sys.stdout.write(f'| {" | ".join(texts)} |\n')


if __name__ == '__main__':
    sys.exit(main())
