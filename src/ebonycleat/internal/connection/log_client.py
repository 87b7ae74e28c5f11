"""The platform's log over HTTP.

An append whose answer is missing may have taken effect, so only errors that
come before the request left, and answers that say so, count as "not done".
"""

import http
import io
from typing import Any

import cbor2
import urllib3

from ebonycleat.internal.connection.errors import (
    AppendOutcomeUnknown,
    LogUnavailable,
    OffsetExpired,
)
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogRecord,
    LogService,
    LogStream,
)

# Long polls, appends and one reader for each stream run side by side.
LOG_POOL_SIZE = 16

# The log answers so before it touches the stream: over its append rate, or
# taken out of service.
NOT_APPENDED_STATUSES = frozenset((
    http.HTTPStatus.BAD_REQUEST,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
))

NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.LocationParseError,
)


class HttpLogService(LogService):
    """Blocking calls; meant for worker threads, safe to share by them."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        """``timeout_s`` bounds an append, and a read beyond its wait."""
        self.base_url = base_url.rstrip('/')
        self.timeout_s = timeout_s
        self.pool_manager = urllib3.PoolManager(
            maxsize=LOG_POOL_SIZE,
            block=False,
            retries=False,
        )

    def append(
        self,
        stream: LogStream,
        payload: bytes,
        operation_id: str,
    ) -> int:
        """Append one record; see ``LogService.append`` for the errors."""
        try:
            answer = self.pool_manager.request(
                'POST',
                f'{self.base_url}/streams/{stream.value}/records',
                body=payload,
                headers={
                    'Operation-Id': operation_id,
                    'Content-Type': 'application/cbor',
                },
                timeout=self.timeout_s,
            )
        except NOT_SENT_ERRORS as error:
            raise LogUnavailable(_describe(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise AppendOutcomeUnknown(_describe(error)) from error
        if answer.status in NOT_APPENDED_STATUSES:
            raise LogUnavailable(f'the log refused with HTTP {answer.status}')
        if answer.status not in {http.HTTPStatus.OK, http.HTTPStatus.CREATED}:
            raise AppendOutcomeUnknown(f'the log answered HTTP {answer.status}')
        return _decode_offset(answer.data)

    def read(
        self,
        stream: LogStream,
        offset: int,
        limit: int,
        wait_s: float,
    ) -> LogPage:
        """Read a page; see ``LogService.read`` for the errors."""
        try:
            answer = self.pool_manager.request(
                'GET',
                f'{self.base_url}/streams/{stream.value}/records',
                fields={
                    'offset': str(offset),
                    'limit': str(limit),
                    'wait_s': str(wait_s),
                },
                timeout=urllib3.Timeout(
                    connect=self.timeout_s,
                    read=self.timeout_s + wait_s,
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise LogUnavailable(_describe(error)) from error
        if answer.status == http.HTTPStatus.GONE:
            raise OffsetExpired(_decode_first_offset(answer.data))
        if answer.status != http.HTTPStatus.OK:
            raise LogUnavailable(f'the log refused with HTTP {answer.status}')
        return decode_log_page(answer.data, offset)

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool_manager.clear()


def create_http_log_service(base_url: str, timeout_s: float) -> HttpLogService:
    """Connect to the log at ``base_url``, such as ``http://10.0.0.9:9200``."""
    return HttpLogService(base_url, timeout_s)


def encode_log_page(page: LogPage) -> bytes:
    """Encode a page as the log sends it."""
    return cbor2.dumps({
        'records': [[known.offset, known.payload] for known in page.records],
        'next_offset': page.next_offset,
        'first_offset': page.first_offset,
        'at_end': page.at_end,
    })


def decode_log_page(encoded: bytes, wanted_offset: int) -> LogPage:
    """Decode a page; raises ``LogUnavailable`` unless it is well-formed.

    Offsets must rise from the wanted one on: a page that leads backwards
    or skips over ``next_offset`` would make a reader lose records.
    """
    fields = _load_cbor(encoded)
    try:
        page = _page_from(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise LogUnavailable(f'the log sent a wrong page: {error}') from error
    expected = wanted_offset
    for known in page.records:
        if known.offset < expected:
            raise LogUnavailable('the log sent records out of order')
        expected = known.offset + 1
    if page.next_offset < expected:
        raise LogUnavailable('the log sent a next offset inside its page')
    return page


def _page_from(fields: Any) -> LogPage:
    records = tuple(
        LogRecord(_validate_offset(offset), _validate_payload(payload))
        for offset, payload in fields['records']
    )
    return LogPage(
        records,
        _validate_offset(fields['next_offset']),
        _validate_offset(fields['first_offset']),
        bool(fields['at_end']),
    )


def _decode_offset(encoded: bytes) -> int:
    try:
        return _validate_offset(_load_cbor(encoded).get('offset'))
    except (ValueError, LogUnavailable) as error:
        raise AppendOutcomeUnknown('the log sent no valid offset') from error


def _decode_first_offset(encoded: bytes) -> int:
    try:
        return _validate_offset(_load_cbor(encoded).get('first_offset'))
    except ValueError as error:
        raise LogUnavailable('the log sent no valid first offset') from error


def _load_cbor(encoded: bytes) -> Any:
    stream = io.BytesIO(encoded)
    try:
        fields = cbor2.load(stream)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise LogUnavailable(f'the log sent no valid CBOR: {error}') from error
    if not isinstance(fields, dict) or stream.read(1):
        raise LogUnavailable('the log sent something other than one map')
    return fields


def _validate_offset(found: Any) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 1:
        raise ValueError(f'{found!r} is not an offset')
    return found


def _validate_payload(found: Any) -> bytes:
    if not isinstance(found, bytes):
        raise TypeError(f'a record of type {type(found).__name__}')
    return found


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
