"""Runs the main job against real processes and checks what is claimed.

Configuration is changed while load runs; each change is timed until every
node has it in force. The exit code is 0 only if every claim held.
"""

import contextlib
import dataclasses
import os
import pathlib
import signal
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence

from ebonycleat.internal.process.budget_owner import MAX_GRANT_LIFETIME_S
from ebonycleat.internal.process.command_line import Program, run_program
from ebonycleat.internal.process.lease import MAX_CLOCK_DRIFT
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.settings import Name, PeerAddress
from ebonycleat.internal.request.incoming import digest_key
from ebonycleat.internal.request.refusal import Reason
from ebonycleat_tools.demo_checks import CheckResult, format_table
from ebonycleat_tools.demo_client import DemoClient, RequestFailed
from ebonycleat_tools.load import write_reports
from ebonycleat_tools.load_plan import LoadPlan, read_key
from ebonycleat_tools.load_results import LoadResults
from ebonycleat_tools.load_runner import run_load

START_TIMEOUT_S = 20.0
POLL_S = 0.02
IN_FORCE_BOUND_S = 3.0
WITHDRAWN_BOUND_S = 2.0
DRAINED_BOUND_S = 2.0
CALM_S = 4.0
LOWERED_RATE_PER_S = 20
# Refusals of requests that had been admitted and sent; the others are
# refusals at the door.
CUT_OFF_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.CANCELLED,
        Reason.CONNECTION_LOST,
        Reason.DEADLINE,
        Reason.OUTCOME_UNKNOWN,
        Reason.TARGET_FAILED,
        Reason.TRUNCATED_ANSWER,
    )
)
LOWERED_BURST = 10


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings:
    """The nodes and targets that run, and the load to send."""

    operator_key_variable: Name
    nodes: dict[Name, PeerAddress]
    targets: dict[Name, PeerAddress]
    draining_node: Name
    draining_pid_file: str
    load: LoadPlan


