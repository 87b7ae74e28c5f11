"""Calls to the platform's metadata store."""

import asyncio
import base64
import types
from typing import Any
from urllib.parse import urlencode

import msgspec

from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    encode_request,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendFailure,
    SendResult,
)
from ebonycleat.internal.connection.platform_interfaces import (
    KeyValueStore,
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.mesh_settings import Address

ANSWER_TIMEOUT_S = 1.5
"""The store answers in a few milliseconds; when it is slow, in some hundred.
A connection on which a response was lost returns nothing further."""

MAX_IDLE_CONNECTION_S = 4.0
LENGTH_BYTES = 4
OFFSET_BYTES = 8
MILLISECONDS_PER_S = 1000
FOUND = 200
GONE = 410

NAME_BY_TOPIC = types.MappingProxyType({
    StoreTopic.CONFIGURATION: 'keyed.op',
    StoreTopic.MEMBERS: 'keyed.ebonycleat-members',
})


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64; absent where the key was dropped.
    value: str = ''


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    # Offset at which the next record will stand.
    end: int
    more: bool = False


class _Expired(msgspec.Struct, frozen=True):
    first: int = 0


_read_newest_page = msgspec.json.Decoder(_NewestPage)
_read_expired = msgspec.json.Decoder(_Expired)


class PlatformStore(KeyValueStore):
    """The store's log with one record a key, over HTTP."""

    def __init__(self, pool: ConnectionPool, host: str) -> None:
        """Call through ``pool``; ``host`` names the store."""
        self.pool = pool
        self.host = host

    async def read_newest(self, topic: StoreTopic) -> TopicPage:
        """Read the newest record of every key, page by page."""
        records: list[tuple[str, bytes]] = []
        query: dict[str, Any] = {'topic': NAME_BY_TOPIC[topic], 'part': 0}
        first_end: int | None = None
        while True:
            answer = await self.send_request('GET', '/log-newest', query)
            page = _decode_newest(answer)
            records.extend(
                (item.key, base64.b64decode(item.value)) for item in page.items
            )
            # Pages are no snapshot: changes since the first are read again.
            first_end = page.end if first_end is None else first_end
            if not page.more or not page.items:
                return TopicPage(tuple(records), first_end)
            query['after'] = page.items[-1].key

    async def wait_for_changes(
        self,
        topic: StoreTopic,
        offset: int,
        wait_s: float,
    ) -> TopicPage:
        """Read records from ``offset`` on, waiting for a first one."""
        answer = await self.send_request(
            'GET',
            '/log-read',
            {
                'topic': NAME_BY_TOPIC[topic],
                'part': 0,
                'from': offset,
                'waitMs': int(wait_s * MILLISECONDS_PER_S),
            },
            timeout_s=wait_s + ANSWER_TIMEOUT_S,
        )
        if answer.status == GONE:
            raise OffsetExpired(_decode_first(answer))
        return _decode_records(_require_found(answer).body, offset)

    async def write(self, topic: StoreTopic, key: str, record: bytes) -> None:
        """Append the newest record of a key."""
        encoded_key = key.encode()
        keyed = bytes((len(encoded_key),)) + encoded_key + record
        body = len(keyed).to_bytes(LENGTH_BYTES, 'big') + keyed
        query = {'topic': NAME_BY_TOPIC[topic], 'part': 0}
        _require_found(
            await self.send_request('POST', '/log-append', query, body)
        )

    async def send_request(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b'',
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> HttpResponse:
        """Make one call.

        Raises ``StorageUnavailable`` or ``WriteOutcomeUnknown``.
        """
        target = f'{path}?{urlencode(query)}'
        request = OutgoingRequest(
            encode_request(method, target, (('host', self.host),), body),
            _is_any_answer,
            max_idle_s=MAX_IDLE_CONNECTION_S,
        )
        ended: asyncio.Future[SendResult] = (
            asyncio.get_running_loop().create_future()
        )
        send = self.pool.send(
            request,
            lambda result: None if ended.done() else ended.set_result(result),
        )
        try:
            async with asyncio.timeout(timeout_s):
                result = await ended
        except TimeoutError as error:
            raise _lost(method, 'no answer in time') from error
        finally:
            send.cancel()
        if isinstance(result, SendFailure):
            if not result.was_sent:
                raise StorageUnavailable(result.detail)
            raise _lost(method, result.detail)
        return result


def _is_any_answer(headers: object) -> bool:
    return True


def _lost(method: str, detail: str) -> StorageUnavailable | WriteOutcomeUnknown:
    if method == 'GET':
        return StorageUnavailable(detail)
    return WriteOutcomeUnknown(detail)


def _require_found(answer: HttpResponse) -> HttpResponse:
    if answer.status != FOUND:
        raise StorageUnavailable(f'the store answered {answer.status}')
    return answer


def _decode_newest(answer: HttpResponse) -> _NewestPage:
    try:
        return _read_newest_page.decode(_require_found(answer).body)
    except msgspec.DecodeError as error:
        raise StorageUnavailable(f'unreadable answer: {error}') from error


def _decode_first(answer: HttpResponse) -> int:
    try:
        return _read_expired.decode(answer.body).first
    except msgspec.DecodeError as error:
        raise StorageUnavailable(f'unreadable answer: {error}') from error


def _decode_records(body: bytes, offset: int) -> TopicPage:
    """Decode the end, the first retained offset, and records after them."""
    position = 2 * OFFSET_BYTES
    if len(body) < position:
        raise StorageUnavailable('unreadable answer: too short')
    records: list[tuple[str, bytes]] = []
    while position < len(body):
        start = position + LENGTH_BYTES
        length = int.from_bytes(body[position:start], 'big')
        position = start + length
        if length < 1 or position > len(body):
            raise StorageUnavailable('unreadable answer: a record is cut off')
        records.append(_decode_keyed(body[start:position]))
    return TopicPage(tuple(records), offset + len(records))


def _decode_keyed(record: bytes) -> tuple[str, bytes]:
    key_end = 1 + record[0]
    # Other writers' keys need not be text; such a key matches none of ours.
    return record[1:key_end].decode(errors='replace'), record[key_end:]


def create_platform_store(address: Address) -> PlatformStore:
    """Build the client of the store at ``address``."""
    return PlatformStore(
        ConnectionPool(address.host, address.port),
        address.host_port,
    )
