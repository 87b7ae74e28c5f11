"""Emulates the platform's store: topics with offsets and keyed records."""

import asyncio
import base64
import dataclasses
import functools
import json
from collections.abc import Callable
from typing import TypeAlias
from urllib.parse import parse_qs

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.platform.store import ERA_HEADER

OK = 200
GONE = 410
UNAVAILABLE = 503
NOT_FOUND = 404
LENGTH_BYTES = 4
OFFSET_BYTES = 8
MILLISECONDS_PER_S = 1000
CONFIGURATION_TOPIC = 'keyed.op'
CONFIGURATION_KEY = 'config'
MAX_READ_BYTES = 1024 * 1024
"""An answer ends before the record that would exceed this size, unless that
is its first record."""


Responder: TypeAlias = Callable[[HttpResponse], None]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    """A read that waits for a record at its start offset."""

    respond: Responder
    start: int
    timer: asyncio.TimerHandle


class Topic:
    """The records of one topic, and the reads that wait for more.

    ``appended_at`` has the time of each record, in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty topic; ``clock`` returns seconds."""
        self.clock = clock
        self.records: list[tuple[str, bytes]] = []
        self.appended_at: list[float] = []
        self.first_offset = 0
        self.pending_reads: list[_PendingRead] = []

    def append(self, key: str, record: bytes) -> int:
        """Append a record and return its offset; answers pending reads."""
        self.records.append((key, record))
        self.appended_at.append(self.clock())
        for pending in self.take_pending_reads():
            pending.respond(self.read(pending.start))
        return len(self.records) - 1

    def take_pending_reads(self) -> list[_PendingRead]:
        """Return the reads that wait; none waits any more."""
        pending_reads = self.pending_reads
        self.pending_reads = []
        for pending in pending_reads:
            pending.timer.cancel()
        return pending_reads

    def drop_records_since(self, oldest_lost: float) -> dict[str, bytes]:
        """Lose the records of a time and later; return the newest of each key.

        Reads that wait get an error, as they do when the store goes away.
        """
        kept = sum(time < oldest_lost for time in self.appended_at)
        lost_records = dict(self.records[kept:])
        self.records = self.records[:kept]
        self.appended_at = self.appended_at[:kept]
        for pending in self.take_pending_reads():
            pending.respond(HttpResponse(UNAVAILABLE))
        return lost_records

    def read(self, start: int) -> HttpResponse:
        """Return the answer to a read: the first records from ``start`` on."""
        if start < self.first_offset or start > len(self.records):
            body = json.dumps({'first': self.first_offset}).encode()
            return HttpResponse(GONE, (), body)
        offsets = len(self.records).to_bytes(OFFSET_BYTES, 'big')
        offsets += self.first_offset.to_bytes(OFFSET_BYTES, 'big')
        body = b''
        for key, record in self.records[start:]:
            entry = bytes((len(key),)) + key.encode() + record
            framed = len(entry).to_bytes(LENGTH_BYTES, 'big') + entry
            if body and len(body) + len(framed) > MAX_READ_BYTES:
                break
            body += framed
        return HttpResponse(OK, (), offsets + body)

    def newest(self) -> HttpResponse:
        """Return the newest record of each key, without empty records."""
        items = [
            {'key': key, 'value': base64.b64encode(record).decode()}
            for key, record in dict(self.records).items()
            if record
        ]
        page = {'items': items, 'more': False, 'end': len(self.records)}
        return HttpResponse(OK, (), json.dumps(page).encode())


class EmulatedStore(ExchangeHandler):
    """Handles calls to the store; while ``is_down`` is set it answers 503.

    ``era`` is named in all answers; it rises with each restore.
    """

    def __init__(self) -> None:
        """Create a store without topics."""
        self.topics: dict[str, Topic] = {}
        self.clock = asyncio.get_running_loop().time
        self.is_down = False
        self.era = 1
        self.call_count = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, created on its first use."""
        return self.topics.setdefault(name, Topic(self.clock))

    def restore(self, copied_at: float) -> None:
        """Replace all topics by a copy that was made at a time of the past.

        The operator then writes the newest configuration again if the copy
        lacks it; what the nodes wrote since is lost.
        """
        self.era += 1
        for name, topic in self.topics.items():
            lost_records = topic.drop_records_since(copied_at)
            if name == CONFIGURATION_TOPIC:
                for key, record in lost_records.items():
                    topic.append(key, record)

    def write_configuration(self, configuration: dict[str, object]) -> None:
        """Append a configuration version, as the platform's operator does."""
        record = json.dumps(configuration).encode()
        self.topic(CONFIGURATION_TOPIC).append(CONFIGURATION_KEY, record)

    def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one call."""
        self.call_count += 1

        respond = functools.partial(self.respond, exchange)
        if self.is_down:
            respond(HttpResponse(UNAVAILABLE))
            return
        path, _, query_text = exchange.request.request_target.partition('?')
        query = {name: texts[0] for name, texts in parse_qs(query_text).items()}
        topic = self.topic(query.get('topic', ''))
        if path == '/log-newest':
            respond(topic.newest())
        elif path == '/log-read':
            self.read(respond, topic, query)
        elif path == '/log-append':
            respond(_append(topic, exchange.request.body))
        else:
            respond(HttpResponse(NOT_FOUND))

    def respond(self, exchange: Exchange, response: HttpResponse) -> None:
        """Send an answer that names the era."""
        headers = (*response.headers, (ERA_HEADER, str(self.era)))
        exchange.respond(HttpResponse(response.status, headers, response.body))

    def read(
        self,
        respond: Responder,
        topic: Topic,
        query: dict[str, str],
    ) -> None:
        """Answer a read at once, or on the next record or the time-out."""
        start = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / MILLISECONDS_PER_S
        if start != len(topic.records) or not wait_s:
            respond(topic.read(start))
            return
        timer = asyncio.get_running_loop().call_later(
            wait_s,
            lambda: respond(topic.read(start)),
        )
        topic.pending_reads.append(_PendingRead(respond, start, timer))


def _append(topic: Topic, body: bytes) -> HttpResponse:
    entry = body[LENGTH_BYTES:]
    key_end = 1 + entry[0]
    offset = topic.append(entry[1:key_end].decode(), entry[key_end:])
    page = {'offset': offset, 'end': offset + 1}
    return HttpResponse(OK, (), json.dumps(page).encode())
