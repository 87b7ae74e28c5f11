"""HTTP client of the platform's metadata store."""

import asyncio
import base64
import dataclasses
import types
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

import msgspec

from ebonycleat.internal.connection.client_requests import (
    OutgoingRequest,
    SendFailure,
    SendResult,
)
from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    encode_request,
    find_header,
)
from ebonycleat.internal.connection.http_pool import ConnectionPool
from ebonycleat.internal.connection.platform_interfaces import (
    KeyValueStore,
    StorePosition,
    StoreTopic,
    TopicPage,
)
from ebonycleat.internal.process.mesh_settings import Address

RESPONSE_TIMEOUT_S = 1.5
"""The store answers in a few milliseconds, or in some hundred when it is slow.
If a response is lost, no further responses come on that connection."""

ERA_HEADER = 'store-era'
MAX_ERA_DIGITS = 18
LENGTH_BYTES = 4
OFFSET_BYTES = 8
MILLISECONDS_PER_S = 1000
STATUS_OK = 200
STATUS_GONE = 410
FIRST_SERVER_ERROR = 500
# The store guarantees that it has appended nothing.
NOT_APPENDED_STATUSES = frozenset((503, 507))

NAME_BY_TOPIC = types.MappingProxyType({
    StoreTopic.CONFIGURATION: 'keyed.op',
    StoreTopic.MEMBERS: 'keyed.ebonycleat-members',
})


class _Item(msgspec.Struct, frozen=True):
    key: str
    # In Base64; absent if the key was deleted.
    value: str = ''


