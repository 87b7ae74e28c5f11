"""Stand-in for a target: works in slots, and fails when a request says so.

Markers are in the body as ``standin:NAME`` or in the query as
``standin=NAME``: ``crash`` ends the process, ``truncate`` cuts the answer
off, ``break`` closes the connection after the run, ``late`` makes the run
longer, ``fail`` answers 500. ``/health`` is the load endpoint;
``/control/stats`` shows counts, ``/control`` changes the behaviour.
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

MARKER = re.compile(rb'standin:([a-z]+)')
CRASH_EXIT_CODE = 70
# More threads than slots, so that the target can shed while all slots work.
SHEDDING_THREADS = 16
MAX_BODY_BYTES = 16 * MIB
ECHOED_BYTES = 4096


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetListenSettings:
    """Where the target serves its node."""

    address: IpAddress = '127.0.0.1'
    port: Port = 9000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TargetStandinSettings:
    """The whole settings file; ``target`` is what ``/control`` changes.

    Each run makes ``calls`` through ``node``, one after the other. With
    ``on_call_failure = "fail"`` a refused call makes the run fail.
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
    """Answers the requests of the node, and of whoever breaks the target."""

    def __init__(
        self,
        settings: TargetStandinSettings,
        work: TargetSimulation,
        exit_process: Callable[[int], object],
    ) -> None:
        """``exit_process`` ends the process at once, without clean-up."""
        self.settings = settings
        self.work = work
        self.exit_process = exit_process
        self.stopped = threading.Event()
        self.calls_on = DownstreamCaller(
            settings.node,
            settings.calls,
            settings.call_timeout_s,
        )

    def answer(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        if request.path == '/health':
            return self._answer_health()
        if request.path == '/control/stats':
            return json_response(self.work.stats())
        if request.path == '/control':
            return self._control(request)
        key = request.headers.get('idempotency-key', '')
        if not self.work.start(request.path, key):
            return StandinResponse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                b'no free slot',
                headers=(('Retry-After', '1'), ('Standin-Shed', 'yes')),
            )
        with _Run(self, request) as run:
            return run.work_and_answer()

    def stop(self) -> None:
        """End all waits."""
        self.stopped.set()
        self.calls_on.close()

    def _answer_health(self) -> StandinResponse:
        health = self.work.health()
        if health['good']:
            return json_response(health)
        return json_response(health, http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _control(self, request: StandinRequest) -> StandinResponse:
        if request.method == 'POST':
            try:
                self._change(request.body)
            except msgspec.DecodeError as error:
                return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        return json_response(dataclasses.asdict(self.work.behaviour))

    def _change(self, encoded: bytes) -> None:
        changes = msgspec.json.decode(encoded, type=dict[str, object])
        self.work.change_behaviour(replace_fields(self.work.behaviour, changes))


class _Run:
    """One request in a slot; ``end`` tells how it ended."""

    def __init__(self, target: TargetStandin, request: StandinRequest) -> None:
        self.target = target
        self.request = request
        self.end = 'finished'
        self.markers = _find_markers(request)
        self.deadline = target.work.clock() + read_timeout_s(request.headers)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *details: object) -> None:
        self.target.work.finish(self.end)

    def work_and_answer(self) -> StandinResponse:
        """Work for the service time, then answer as the markers say."""
        if 'crash' in self.markers:
            self.target.exit_process(CRASH_EXIT_CODE)
        if not self._work():
            return text_response(http.HTTPStatus.GATEWAY_TIMEOUT, self.end)
        calls = self.target.calls_on.make_calls(
            self.request.headers, self._left_s()
        )
        if 'break' in self.markers:
            self.end = 'broken'
            abort_connection()
        answer = json_response(self._echo(calls), self._status(calls))
        if 'truncate' in self.markers:
            self.end = 'truncated'
            return dataclasses.replace(
                answer,
                sent_bytes=len(answer.body) // 2,
            )
        return answer

    def _work(self) -> bool:
        service_s = self.target.work.draw_service_time_s()
        if 'late' in self.markers:
            service_s += self.target.work.behaviour.late_s
        worked_s = min(service_s, self._left_s())
        if wait_for_disconnect(
            worked_s,
            self.request.socket,
            self.target.stopped,
            self.target.work.clock,
        ):
            self.end = 'cancelled'
            return False
        if worked_s < service_s:
            self.end = 'out_of_time'
            return False
        return True

    def _left_s(self) -> float:
        return max(self.deadline - self.target.work.clock(), 0)

    def _status(self, calls: list[dict[str, Any]]) -> http.HTTPStatus:
        if 'fail' in self.markers:
            self.end = 'failed'
            return http.HTTPStatus.INTERNAL_SERVER_ERROR
        refused = any(not made['answered'] for made in calls)
        if refused and self.target.settings.on_call_failure == 'fail':
            self.end = 'failed'
            return http.HTTPStatus.BAD_GATEWAY
        return http.HTTPStatus.OK

    def _echo(self, calls: list[dict[str, Any]]) -> dict[str, Any]:
        """What tests compare: that the answer belongs to the request."""
        behaviour = self.target.work.behaviour
        return {
            'target': self.target.settings.name,
            'method': self.request.method,
            'path': self.request.path,
            'query': self.request.query,
            'headers': self.request.headers,
            'body': self.request.body[:ECHOED_BYTES].decode('latin-1'),
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
    """Serve until the block ends; gives the port."""
    work = TargetSimulation(
        settings.target, random.Random(settings.seed), clock
    )
    standin = TargetStandin(settings, work, exit_process)
    listen = ServerOptions(
        settings.listen.address,
        settings.listen.port,
        settings.target.slots + SHEDDING_THREADS,
    )
    application = StandinApplication(standin.answer, MAX_BODY_BYTES)
    with serve(listen, application, standin.stop) as port:
        yield port


def _find_markers(request: StandinRequest) -> frozenset[str]:
    in_query = request.query.get('standin', '').split(',')
    in_body = MARKER.findall(request.body)
    return frozenset((*in_query, *(found.decode() for found in in_body)))


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
