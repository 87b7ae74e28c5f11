"""Stand-in for a target: runs requests in slots, with faults on demand.

A request asks for a fault by ``standin:NAME`` in the body or ``standin=NAME``
in the query: ``crash`` ends the process, ``truncate`` cuts the answer off,
``break`` closes the connection after the run, ``late`` makes the run longer,
``fail`` answers 500. ``/health`` reports health and load, ``/control/stats``
returns counts, and ``/control`` changes the behaviour.
"""

import contextlib
import dataclasses
import http
import os
import random
import re
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import Any, Literal, Self

import msgspec

from ebonycleat.internal.process.command_line import Program, run_program
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.settings import (
    MIB,
    HttpUrl,
    IpAddress,
    Name,
    Port,
    Seconds,
)
from ebonycleat_tools.standin_server import (
    ServerOptions,
    StandinApplication,
    StandinRequest,
    StandinResponse,
    abort_connection,
    json_response,
    replace_fields,
    serve,
    text_response,
    wait_for_disconnect,
)
from ebonycleat_tools.target_calls import (
    DownstreamCall,
    DownstreamCaller,
    read_timeout_s,
)
from ebonycleat_tools.target_work import TargetBehaviour, TargetSimulation

FAULT_PATTERN = re.compile(rb'standin:([a-z]+)')
CRASH_EXIT_CODE = 70
# The server has this many threads more than slots, so that it can refuse
# requests while all slots are occupied.
EXTRA_THREADS = 16
MAX_BODY_BYTES = 16 * MIB
MAX_ECHOED_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetListenSettings:
    """Address at which the target serves its node."""

    address: IpAddress = '127.0.0.1'
    port: Port = 9000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetStandinSettings:
    """The settings file; ``target`` can be changed through ``/control``.

    Each run makes ``calls`` through ``node``, one after the other. With
    ``on_call_failure = "fail"`` the run fails if one of them is not answered
    with success.
    """

    name: Name = 'target'
    listen: TargetListenSettings = TargetListenSettings()
    target: TargetBehaviour = TargetBehaviour()
    node: HttpUrl = 'http://127.0.0.1:8000'
    calls: tuple[DownstreamCall, ...] = ()
    call_timeout_s: Seconds = 10
    on_call_failure: Literal['fail', 'ignore'] = 'fail'
    seed: int = 1


