"""Emulates the platform's store: topics that keep the newest of each key."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """A read that waits for a record."""

    exchange: Exchange
    start: int
    timer: asyncio.TimerHandle


class Topic:
    """Records in their order, and the reads that wait for more."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.readers: list[Reader] = []

    def append(self, key: str, found: bytes) -> int:
        """Add a record, answer the reads that wait; returns the offset."""
        self.records.append((key, found))
        readers = self.readers
        self.readers = []
        for reader in readers:
            reader.timer.cancel()
            reader.exchange.respond(self.read(reader.start))
        return len(self.records) - 1

    def read(self, start: int) -> HttpResponse:
        """Answer a read with what there is from ``start`` on."""
        if start < self.first:
            body = json.dumps({'first': self.first}).encode()
            return HttpResponse(GONE, (), body)
        body = len(self.records).to_bytes(OFFSET_BYTES, 'big')
        body += self.first.to_bytes(OFFSET_BYTES, 'big')
        for key, found in self.records[start:]:
            keyed = bytes((len(key),)) + key.encode() + found
            body += len(keyed).to_bytes(LENGTH_BYTES, 'big') + keyed
        return HttpResponse(OK, (), body)

    def newest(self) -> HttpResponse:
        """Answer with the newest record of each key."""
        items = [
            {'key': key, 'value': base64.b64encode(found).decode()}
            for key, found in dict(self.records).items()
            if found
        ]
        page = {'items': items, 'more': False, 'end': len(self.records)}
        return HttpResponse(OK, (), json.dumps(page).encode())


class EmulatedStore(ExchangeHandler):
    """Answers calls to the store; ``is_down`` makes it refuse them."""

    def __init__(self) -> None:
        """Start without records."""
        self.topics: dict[str, Topic] = {}
        self.is_down = False
        self.calls = 0

    def topic(self, name: str) -> Topic:
        """Return a topic; it is made on its first use."""
        return self.topics.setdefault(name, Topic())

    def write_configuration(self, configuration: dict[str, object]) -> None:
        """Write a version as the operator does."""
        record = json.dumps(configuration).encode()
        self.topic(CONFIGURATION_TOPIC).append(CONFIGURATION_KEY, record)

    def handle_exchange(self, exchange: Exchange) -> None:
        """Answer one call."""
        self.calls += 1
        if self.is_down:
            exchange.respond(HttpResponse(UNAVAILABLE))
            return
        path, _, query_text = exchange.request.request_target.partition('?')
        query = {name: found[0] for name, found in parse_qs(query_text).items()}
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
        """Answer a read now, or when a record comes or its time is up."""
        start = int(query['from'])
        wait_s = int(query.get('waitMs', 0)) / MILLISECONDS_PER_S
        if start != len(topic.records) or not wait_s:
            exchange.respond(topic.read(start))
            return
        timer = asyncio.get_running_loop().call_later(
            wait_s,
            lambda: exchange.respond(topic.read(start)),
        )
        topic.readers.append(Reader(exchange, start, timer))


def _append(topic: Topic, body: bytes) -> HttpResponse:
    keyed = body[LENGTH_BYTES:]
    key_end = 1 + keyed[0]
    offset = topic.append(keyed[1:key_end].decode(), keyed[key_end:])
    page = {'offset': offset, 'end': offset + 1}
    return HttpResponse(OK, (), json.dumps(page).encode())
