"""``ebonycleat-soak``: runs nodes under load and faults, and checks guarantees.

Each node is a separate process on the loopback interface; this process
emulates the store and the targets. Load and faults are drawn from a seed. The
exit code is 1 if a guarantee was violated; the folder of the seed keeps the
logs of the nodes.
"""

import asyncio
import collections
import contextlib
import json
import pathlib
import sys
import zlib
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
    REQUEST_TIMEOUT_S,
    TEAMS,
    WITHDRAWAL_LIMIT_S,
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

EXIT_VIOLATION = 1
START_TIMEOUT_S = 20
"""If not all nodes serve within this time, the soak test itself fails."""

START_POLL_INTERVAL_S = 0.1
MS_PER_S = 1000

# The platform's own limits: a sliding window of 5 s, in which a tenth plus 20
# requests more than the rate are tolerated, and 15 s for recovery after all
# nodes were lost. The 8 s for recovery are within that limit: they begin when
# the last fault no longer counts, that is FAULT_EFFECT_S (3 s) after its end.
GUARANTEE_LIMITS = GuaranteeLimits(
    rate_per_s=RATE_PER_S,
    burst=BURST,
    rate_window_s=5,
    rate_tolerance_share=0.1,
    rate_tolerance_requests=20,
    withdrawal_limit_s=WITHDRAWAL_LIMIT_S,
    recovery_limit_s=8,
    min_success_share=0.25,
)


class SoakDriver:
    """Sends the planned requests, injects the faults and fills the history."""

    def __init__(self, environment: SoakEnvironment) -> None:
        """``environment`` must have been started."""
        self.environment = environment
        self.clock = asyncio.get_running_loop().time

    async def wait_until_ready(self) -> None:
        """Wait until every node has answered a request with success."""
        numbers = range(self.environment.plan.nodes)
        while not all(await asyncio.gather(*map(self.probe_node, numbers))):
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def probe_node(self, number: int) -> bool:
        """Send one request to a node; returns whether it succeeded."""
        result_future: asyncio.Future[SendResult] = (
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
            timeout_s=REQUEST_TIMEOUT_S,
        )
        self.environment.history.sent_requests[request.request_id] = request
        self.send(request, result_future.set_result)
        result = await result_future
        self.record_result(request, result)
        return request.status == SUCCESS

    async def send_load(self, started_at: float) -> None:
        """Send each request of the plan at its time."""
        for planned in draw_requests(self.environment.plan, len(TEAMS)):
            await asyncio.sleep(started_at + planned.at_s - self.clock())
            self.send_planned(planned)
        await asyncio.sleep(REQUEST_TIMEOUT_S * 2)
        self.environment.history.ended_at = self.clock()

    async def inject_faults(
        self, started_at: float, faults: list[Fault]
    ) -> None:
        """Inject each fault at its time; faults may overlap."""
        injector = FaultInjector(self.environment)
        injections = []
        for fault in faults:
            await asyncio.sleep(started_at + fault.start_s - self.clock())
            injections.append(asyncio.ensure_future(injector.inject(fault)))
        await asyncio.gather(*injections)

    def send_planned(self, planned: PlannedRequest) -> None:
        """Send one request of the plan, and schedule its cancellation."""
        number = planned.number
        team = TEAMS[planned.team]
        upload = f'{number},'.encode() * planned.upload_bytes
        upload = upload[: planned.upload_bytes]
        # Requests also use withdrawn keys, to check that nodes refuse them.
        key = (f'key-of-{team}', f'other-{team}')[number % 2]
        request = SentRequest(
            f'id-{number}',
            f'/{planned.kind}/{number}',
            team,
            key,
            planned.is_idempotent,
            planned.node,
            self.clock(),
            REQUEST_TIMEOUT_S,
            sent_checksum=zlib.crc32(upload),
        )
        self.environment.history.sent_requests[request.request_id] = request
        in_flight = self.send(
            request,
            lambda result: self.record_result(request, result),
            upload,
        )
        if planned.cancel_after_s is not None:
            asyncio.get_running_loop().call_later(
                planned.cancel_after_s,
                self.cancel,
                request,
                in_flight,
            )

    def send(
        self,
        request: SentRequest,
        on_result: Callable[[SendResult], None],
        body: bytes = b'',
    ) -> InFlightRequest:
        """Send a request to its node."""
        headers = (
            ('host', 'maps.example'),
            ('x-request-id', request.request_id),
            ('x-deadline-ms', str(int(REQUEST_TIMEOUT_S * MS_PER_S))),
            ('authorization', f'Bearer {request.key}'),
        )
        method = 'GET' if request.is_idempotent else 'POST'
        return self.environment.nodes[request.node].callers.send(
            OutgoingRequest(
                encode_request(method, request.path, headers, body),
                lambda headers: True,
            ),
            on_result,
        )

    def cancel(self, request: SentRequest, in_flight: InFlightRequest) -> None:
        """Cancel a request if it has no answer yet."""
        if request.ended_at is None:
            request.is_cancelled = True
            in_flight.cancel()

    def record_result(self, request: SentRequest, result: SendResult) -> None:
        """Record the answer of a request, or that it ended without one."""
        request.ended_at = self.clock()
        if isinstance(result, HttpResponse):
            request.status = result.status
            request.body = result.body
            request.signature = find_header(
                result.headers,
                'x-server-signature',
            )


async def run_soak(plan: SoakPlan) -> dict[str, object]:
    """Run a soak test and return its report."""
    faults = draw_faults(plan)
    async with contextlib.AsyncExitStack() as stack:
        environment = SoakEnvironment(plan, stack)
        await environment.start()
        driver = SoakDriver(environment)
        await asyncio.wait_for(driver.wait_until_ready(), START_TIMEOUT_S)
        started_at = driver.clock()
        await asyncio.gather(
            driver.send_load(started_at),
            driver.inject_faults(started_at, faults),
        )
        history = environment.history
        for node in environment.nodes:
            node.record_own_end(history)
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
        'broken': find_violations(history, GUARANTEE_LIMITS),
    }


def _start(plan: SoakPlan) -> int:
    report = asyncio.run(run_soak(plan))
    text = json.dumps(report, indent=2)
    if plan.report_file:
        pathlib.Path(plan.report_file).write_text(text, encoding='utf-8')
    sys.stdout.write(f'{text}\n')
    return EXIT_VIOLATION if report['broken'] else EXIT_OK


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-soak``."""
    program = Program(
        'ebonycleat-soak',
        'Injects faults into running nodes and checks their guarantees.',
        SoakPlan,
        _start,
    )
    return run_program(program, argv)


if __name__ == '__main__':
    sys.exit(main())