class TargetStandin:
    """Handles the requests of the node and control requests."""

    def __init__(
        self,
        settings: TargetStandinSettings,
        simulation: TargetSimulation,
        exit_process: Callable[[int], object],
    ) -> None:
        """``exit_process`` ends the process immediately, without clean-up."""
        self.settings = settings
        self.simulation = simulation
        self.exit_process = exit_process
        self.stop_event = threading.Event()
        self.downstream = DownstreamCaller(
            settings.node,
            settings.calls,
            settings.call_timeout_s,
        )

    def handle_request(self, request: StandinRequest) -> StandinResponse:
        """Handle one request; called in a thread of the server."""
        if request.path == '/health':
            return self._handle_health()
        if request.path == '/control/stats':
            return json_response(self.simulation.stats())
        if request.path == '/control':
            return self._handle_control(request)
        key = request.headers.get('idempotency-key', '')
        if not self.simulation.start(request.path, key):
            return StandinResponse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                b'no free slot',
                headers=(('Retry-After', '1'), ('Standin-Shed', 'yes')),
            )
        with _Run(self, request) as run:
            return run.execute()

    def stop(self) -> None:
        """Wake all handlers that wait, so that the server can stop."""
        self.stop_event.set()
        self.downstream.close()

    def _handle_health(self) -> StandinResponse:
        health = self.simulation.health()
        if health['good']:
            return json_response(health)
        return json_response(health, http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _handle_control(self, request: StandinRequest) -> StandinResponse:
        if request.method == 'POST':
            try:
                self._change_behaviour(request.body)
            except msgspec.DecodeError as error:
                return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        return json_response(dataclasses.asdict(self.simulation.behaviour))

    def _change_behaviour(self, encoded: bytes) -> None:
        changes = msgspec.json.decode(encoded, type=dict[str, object])
        self.simulation.change_behaviour(
            replace_fields(self.simulation.behaviour, changes)
        )


class _Run:
    """One request in a slot; ``result`` is counted when it ends."""

    def __init__(self, target: TargetStandin, request: StandinRequest) -> None:
        self.target = target
        self.request = request
        self.result = 'finished'
        self.requested_faults = _find_requested_faults(request)
        self.deadline = target.simulation.clock() + read_timeout_s(
            request.headers
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.target.simulation.finish(self.result)

    def execute(self) -> StandinResponse:
        """Wait for the service time, then answer or fail as requested."""
        if 'crash' in self.requested_faults:
            self.target.exit_process(CRASH_EXIT_CODE)
        if not self._wait_for_service_time():
            return text_response(http.HTTPStatus.GATEWAY_TIMEOUT, self.result)
        calls = self.target.downstream.make_calls(
            self.request.headers, self._remaining_s()
        )
        if 'break' in self.requested_faults:
            self.result = 'broken'
            abort_connection()
        response = json_response(self._echo(calls), self._status(calls))
        if 'truncate' in self.requested_faults:
            self.result = 'truncated'
            return dataclasses.replace(
                response,
                sent_bytes=len(response.body) // 2,
            )
        return response

    def _wait_for_service_time(self) -> bool:
        service_s = self.target.simulation.draw_service_time_s()
        if 'late' in self.requested_faults:
            service_s += self.target.simulation.behaviour.late_s
        wait_s = min(service_s, self._remaining_s())
        if wait_for_disconnect(
            wait_s,
            self.request.socket,
            self.target.stop_event,
            self.target.simulation.clock,
        ):
            self.result = 'cancelled'
            return False
        if wait_s < service_s:
            self.result = 'out_of_time'
            return False
        return True

    def _remaining_s(self) -> float:
        return max(self.deadline - self.target.simulation.clock(), 0)

    def _status(self, calls: list[dict[str, Any]]) -> http.HTTPStatus:
        if 'fail' in self.requested_faults:
            self.result = 'failed'
            return http.HTTPStatus.INTERNAL_SERVER_ERROR
        has_failed_call = any(not call['answered'] for call in calls)
        if has_failed_call and self.target.settings.on_call_failure == 'fail':
            self.result = 'failed'
            return http.HTTPStatus.BAD_GATEWAY
        return http.HTTPStatus.OK

    def _echo(self, calls: list[dict[str, Any]]) -> dict[str, Any]:
        """Return the request as JSON fields.

        Tests compare them to check that the answer belongs to the request.
        """
        behaviour = self.target.simulation.behaviour
        return {
            'target': self.target.settings.name,
            'method': self.request.method,
            'path': self.request.path,
            'query': self.request.query,
            'headers': self.request.headers,
            'body': self.request.body[:MAX_ECHOED_BYTES].decode('latin-1'),
            'body_bytes': len(self.request.body),
            'calls': calls,
            'padding': 'x' * behaviour.answer_bytes,
        }


@contextlib.contextmanager
def serve_target_standin(
    settings: TargetStandinSettings,
    exit_process: Callable[[int], object] = os._exit,
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[int]:
    """Serve while the context is open; yields the port."""
    simulation = TargetSimulation(
        settings.target, random.Random(settings.seed), clock
    )
    standin = TargetStandin(settings, simulation, exit_process)
    listen = ServerOptions(
        settings.listen.address,
        settings.listen.port,
        settings.target.slots + EXTRA_THREADS,
    )
    application = StandinApplication(standin.handle_request, MAX_BODY_BYTES)
    with serve(listen, application, standin.stop) as port:
        yield port


def _find_requested_faults(request: StandinRequest) -> frozenset[str]:
    in_query = request.query.get('standin', '').split(',')
    in_body = FAULT_PATTERN.findall(request.body)
    return frozenset((*in_query, *(name.decode() for name in in_body)))


def _start(settings: TargetStandinSettings) -> int:
    set_up_logging('INFO', settings.name)
    with serve_target_standin(settings) as port:
        sys.stdout.write(f'target stand-in listens on port {port}\n')
        sys.stdout.flush()
        threading.Event().wait()
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-target-standin``."""
    program = Program(
        'ebonycleat-target-standin',
        'Stands in for a target behind its node.',
        TargetStandinSettings,
        _start,
    )
    return run_program(program, argv)
