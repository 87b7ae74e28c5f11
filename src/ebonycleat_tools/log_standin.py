"""Stand-in for the platform's append-only log, with faults on demand.

``POST /streams/NAME/records`` appends the body and answers its offset.
``GET /streams/NAME/records?offset=&limit=&wait_s=`` reads a page.
``GET /control`` shows the state as JSON; ``POST /control`` changes it.
"""

import contextlib
import dataclasses
import http
import random
import re
import sys
import threading
from collections.abc import Iterator, Sequence
from typing import Annotated, Literal, TypeAlias

import cbor2
import msgspec

from ebonycleat.internal.connection.errors import OffsetExpired
from ebonycleat.internal.connection.log_client import encode_log_page
from ebonycleat.internal.process.command_line import Program, run_program
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.settings import (
    MIB,
    ByteLimit,
    IpAddress,
    Port,
    PositiveInt,
)
from ebonycleat_tools.log_store import LogStore
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
)

RECORDS_PATH = re.compile('/streams/([a-z]{1,32})/records')
LONGEST_WAIT_S = 30
LARGEST_PAGE = 1000

Share: TypeAlias = Annotated[
    float,
    msgspec.Meta(ge=0, le=1, description='a share from 0 to 1'),
]
NonNegative: TypeAlias = Annotated[
    float,
    msgspec.Meta(ge=0, le=1e9, description='a number from 0'),
]
Count: TypeAlias = Annotated[
    int,
    msgspec.Meta(ge=0, description='a whole number from 0'),
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogListenSettings:
    """A waiting reader holds one thread for as long as it waits."""

    address: IpAddress = '127.0.0.1'
    port: Port = 9200
    threads: PositiveInt = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogFaults:
    """What the log does wrong; changed in flight through ``/control``.

    ``mode``: ``up``; ``refusing`` answers 503; ``silent`` closes each
    connection unanswered, and nothing is appended. ``latency_s`` is added
    to each answer. Answers to the next ``lose_answers`` appends, and to the
    ``lost_answer_share`` of the others, are lost after taking effect.
    """

    mode: Literal['up', 'refusing', 'silent'] = 'up'
    latency_s: NonNegative = 0
    lose_answers: Count = 0
    lost_answer_share: Share = 0
    retention_s: NonNegative = 3600
    appends_per_s: NonNegative = 300


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogStandinSettings:
    """The whole settings file; ``log`` is what ``/control`` changes."""

    listen: LogListenSettings = LogListenSettings()
    log: LogFaults = LogFaults()
    max_record_bytes: ByteLimit = 16 * MIB
    seed: Count = 1


class LogStandin:
    """Answers the requests of readers, writers and whoever breaks it."""

    def __init__(self, settings: LogStandinSettings, store: LogStore) -> None:
        """The settings are where the faults start."""
        self.settings = settings
        self.store = store
        self.faults = settings.log
        self.rng = random.Random(settings.seed)
        self.lock = threading.Lock()
        self.stopped = threading.Event()

    def answer(self, request: StandinRequest) -> StandinResponse:
        """Answer one request."""
        if request.path == '/control':
            return self._control(request)
        stream = RECORDS_PATH.fullmatch(request.path)
        if stream is None:
            return text_response(http.HTTPStatus.NOT_FOUND, 'no such stream')
        faults = self.faults
        if faults.latency_s:
            self.stopped.wait(faults.latency_s)
        if faults.mode == 'silent':
            abort_connection()
        if faults.mode == 'refusing':
            return text_response(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the log is down',
            )
        if request.method == 'POST':
            return self._append(stream.group(1), request)
        if request.method == 'GET':
            return self._read(stream.group(1), request)
        return text_response(
            http.HTTPStatus.METHOD_NOT_ALLOWED,
            'append with POST, read with GET',
        )

    def stop(self) -> None:
        """End all waits."""
        self.stopped.set()
        self.store.stop()

    def _append(self, stream: str, request: StandinRequest) -> StandinResponse:
        if not request.headers.get('operation-id'):
            return text_response(
                http.HTTPStatus.BAD_REQUEST,
                'the header Operation-Id is missing',
            )
        offset = self.store.append(stream, request.body)
        if offset is None:
            return StandinResponse(
                http.HTTPStatus.TOO_MANY_REQUESTS,
                b'too many appends',
                headers=(('Retry-After', '1'),),
            )
        if self._loses_answer():
            abort_connection()
        return _cbor_answer(http.HTTPStatus.CREATED, {'offset': offset})

    def _read(self, stream: str, request: StandinRequest) -> StandinResponse:
        try:
            wanted = msgspec.convert(
                request.query,
                _ReadQuery,
                strict=False,
            )
        except msgspec.ValidationError as error:
            return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        try:
            page = self.store.read(
                stream,
                wanted.offset,
                wanted.limit,
                wanted.wait_s,
            )
        except OffsetExpired as expired:
            return _cbor_answer(
                http.HTTPStatus.GONE,
                {'first_offset': expired.first_offset},
            )
        if self.faults.mode == 'silent':
            abort_connection()  # the outage began while the reader waited
        return StandinResponse(
            http.HTTPStatus.OK,
            encode_log_page(page),
            'application/cbor',
        )

    def _control(self, request: StandinRequest) -> StandinResponse:
        if request.method == 'POST':
            try:
                self._apply(request.body)
            except msgspec.DecodeError as error:
                return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        return json_response({
            'log': dataclasses.asdict(self.faults),
            'streams': self.store.describe(),
        })

    def _apply(self, encoded: bytes) -> None:
        change = msgspec.json.decode(encoded, type=_Change)
        with self.lock:
            self.faults = replace_fields(self.faults, change.log)
        self.store.set_limits(
            self.faults.retention_s,
            self.faults.appends_per_s,
        )
        if change.drop_records:
            self.store.drop_records()

    def _loses_answer(self) -> bool:
        with self.lock:
            left = self.faults.lose_answers
            if left:
                self.faults = dataclasses.replace(
                    self.faults,
                    lose_answers=left - 1,
                )
                return True
            return self.rng.random() < self.faults.lost_answer_share


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadQuery:
    offset: Annotated[int, msgspec.Meta(ge=1)]
    limit: Annotated[int, msgspec.Meta(ge=1, le=LARGEST_PAGE)] = LARGEST_PAGE
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=LONGEST_WAIT_S)] = 0