class Demo:
    """One run; fills in the claims as it goes."""

    def __init__(
        self,
        settings: DemoSettings,
        client: DemoClient,
        clock: Callable[[], float],
    ) -> None:
        """Run against the processes that ``settings`` name."""
        self.settings = settings
        self.client = client
        self.clock = clock
        self.claims: list[CheckResult] = []
        self.keys = {team.name: read_key(team) for team in settings.load.teams}
        self.load_table = ''
        self.waiting = threading.Event()

    def run(self) -> None:
        """Do everything in order."""
        self.wait_until('all nodes serve', self.all_nodes_serve)
        self.create_everything()
        self.wait_until('tokens are given out', self.probe_all_teams)
        results = LoadResults(self.settings.load.report.bucket_s)
        with self.load_running(results):
            self.pause(CALM_S)
            self.withdraw_key()
            self.lower_rate(results)
            self.drain_node()
        write_reports(self.settings.load, results)
        self.check_results(results)

    def create_everything(self) -> None:
        """Create teams, keys and routes as one change."""
        survey, tractors = self.keys['survey'], self.keys['tractors']
        self.time_change(
            'teams, keys and routes in force on every node',
            'create team survey rate 200 burst 100 zones a, b; '
            'create team tractors rate 100 burst 50 zones a, b; '
            f'create key {digest_key(survey)} for team survey; '
            f'create key {digest_key(tractors)} for team tractors; '
            'create route map to map methods GET path /map '
            'priority critical retries 2 timeout 2000 ms idempotent; '
            'create route claims to claims methods POST path /claims '
            'priority high timeout 4000 ms',
        )

    def withdraw_key(self) -> None:
        """Withdraw a key in traffic; every node must refuse it soon."""
        key = self.keys['tractors']
        started_at = self.clock()
        self.change(f'withdraw key {digest_key(key)}')
        self.wait_until('the key is refused', lambda: self.is_refused(key))
        self.claim_duration(
            'withdrawn key refused by every node',
            started_at,
            WITHDRAWN_BOUND_S,
        )

    def lower_rate(self, results: LoadResults) -> None:
        """Lower a rate; what is answered afterwards must keep to it."""
        self.time_change(
            'lowered rate in force on every node',
            f'change team survey rate {LOWERED_RATE_PER_S} '
            f'burst {LOWERED_BURST}',
        )
        # Tokens given out at the old rate are spent or expired by then.
        self.pause(MAX_GRANT_LIFETIME_S * (1 + MAX_CLOCK_DRIFT))
        started_at = self.clock()
        answered = self.answered(results, 'survey')
        self.pause(CALM_S)
        count = self.answered(results, 'survey') - answered
        elapsed_s = self.clock() - started_at
        bound = LOWERED_BURST + LOWERED_RATE_PER_S * elapsed_s
        self.claims.append(
            CheckResult(
                f'answers in {elapsed_s:.1f} s at the lowered rate '
                f'are at most {bound:.0f}',
                f'{count}',
                count <= bound,
            ),
        )

    def drain_node(self) -> None:
        """Stop a node as planned; its target gets no more work."""
        name = self.settings.draining_node
        pid_file = pathlib.Path(self.settings.draining_pid_file)
        started_at = self.clock()
        os.kill(int(pid_file.read_text(encoding='ascii')), signal.SIGTERM)
        self.pause(DRAINED_BOUND_S)
        runs = self.client.count_runs(self.settings.targets[name])
        self.wait_until('the node ended', lambda: self.is_gone(name))
        self.pause(1)
        later = self.client.count_runs(self.settings.targets[name])
        elapsed_s = self.clock() - started_at
        self.claims.append(
            CheckResult(
                f'no new work at {name} {DRAINED_BOUND_S:.0f} s after SIGTERM',
                f'{later - runs} runs, {elapsed_s:.1f} s in all',
                later == runs,
            ),
        )

    def check_results(self, results: LoadResults) -> None:
        """Check the answers of the whole run."""
        self.load_table = results.to_table()
        ends = [tally.completions for tally in results.groups.values()]
        wrong = sum(end['wrong'] for end in ends)
        answered = sum(end['answered'] for end in ends)
        cut_off = sum(
            count
            for tally in results.groups.values()
            for refusal, count in tally.refusals.items()
            if refusal.partition(' ')[0] in CUT_OFF_REASONS
        )
        self.claims += [
            CheckResult('requests were answered', str(answered), answered > 0),
            CheckResult('no caller got a wrong answer', str(wrong), not wrong),
            CheckResult('no request was cut off', str(cut_off), not cut_off),
            self.claim_single_runs(),
            self.claim_no_key_seen(),
        ]

    def claim_single_runs(self) -> CheckResult:
        """Each Idempotency-Key ran at most once over all targets."""
        runs: dict[str, int] = {}
        for address in self.settings.targets.values():
            for key, count in self.client.count_runs_by_key(address).items():
                runs[key] = runs.get(key, 0) + count
        most = max(runs.values(), default=0)
        return CheckResult(
            'each of the Idempotency-Keys ran at most once',
            f'{len(runs)} keys, at most {most} run',
            most == 1,
        )

    def claim_no_key_seen(self) -> CheckResult:
        """The target's echo of a request holds no trace of the key."""
        key = self.keys['survey']
        echo = self.client.get(self.settings.nodes['map-a'], '/map/k', key)
        is_seen = key in echo.text or 'authorization' in echo.text
        return CheckResult(
            'no key reached a target',
            'seen' if is_seen else 'not in the echo',
            not is_seen,
        )

    def time_change(self, claim: str, command: str) -> None:
        """Make a change and time it until every node has it in force."""
        started_at = self.clock()
        version = self.change(command)
        self.wait_until(claim, lambda: self.all_have(version))
        self.claim_duration(claim, started_at, IN_FORCE_BOUND_S)

    def change(self, command: str) -> int:
        """Make a change through one node; return its version."""
        key = os.environ[self.settings.operator_key_variable]
        address = next(iter(self.settings.nodes.values()))
        return self.client.apply_change(address, command, key)

    def claim_duration(
        self,
        claim: str,
        started_at: float,
        bound_s: float,
    ) -> None:
        """Claim that something took at most ``bound_s`` seconds."""
        elapsed_s = self.clock() - started_at
        self.claims.append(
            CheckResult(
                f'{claim} within {bound_s:.0f} s',
                f'{elapsed_s:.2f} s',
                elapsed_s <= bound_s,
            ),
        )

    def all_nodes_serve(self) -> bool:
        """Tell whether every node and target answers."""
        return all(
            self.client.is_serving(address)
            for address in self.settings.nodes.values()
        ) and all(
            self.client.is_up(address)
            for address in self.settings.targets.values()
        )

    def all_have(self, version: int) -> bool:
        """Tell whether every node has the version in force."""
        return all(
            self.client.fetch_version(address) >= version
            for address in self.settings.nodes.values()
        )

    def probe_all_teams(self) -> bool:
        """Tell whether each team gets an answer at each node."""
        return all(
            self.client.get(address, '/map/p', key).status == 200
            for address in self.settings.nodes.values()
            for key in self.keys.values()
        )

    def is_refused(self, key: str) -> bool:
        """Tell whether every node refuses the key."""
        return all(
            self.client.get(address, '/map/p', key).status == 401
            for address in self.settings.nodes.values()
        )

    def is_gone(self, name: str) -> bool:
        """Tell whether the node's port is closed."""
        return not self.client.is_up(self.settings.nodes[name])

    def answered(self, results: LoadResults, team: str) -> int:
        """Count the answers that a team got so far."""
        with results.lock:
            return sum(
                tally.completions['answered']
                for (name, _), tally in results.groups.items()
                if name == team
            )

    def wait_until(self, what: str, condition: Callable[[], bool]) -> None:
        """Wait for a condition; a time-out ends the demo."""
        give_up_at = self.clock() + START_TIMEOUT_S
        while not self.holds(condition):
            if self.clock() > give_up_at:
                raise RequestFailed(f'timed out waiting until {what}')
            self.pause(POLL_S)

    def holds(self, condition: Callable[[], bool]) -> bool:
        """Evaluate a condition; an unreachable node means no."""
        try:
            return condition()
        except RequestFailed:
            return False

    def pause(self, pause_s: float) -> None:
        """Wait without work."""
        self.waiting.wait(pause_s)

    @contextlib.contextmanager
    def load_running(self, results: LoadResults) -> Iterator[None]:
        """Send the load while the context is open, and then to its end."""
        plan = self.settings.load
        thread = threading.Thread(
            target=run_load,
            args=(plan, self.keys, 'demo', self.clock, results),
        )
        thread.start()
        try:
            yield
        finally:
            thread.join()


def start(settings: DemoSettings) -> int:
    """Run the demo; the exit code is 0 if every claim held."""
    set_up_logging('ERROR', 'demo')
    demo = Demo(settings, DemoClient(), time.monotonic)
    try:
        demo.run()
    except RequestFailed as error:
        demo.claims.append(
            CheckResult('the demo ran to its end', str(error), False)
        )
    sys.stdout.write(f'{demo.load_table}\n{format_table(demo.claims)}\n')
    return 0 if all(claim.passed for claim in demo.claims) else 1


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; returns its exit code."""
    return run_program(
        Program('ebonycleat-demo', __doc__ or '', DemoSettings, start),
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
