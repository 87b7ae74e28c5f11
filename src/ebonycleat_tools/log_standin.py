"""Stand-in for the platform's append-only log, with faults on demand.

``POST /streams/NAME/records`` appends the body and returns its offset.
``GET /streams/NAME/records?offset=&limit=&wait_s=`` reads a page.
``GET /control`` returns the state as JSON; ``POST /control`` changes it.
All answers about records name the era of the log in ``Log-Era``; it rises each
time the log is restored from an older copy. A request may name the era that it
expects; in another one it is refused with 412 and changes nothing.
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
from ebonycleat.internal.connection.log_client import (
    ERA_HEADER,
    encode_log_page,
)
from ebonycleat.internal.process.command_line import Program, run_program
from ebonycleat.internal.process.logging_setup import set_up_logging
from ebonycleat.internal.process.settings import (
    MIB,
    ByteLimit,
    IpAddress,
    Port,
    PositiveInt,
)
from ebonycleat_tools.log_store import EraMismatch, LogStore
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
MAX_WAIT_S = 30
MAX_PAGE_RECORDS = 1000

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
    """Address of the server and its threads.

    A read that waits for records occupies one thread for the whole wait.
    """

    address: IpAddress = '127.0.0.1'
    port: Port = 9200
    threads: PositiveInt = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogFaults:
    """Faults and limits of the log; ``/control`` changes them at run time.

    ``mode``: ``up`` works normally; ``refusing`` answers 503; ``silent``
    closes each connection without an answer and appends nothing.
    ``latency_s`` is added to each answer. The next ``lose_answers`` appends,
    and the share ``lost_answer_share`` of all others, take effect but get no
    answer.
    """

    mode: Literal['up', 'refusing', 'silent'] = 'up'
    latency_s: NonNegative = 0
    lose_answers: Count = 0
    lost_answer_share: Share = 0
    retention_s: NonNegative = 3600
    appends_per_s: NonNegative = 300


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogStandinSettings:
    """The settings file; ``log`` can be changed through ``/control``."""

    listen: LogListenSettings = LogListenSettings()
    log: LogFaults = LogFaults()
    max_record_bytes: ByteLimit = 16 * MIB
    seed: Count = 1


class LogStandin:
    """Handles appends, reads and control requests."""

    def __init__(self, settings: LogStandinSettings, store: LogStore) -> None:
        """Start with the faults of the settings file."""
        self.settings = settings
        self.store = store
        self.faults = settings.log
        self.rng = random.Random(settings.seed)
        self.lock = threading.Lock()
        self.stop_event = threading.Event()

    def handle_request(self, request: StandinRequest) -> StandinResponse:
        """Handle one request; called in a thread of the server."""
        if request.path == '/control':
            return self._handle_control(request)
        match = RECORDS_PATH.fullmatch(request.path)
        if match is None:
            return text_response(
                http.HTTPStatus.NOT_FOUND,
                'the path is neither /control nor /streams/NAME/records',
            )
        faults = self.faults
        if faults.latency_s:
            self.stop_event.wait(faults.latency_s)
        if faults.mode == 'silent':
            abort_connection()
        if faults.mode == 'refusing':
            return text_response(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                'the log is set to refuse requests',
            )
        try:
            response = self._handle_records(match.group(1), request)
        except EraMismatch as error:
            response = text_response(
                http.HTTPStatus.PRECONDITION_FAILED, str(error)
            )
        era = (ERA_HEADER, str(self.store.era))
        return dataclasses.replace(response, headers=(*response.headers, era))

    def stop(self) -> None:
        """Wake all handlers that wait, so that the server can stop."""
        self.stop_event.set()
        self.store.stop()

    def _handle_records(
        self, stream: str, request: StandinRequest
    ) -> StandinResponse:
        era_text = request.headers.get(ERA_HEADER.lower(), '')
        era = int(era_text) if era_text.isdecimal() else None
        if request.method == 'POST':
            return self._append(stream, request, era)
        if request.method == 'GET':
            return self._read(stream, request, era)
        return text_response(
            http.HTTPStatus.METHOD_NOT_ALLOWED,
            'use POST to append and GET to read',
        )

    def _append(
        self, stream: str, request: StandinRequest, era: int | None
    ) -> StandinResponse:
        if not request.headers.get('operation-id'):
            return text_response(
                http.HTTPStatus.BAD_REQUEST,
                'the header Operation-Id is missing',
            )
        offset = self.store.append(stream, request.body, era)
        if offset is None:
            return StandinResponse(
                http.HTTPStatus.TOO_MANY_REQUESTS,
                b'too many appends',
                headers=(('Retry-After', '1'),),
            )
        if self._should_lose_answer():
            abort_connection()
        return _cbor_response(http.HTTPStatus.CREATED, {'offset': offset})

    def _read(
        self, stream: str, request: StandinRequest, era: int | None
    ) -> StandinResponse:
        try:
            query = msgspec.convert(
                request.query,
                _ReadQuery,
                strict=False,
            )
        except msgspec.ValidationError as error:
            return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        try:
            page = self.store.read(
                stream,
                query.offset,
                query.limit,
                query.wait_s,
                era,
            )
        except OffsetExpired as expired:
            return _cbor_response(
                http.HTTPStatus.GONE,
                {'first_offset': expired.first_offset},
            )
        if self.faults.mode == 'silent':
            # The mode was changed to silent while the read was waiting.
            abort_connection()
        return StandinResponse(
            http.HTTPStatus.OK,
            encode_log_page(page),
            'application/cbor',
        )

    def _handle_control(self, request: StandinRequest) -> StandinResponse:
        if request.method == 'POST':
            try:
                self._apply_change(request.body)
            except msgspec.DecodeError as error:
                return text_response(http.HTTPStatus.BAD_REQUEST, str(error))
        return json_response({
            'log': dataclasses.asdict(self.faults),
            'era': self.store.era,
            'streams': self.store.get_offsets(),
        })

    def _apply_change(self, encoded: bytes) -> None:
        change = msgspec.json.decode(encoded, type=_Change)
        with self.lock:
            self.faults = replace_fields(self.faults, change.log)
        self.store.set_limits(
            self.faults.retention_s,
            self.faults.appends_per_s,
        )
        if change.drop_records:
            self.store.drop_records()
        if change.restore_copy_age_s is not None:
            self.store.restore(change.restore_copy_age_s)

    def _should_lose_answer(self) -> bool:
        with self.lock:
            remaining = self.faults.lose_answers
            if remaining:
                self.faults = dataclasses.replace(
                    self.faults,
                    lose_answers=remaining - 1,
                )
                return True
            return self.rng.random() < self.faults.lost_answer_share


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadQuery:
    offset: Annotated[int, msgspec.Meta(ge=1)]
    limit: Annotated[int, msgspec.Meta(ge=1, le=MAX_PAGE_RECORDS)] = (
        MAX_PAGE_RECORDS
    )
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_WAIT_S)] = 0


class _Change(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control``.

    ``log`` holds the faults to change, by name. With ``drop_records`` all
    records expire at once. With ``restore_copy_age_s`` the log comes back from
    a copy of that age.
    """

    log: dict[str, float | str] = {}
    drop_records: bool = False
    restore_copy_age_s: NonNegative | None = None


@contextlib.contextmanager
def serve_log_standin(settings: LogStandinSettings) -> Iterator[int]:
    """Serve while the context is open; yields the port."""
    store = LogStore(settings.log.retention_s, settings.log.appends_per_s)
    standin = LogStandin(settings, store)
    listen = ServerOptions(
        settings.listen.address,
        settings.listen.port,
        settings.listen.threads,
    )
    application = StandinApplication(
        standin.handle_request,
        settings.max_record_bytes,
    )
    with serve(listen, application, standin.stop) as port:
        yield port


def _cbor_response(status: int, fields: dict[str, int]) -> StandinResponse:
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
