"""``ebonycleat-soak``: real nodes under faults, and a check of the promises.

The nodes are processes of their own on loopback; store and targets are
emulated here. Load and faults are drawn from a seed. Exit code 1 tells that
a promise was broken; the folder of the seed keeps the logs.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import sys
from collections.abc import Callable, Sequence

from ebonycleat.internal.connection.client_requests import (
    InFlightRequest,
    OutgoingRequest,
    SendResult,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    encode_request,
    find_header,
)
from ebonycleat.internal.process.command_line import (
    EXIT_OK,
    Program,
    run_program,
)
from ebonycleat_tools.platform.history import (
    SUCCESS,
    GuaranteeLimits,
    SentRequest,
    find_violations,
)
from ebonycleat_tools.platform.soak_environment import (
    BURST,
    RATE_PER_S,
    TEAMS,
    TIMEOUT_S,
    WITHDRAWAL_S,
    SoakEnvironment,
)
from ebonycleat_tools.platform.soak_faults import FaultInjector
from ebonycleat_tools.platform.soak_plan import (
    Fault,
    PlannedRequest,
    SoakPlan,
    draw_faults,
    draw_requests,
)

EXIT_BROKEN = 1
START_LIMIT_S = 20
"""Nodes that serve nothing after this are a failure of the soak itself."""

START_PAUSE_S = 0.1
MS_PER_S = 1000

# The platform's own figures: a sliding window of 5 s, a tenth and 20 requests
# over the rate, 15 s for the return after a loss of everything.
PROMISES = GuaranteeLimits(
    rate_per_s=RATE_PER_S,
    burst=BURST,
    rate_window_s=5,
    rate_tolerance_share=0.1,
    rate_tolerance_requests=20,
    withdrawal_limit_s=WITHDRAWAL_S,
    recovery_limit_s=8,
    min_success_share=0.25,
)


class SoakRun:
    """Plays the plan and fills the history."""

    def __init__(self, environment: SoakEnvironment) -> None:
        """Play in a environment that was started."""
        self.environment = environment
        self.clock = asyncio.get_running_loop().time

    async def wait_until_ready(self) -> None:
        """Wait for the first success at each node."""
        numbers = range(self.environment.plan.nodes)
        while not all(await asyncio.gather(*map(self.ask_once, numbers))):
            await asyncio.sleep(START_PAUSE_S)

    async def ask_once(self, number: int) -> bool:
        """Whether a node serves its callers."""
        ended: asyncio.Future[SendResult] = (
            asyncio.get_running_loop().create_future()
        )
        request = SentRequest(
            f'start-{number}-{self.clock()}',
            f'/fetch/start-{number}',
            TEAMS[0],
            self.environment.keys[TEAMS[0]][0],
            is_idempotent=True,
            node=number,
            sent_at=self.clock(),
            timeout_s=TIMEOUT_S,
        )
        self.environment.history.sent_requests[request.request_id] = request
        self.send(request, ended.set_result)
        result = await ended
        self.take(request, result)
        return request.status == SUCCESS

    async def play_load(self, began_at: float) -> None:
        """Send the load, each request at its time."""
        for planned in draw_requests(self.environment.plan, len(TEAMS)):
            await asyncio.sleep(began_at + planned.at_s - self.clock())
            self.begin(planned)
        await asyncio.sleep(TIMEOUT_S * 2)
        self.environment.history.ended_at = self.clock()

    async def play_faults(self, began_at: float, faults: list[Fault]) -> None:
        """Let the faults happen, each at its time; they may overlap."""
        plays = FaultInjector(self.environment)
        playing = []
        for fault in faults:
            await asyncio.sleep(began_at + fault.start_s - self.clock())
            playing.append(asyncio.ensure_future(plays.inject(fault)))
        await asyncio.gather(*playing)

    def begin(self, planned: PlannedRequest) -> None:
        """Send one request of the load."""
        number = planned.number
        team = TEAMS[planned.team]
        kind = 'fetch' if planned.is_idempotent else 'renew'
        # Withdrawn keys go on being used.
        key = (f'key-of-{team}', f'other-{team}')[number % 2]
        request = SentRequest(
            f'id-{number}',
            f'/{kind}/{number}',
            team,
            key,
            planned.is_idempotent,
            planned.node,
            self.clock(),
            TIMEOUT_S,
        )
        self.environment.history.sent_requests[request.request_id] = request
        send = self.send(request, lambda result: self.take(request, result))
        if planned.cancel_after_s is not None:
            asyncio.get_running_loop().call_later(
                planned.cancel_after_s,
                self.leave,
                request,
                send,
            )

    def send(
        self,
        request: SentRequest,
        on_result: Callable[[SendResult], None],
    ) -> InFlightRequest:
        """Send a request to its node."""
        headers = (
            ('host', 'maps.example'),
            ('x-request-id', request.request_id),
            ('x-deadline-ms', str(int(TIMEOUT_S * MS_PER_S))),
            ('authorization', f'Bearer {request.key}'),
        )
        method = 'GET' if request.is_idempotent else 'POST'
        return self.environment.nodes[request.node].callers.send(
            OutgoingRequest(
                encode_request(method, request.path, headers, b''),
                lambda found: True,
            ),
            on_result,
        )

    def leave(self, request: SentRequest, send: InFlightRequest) -> None:
        """Give up a request that has no answer yet."""
        if request.ended_at is None:
            request.is_cancelled = True
            send.cancel()

    def take(self, request: SentRequest, result: SendResult) -> None:
        """Note what a caller got."""
        request.ended_at = self.clock()
        if isinstance(result, HttpResponse):
            request.status = result.status
            request.body = result.body
            request.signature = find_header(
                result.headers,
                'x-server-signature',
            )


async def run_soak(plan: SoakPlan) -> dict[str, object]:
    """Play a plan; returns its report."""
    faults = draw_faults(plan)
    async with contextlib.AsyncExitStack() as stack:
        environment = SoakEnvironment(plan, stack)
        await environment.start()
        run = SoakRun(environment)
        await asyncio.wait_for(run.wait_until_ready(), START_LIMIT_S)
        began_at = run.clock()
        await asyncio.gather(
            run.play_load(began_at),
            run.play_faults(began_at, faults),
        )
        history = environment.history
    statuses = collections.Counter(
        sent.status for sent in history.sent_requests.values()
    )
    return {
        'seed': plan.seed,
        'faults': [
            f'{fault.start_s:.1f} s {fault.kind.value} '
            f'node {fault.node} for {fault.duration_s:.1f} s'
            for fault in faults
        ],
        'requests': len(history.sent_requests),
        'runs': len(history.runs),
        'statuses': {str(status): statuses[status] for status in statuses},
        'broken': find_violations(history, PROMISES),
    }


def _start(plan: SoakPlan) -> int:
    report = asyncio.run(run_soak(plan))
    text = json.dumps(report, indent=2)
    if plan.report_file:
        pathlib.Path(plan.report_file).write_text(text, encoding='utf-8')
    sys.stdout.write(f'{text}\n')
    return EXIT_BROKEN if report['broken'] else EXIT_OK


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-soak``."""
    program = Program(
        'ebonycleat-soak',
        'Plays faults on real nodes and checks the promises.',
        SoakPlan,
        _start,
    )
    return run_program(program, argv)


if __name__ == '__main__':
    sys.exit(main())
