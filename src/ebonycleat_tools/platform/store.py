"""Emulates the platform's store: topics with offsets and keyed records."""

import asyncio
import base64
import dataclasses
import json
from urllib.parse import parse_qs

from ebonycleat.internal.connection.http_listener import (
    Exchange,
    ExchangeHandler,
)
from ebonycleat.internal.connection.http_messages import HttpResponse

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


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    """A read that waits for a record at its start offset."""

    exchange: Exchange
    start: int
    timer: asyncio.TimerHandle


class Topic:
    """The records of one topic, and the reads that wait for more."""

    def __init__(self) -> None:
        """Create an empty topic."""
        self.records: list[tuple[str, bytes]] = []
        self.first_offset = 0
        self.pending_reads: list[_PendingRead] = []

    def append(self, key: str, record: bytes) -> int:
        """Append a record and return its offset; answers pending reads."""
        self.records.append((key, record))
        pending_reads = self.pending_reads
        self.pending_reads = []
        for pending in pending_reads:
            pending.timer.cancel()
            pending.exchange.respond(self.read(pending.start))
        return len(self.records) - 1

    def read(self, start: int) -> HttpResponse:
        """Return the answer to a read: the first records from ``start`` on."""
        if start < self.first_offset:
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
    """Handles calls to the store; while ``is_down`` is set it answers 503."""

    def __init__(self) -> None:
        """Create a store without topics."""
        self.topics: dict[str, Topic] = {}
        self.is_down = False
        self.call_count = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, created on its first use."""
        return self.topics.setdefault(name, Topic())

    def write_configuration(self, configuration: dict[str, object]) -> None:
        """Append a configuration version, as the platform's operator does."""
        record = json.dumps(configuration).encode()
        self.topic(CONFIGURATION_TOPIC).append(CONFIGURATION_KEY, record)

    def handle_exchange(self, exchange: Exchange) -> None:
        """Handle one call."""
        self.call_count += 1
        if self.is_down:
            exchange.respond(HttpResponse(UNAVAILABLE))
            return
        path, _, query_text = exchange.request.request_target.partition('?')
        query = {name: texts[0] for name, texts in parse_qs(query_text).items()}
        topic = self.topic(query.get('topic', ''))
        if path == '/log-newest':
            exchange.respond(topic.newest())
        elif path == '/log-read':
            self.read(exchange, topic, query)
        elif path == '/log-append':
            exchange.respond(_append(topic, exchange.request.body))
        else:
            exchange.respond(HttpResponse(NOT_FOUND))

    def read(
        self,
        exchange: Exchange,
        topic: Topic,
        query: dict[str, str],
    ) -> None:
        """Answer a read at once, or on the next record or the time-out."""
        start = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / MILLISECONDS_PER_S
        if start != len(topic.records) or not wait_s:
            exchange.respond(topic.read(start))
            return
        timer = asyncio.get_running_loop().call_later(
            wait_s,
            lambda: exchange.respond(topic.read(start)),
        )
        topic.pending_reads.append(_PendingRead(exchange, start, timer))


def _append(topic: Topic, body: bytes) -> HttpResponse:
    entry = body[LENGTH_BYTES:]
    key_end = 1 + entry[0]
    offset = topic.append(entry[1:key_end].decode(), entry[key_end:])
    page = {'offset': offset, 'end': offset + 1}
    return HttpResponse(OK, (), json.dumps(page).encode())