class _NewestPage(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    # Offset that the next record will get.
    end: int
    more: bool = False


class _Expired(msgspec.Struct, frozen=True):
    # Offset of the oldest record that the store still has.
    first: int = 0


class _Appended(msgspec.Struct, frozen=True):
    # Offset of the first record that was appended.
    offset: int


_appended_decoder = msgspec.json.Decoder(_Appended)
_newest_page_decoder = msgspec.json.Decoder(_NewestPage)
_expired_decoder = msgspec.json.Decoder(_Expired)


class PlatformStore(KeyValueStore):
    """The platform's store, which keeps the newest record of each key."""

    def __init__(self, pool: ConnectionPool, host: str) -> None:
        """Send requests through ``pool``, with ``host`` as the Host header."""
        self.pool = pool
        self.host = host

    async def read_newest(self, topic: StoreTopic) -> TopicPage:
        """Read the newest record of every key, page by page.

        The result continues at the end of the log as of the first page. If
        the store is restored between two pages, reading begins anew.
        """
        pages: list[_NewestPage] = []
        era: int | None = None
        while not pages or (pages[-1].more and pages[-1].items):
            response = await self.send_newest_request(topic, pages)
            page = _decode_newest(response)
            if pages and _decode_era(response) != era:
                pages = []
                continue
            era = _decode_era(response)
            pages.append(page)
        records = [record for page in pages for record in _decode_items(page)]
        # The log may grow between two pages. Reading on from the end of the
        # log as of the first page gets all changes that a page may lack.
        first_end = pages[0].end
        return TopicPage(tuple(records), first_end, first_end, era or 0)

    async def send_newest_request(
        self, topic: StoreTopic, pages: Sequence[_NewestPage]
    ) -> HttpResponse:
        """Request the page that follows those that were read."""
        query: dict[str, Any] = {'topic': NAME_BY_TOPIC[topic], 'part': 0}
        if pages:
            query['after'] = pages[-1].items[-1].key
        return await self.send_request('GET', '/log-newest', query)

    async def wait_for_changes(
        self,
        topic: StoreTopic,
        offset: int,
        wait_s: float,
    ) -> TopicPage:
        """Read records from ``offset`` on; wait up to ``wait_s`` for one."""
        response = await self.send_request(
            'GET',
            '/log-read',
            {
                'topic': NAME_BY_TOPIC[topic],
                'part': 0,
                'from': offset,
                'waitMs': int(wait_s * MILLISECONDS_PER_S),
            },
            timeout_s=wait_s + RESPONSE_TIMEOUT_S,
        )
        if response.status == STATUS_GONE:
            raise OffsetExpired(_decode_first_offset(response))
        page = _decode_records(_require_ok(response).body, offset)
        return dataclasses.replace(page, era=_decode_era(response))

    async def write(
        self, topic: StoreTopic, key: str, record: bytes
    ) -> StorePosition:
        """Append a record, which becomes the newest of its key."""
        encoded_key = key.encode()
        keyed = bytes((len(encoded_key),)) + encoded_key + record
        body = len(keyed).to_bytes(LENGTH_BYTES, 'big') + keyed
        query = {'topic': NAME_BY_TOPIC[topic], 'part': 0}
        response = await self.send_request('POST', '/log-append', query, body)
        if _may_have_had_effect(response.status):
            raise WriteOutcomeUnknown(
                f'the store responded with status {response.status}'
            )
        offset = _decode_appended_offset(_require_ok(response))
        return StorePosition(_decode_era(response), offset)

    async def send_request(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        body: bytes = b'',
        timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> HttpResponse:
        """Send one request and return the response, whatever its status.

        Raises ``StorageUnavailable`` if the request had no effect, and
        ``WriteOutcomeUnknown`` if a write may have taken effect.
        """
        target = f'{path}?{urlencode(query)}'
        request = OutgoingRequest(
            encode_request(
                method,
                target,
                (('host', self.host), ('connection', 'close')),
                body,
            ),
            _accept_any_response,
            # Answers name no call: a late copy of one would be taken for the
            # answer to the next call on its connection.
            is_single=True,
        )
        finished: asyncio.Future[SendResult] = (
            asyncio.get_running_loop().create_future()
        )
        send = self.pool.send(
            request,
            lambda result: (
                None if finished.done() else finished.set_result(result)
            ),
        )
        try:
            async with asyncio.timeout(timeout_s):
                result = await finished
        except TimeoutError as error:
            raise _create_error(
                method, 'the store did not respond in time'
            ) from error
        finally:
            send.cancel()
        if isinstance(result, SendFailure):
            if not result.was_sent:
                raise StorageUnavailable(result.detail)
            raise _create_error(method, result.detail)
        return result


def _accept_any_response(headers: object) -> bool:
    return True


def _create_error(
    method: str, detail: str
) -> StorageUnavailable | WriteOutcomeUnknown:
    if method == 'GET':
        return StorageUnavailable(detail)
    return WriteOutcomeUnknown(detail)


def _may_have_had_effect(status: int) -> bool:
    return status >= FIRST_SERVER_ERROR and status not in NOT_APPENDED_STATUSES


def _require_ok(response: HttpResponse) -> HttpResponse:
    if response.status != STATUS_OK:
        raise StorageUnavailable(
            f'the store responded with status {response.status}'
        )
    return response


def _decode_era(response: HttpResponse) -> int:
    """Return the era of the store, 0 if the response does not state it."""
    text = find_header(response.headers, ERA_HEADER)
    is_number = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_number else 0


def _decode_newest(response: HttpResponse) -> _NewestPage:
    try:
        return _newest_page_decoder.decode(_require_ok(response).body)
    except msgspec.DecodeError as error:
        raise StorageUnavailable(
            f'the response of the store is invalid: {error}'
        ) from error


def _decode_items(page: _NewestPage) -> list[tuple[str, bytes]]:
    try:
        return [
            (item.key, base64.b64decode(item.value, validate=True))
            for item in page.items
        ]
    except ValueError as error:
        raise StorageUnavailable(
            f'the response of the store is invalid: {error}'
        ) from error


def _decode_first_offset(response: HttpResponse) -> int:
    try:
        return _expired_decoder.decode(response.body).first
    except msgspec.DecodeError as error:
        raise StorageUnavailable(
            f'the response of the store is invalid: {error}'
        ) from error


def _decode_appended_offset(response: HttpResponse) -> int:
    try:
        return _appended_decoder.decode(response.body).offset
    except msgspec.DecodeError as error:
        raise WriteOutcomeUnknown(
            f'the response of the store is invalid: {error}'
        ) from error


def _decode_records(body: bytes, offset: int) -> TopicPage:
    """Decode the records of a response, which begins with two offsets.

    These are the end of the log and its first kept record.
    Each record follows its length of four bytes. A record that is shorter than
    its key is skipped: reading it again would give the same, and the other
    records hold.
    """
    position = 2 * OFFSET_BYTES
    if len(body) < position:
        raise StorageUnavailable(
            'the response of the store is invalid: '
            'it is too short for two offsets'
        )
    end_offset = int.from_bytes(body[:OFFSET_BYTES], 'big')
    records: list[tuple[str, bytes]] = []
    next_offset = offset
    while position < len(body):
        start = position + LENGTH_BYTES
        length = int.from_bytes(body[position:start], 'big')
        position = start + length
        if length < 1 or position > len(body):
            raise StorageUnavailable(
                'the response of the store is invalid: '
                'it has a truncated record'
            )
        next_offset += 1
        decoded = _decode_keyed(body[start:position])
        if decoded is not None:
            records.append(decoded)
    return TopicPage(tuple(records), next_offset, end_offset)


def _decode_keyed(record: bytes) -> tuple[str, bytes] | None:
    key_end = 1 + record[0]
    if key_end > len(record):
        return None
    # A key that another program wrote may be invalid UTF-8. The replacement
    # characters keep it from matching any key that a node uses.
    return record[1:key_end].decode(errors='replace'), record[key_end:]


def create_platform_store(address: Address) -> PlatformStore:
    """Create the client of the store at ``address``."""
    return PlatformStore(
        ConnectionPool(address.host, address.port),
        address.host_port,
    )