class _Change(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change, by name, and records to drop."""

    log: dict[str, float | str] = {}
    drop_records: bool = False


@contextlib.contextmanager
def serve_log_standin(settings: LogStandinSettings) -> Iterator[int]:
    """Serve until the block ends; gives the port."""
    store = LogStore(settings.log.retention_s, settings.log.appends_per_s)
    standin = LogStandin(settings, store)
    listen = ServerOptions(
        settings.listen.address,
        settings.listen.port,
        settings.listen.threads,
    )
    application = StandinApplication(
        standin.answer,
        settings.max_record_bytes,
    )
    with serve(listen, application, standin.stop) as port:
        yield port


def _cbor_answer(status: int, fields: dict[str, int]) -> StandinResponse:
    return StandinResponse(status, cbor2.dumps(fields), 'application/cbor')


def _start(settings: LogStandinSettings) -> int:
    set_up_logging('INFO', 'log-standin')
    with serve_log_standin(settings) as port:
        sys.stdout.write(f'log stand-in listens on port {port}\n')
        sys.stdout.flush()
        threading.Event().wait()
    return 0


def main(argv: Sequence[str] | None = None) -> int:
    """Entry point of ``ebonycleat-log-standin``."""
    program = Program(
        'ebonycleat-log-standin',
        "Stands in for the platform's append-only log.",
        LogStandinSettings,
        _start,
    )
    return run_program(program, argv)
