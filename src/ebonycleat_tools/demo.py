"""Demo against real processes: changes the configuration while load runs.

Each change is timed until every node has it in force. At the end the demo
prints a table of checks; the exit code is 0 only if all of them passed.
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

WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
MAX_ROLLOUT_S = 3.0
MAX_WITHDRAWAL_S = 2.0
DRAIN_GRACE_S = 2.0
OBSERVATION_S = 4.0
LOWERED_RATE_PER_S = 20
# Reasons that are reported for requests that had already been admitted. All
# other reasons refuse a request on arrival.
ADMITTED_REASONS = frozenset(
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
    """The nodes and targets that are running, and the load to send."""

    operator_key_variable: Name
    nodes: dict[Name, PeerAddress]
    targets: dict[Name, PeerAddress]
    draining_node: Name
    draining_pid_file: str
    load: LoadPlan


class Demo:
    """One run of the demo; collects the results of its checks."""

    def __init__(
        self,
        settings: DemoSettings,
        client: DemoClient,
        clock: Callable[[], float],
    ) -> None:
        """``clock`` returns monotonic seconds; it times the changes."""
        self.settings = settings
        self.client = client
        self.clock = clock
        self.checks: list[CheckResult] = []
        self.keys = {team.name: read_key(team) for team in settings.load.teams}
        self.load_table = ''
        self.pause_event = threading.Event()

    def run(self) -> None:
        """Run all steps of the demo in order."""
        self.wait_until('all nodes serve', self.are_all_serving)
        self.create_teams_and_routes()
        self.wait_until(
            'each team gets an answer at every node',
            self.are_all_teams_answered,
        )
        results = LoadResults(self.settings.load.report.bucket_s)
        with self.run_load_in_background(results):
            self.pause(OBSERVATION_S)
            self.withdraw_key()
            self.lower_rate(results)
            self.drain_node()
        write_reports(self.settings.load, results)
        self.check_results(results)

    def create_teams_and_routes(self) -> None:
        """Create teams, keys and routes in a single configuration change."""
        survey, tractors = self.keys['survey'], self.keys['tractors']
        self.measure_change(
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
        """Withdraw a key under load; every node must refuse it in time."""
        key = self.keys['tractors']
        started_at = self.clock()
        self.submit_change(f'withdraw key {digest_key(key)}')
        self.wait_until(
            'every node refuses the withdrawn key',
            lambda: self.is_key_refused(key),
        )
        self.check_duration(
            'withdrawn key refused by every node',
            started_at,
            MAX_WITHDRAWAL_S,
        )

    def lower_rate(self, results: LoadResults) -> None:
        """Lower a team's rate; later answers must stay within the new rate."""
        self.measure_change(
            'lowered rate in force on every node',
            f'change team survey rate {LOWERED_RATE_PER_S} '
            f'burst {LOWERED_BURST}',
        )
        # Tokens granted at the old rate are spent or expired after this pause.
        self.pause(MAX_GRANT_LIFETIME_S * (1 + MAX_CLOCK_DRIFT))
        started_at = self.clock()
        answered_before = self.count_answered(results, 'survey')
        self.pause(OBSERVATION_S)
        count = self.count_answered(results, 'survey') - answered_before
        elapsed_s = self.clock() - started_at
        bound = LOWERED_BURST + LOWERED_RATE_PER_S * elapsed_s
        self.checks.append(
            CheckResult(
                f'answers in {elapsed_s:.1f} s at the lowered rate '
                f'are at most {bound:.0f}',
                f'{count}',
                count <= bound,
            ),
        )

    def drain_node(self) -> None:
        """Send SIGTERM to a node; its target must get no more requests."""
        name = self.settings.draining_node
        pid_file = pathlib.Path(self.settings.draining_pid_file)
        started_at = self.clock()
        os.kill(int(pid_file.read_text(encoding='ascii')), signal.SIGTERM)
        self.pause(DRAIN_GRACE_S)
        runs = self.client.count_runs(self.settings.targets[name])
        self.wait_until(
            'the draining node has closed its port',
            lambda: self.has_stopped(name),
        )
        self.pause(1)
        later_runs = self.client.count_runs(self.settings.targets[name])
        elapsed_s = self.clock() - started_at
        self.checks.append(
            CheckResult(
                f'no new runs at target {name} later than '
                f'{DRAIN_GRACE_S:.0f} s after SIGTERM to its node',
                f'{later_runs - runs} runs, {elapsed_s:.1f} s in total',
                later_runs == runs,
            ),
        )

    def check_results(self, results: LoadResults) -> None:
        """Check the results of the whole run and the counts of the targets."""
        self.load_table = results.to_table()
        completions = [group.completions for group in results.groups.values()]
        wrong = sum(counts['wrong'] for counts in completions)
        answered = sum(counts['answered'] for counts in completions)
        cut_off = sum(
            count
            for group in results.groups.values()
            for refusal, count in group.refusals.items()
            if refusal.partition(' ')[0] in ADMITTED_REASONS
        )
        self.checks += [
            CheckResult('requests were answered', str(answered), answered > 0),
            CheckResult('no caller got a wrong answer', str(wrong), not wrong),
            CheckResult(
                'no admitted request was cut off',
                str(cut_off),
                not cut_off,
            ),
            self.check_single_runs(),
            self.check_key_not_forwarded(),
        ]

    def check_single_runs(self) -> CheckResult:
        """Check that each Idempotency-Key ran at most once over all targets.

        It also fails if no key ran at all.
        """
        runs: dict[str, int] = {}
        for address in self.settings.targets.values():
            for key, count in self.client.count_runs_by_key(address).items():
                runs[key] = runs.get(key, 0) + count
        max_count = max(runs.values(), default=0)
        return CheckResult(
            'each Idempotency-Key ran at most once over all targets',
            f'{len(runs)} keys, at most {max_count} run each',
            max_count == 1,
        )

    def check_key_not_forwarded(self) -> CheckResult:
        """Check that the target's echo of a request does not show the key."""
        key = self.keys['survey']
        echo = self.client.get(self.settings.nodes['map-a'], '/map/k', key)
        is_forwarded = key in echo.text or 'authorization' in echo.text
        return CheckResult(
            'no API key reached a target',
            'in the echo' if is_forwarded else 'not in the echo',
            not is_forwarded,
        )

    def measure_change(self, description: str, command: str) -> None:
        """Submit a change; check how long until every node has it in force."""
        started_at = self.clock()
        version = self.submit_change(command)
        self.wait_until(description, lambda: self.is_version_in_force(version))
        self.check_duration(description, started_at, MAX_ROLLOUT_S)

    def submit_change(self, command: str) -> int:
        """Submit a change to the first node; returns the new version."""
        key = os.environ[self.settings.operator_key_variable]
        address = next(iter(self.settings.nodes.values()))
        return self.client.apply_change(address, command, key)

    def check_duration(
        self,
        description: str,
        started_at: float,
        bound_s: float,
    ) -> None:
        """Check that at most ``bound_s`` seconds have passed."""
        elapsed_s = self.clock() - started_at
        self.checks.append(
            CheckResult(
                f'{description} within {bound_s:.0f} s',
                f'{elapsed_s:.2f} s',
                elapsed_s <= bound_s,
            ),
        )

    def are_all_serving(self) -> bool:
        """Return whether every node is serving and every target answers."""
        return all(
            self.client.is_serving(address)
            for address in self.settings.nodes.values()
        ) and all(
            self.client.is_up(address)
            for address in self.settings.targets.values()
        )

    def is_version_in_force(self, version: int) -> bool:
        """Return whether every node has at least this version in force."""
        return all(
            self.client.fetch_version(address) >= version
            for address in self.settings.nodes.values()
        )

    def are_all_teams_answered(self) -> bool:
        """Return whether each team gets an answer at each node."""
        return all(
            self.client.get(address, '/map/p', key).status == 200
            for address in self.settings.nodes.values()
            for key in self.keys.values()
        )

    def is_key_refused(self, key: str) -> bool:
        """Return whether every node refuses the key."""
        return all(
            self.client.get(address, '/map/p', key).status == 401
            for address in self.settings.nodes.values()
        )

    def has_stopped(self, name: str) -> bool:
        """Return whether the node no longer answers."""
        return not self.client.is_up(self.settings.nodes[name])

    def count_answered(self, results: LoadResults, team: str) -> int:
        """Return how many requests of a team have been answered so far."""
        with results.lock:
            return sum(
                group.completions['answered']
                for (name, _), group in results.groups.items()
                if name == team
            )

    def wait_until(
        self, description: str, condition: Callable[[], bool]
    ) -> None:
        """Poll until a condition is true.

        Raises ``RequestFailed`` after ``WAIT_TIMEOUT_S``; this ends the demo.
        """
        deadline = self.clock() + WAIT_TIMEOUT_S
        while not self.is_true(condition):
            if self.clock() > deadline:
                raise RequestFailed(f'timed out waiting until {description}')
            self.pause(POLL_INTERVAL_S)

    def is_true(self, condition: Callable[[], bool]) -> bool:
        """Evaluate a condition; a failed request counts as false."""
        try:
            return condition()
        except RequestFailed:
            return False

    def pause(self, pause_s: float) -> None:
        """Wait for ``pause_s`` seconds."""
        self.pause_event.wait(pause_s)

    @contextlib.contextmanager
    def run_load_in_background(self, results: LoadResults) -> Iterator[None]:
        """Send the load in a thread; on exit, wait until all of it is sent."""
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
    """Run the demo; the exit code is 0 if every check passed."""
    set_up_logging('ERROR', 'demo')
    demo = Demo(settings, DemoClient(), time.monotonic)
    try:
        demo.run()
    except RequestFailed as error:
        demo.checks.append(
            CheckResult('the demo ran to its end', str(error), False)
        )
    sys.stdout.write(f'{demo.load_table}\n{format_table(demo.checks)}\n')
    return 0 if all(check.passed for check in demo.checks) else 1


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of the demo; returns the exit code."""
    return run_program(
        Program('ebonycleat-demo', __doc__ or '', DemoSettings, start),
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
