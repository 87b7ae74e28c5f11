"""HTTP client of the platform's log service.

An append whose response is missing may have taken effect. It certainly had no
effect only if an error occurred before the request was sent, or if the response
has one of the ``NOT_APPENDED_STATUSES``.

A log that was restored from an older copy lacks confirmed records and gives out
their offsets again. Offsets and epochs hold for one era of the log, so a client
uses no other era than the one for which it was created.
"""

import http
import io
import logging
from typing import Any

import cbor2
import urllib3

from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
    WriteOutcomeUnknown,
)
from ebonycleat.internal.connection.log_service import (
    LogPage,
    LogRecord,
    LogService,
    LogStream,
)

logger = logging.getLogger(__name__)

ERA_HEADER = 'Log-Era'

# Enough for one long-polling reader per stream and concurrent appends.
LOG_POOL_SIZE = 16

# Statuses that the log service sends before it changes a stream: the request is
# invalid or exceeds the append rate, or the service is unavailable.
NOT_APPENDED_STATUSES = frozenset((
    http.HTTPStatus.BAD_REQUEST,
    http.HTTPStatus.NOT_FOUND,
    http.HTTPStatus.PRECONDITION_FAILED,
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
    """Blocking access to the log service; safe to share between threads."""

    def __init__(self, base_url: str, timeout_s: float, era: int) -> None:
        """Create a client that uses the log of one ``era`` only.

        ``timeout_s`` limits an append. A read may take this time in addition to
        its ``wait_s``.
        """
        self.base_url = base_url.rstrip('/')
        self.era = era
        self.logged_era = era
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
            response = self.pool_manager.request(
                'POST',
                f'{self.base_url}/streams/{stream.value}/records',
                body=payload,
                headers={
                    'Operation-Id': operation_id,
                    'Content-Type': 'application/cbor',
                    ERA_HEADER: str(self.era),
                },
                timeout=self.timeout_s,
            )
        except NOT_SENT_ERRORS as error:
            raise StorageUnavailable(_describe(error)) from error
        except urllib3.exceptions.HTTPError as error:
            raise WriteOutcomeUnknown(_describe(error)) from error
        if response.status in NOT_APPENDED_STATUSES:
            self.is_expected_era(response)
            raise StorageUnavailable(
                'the log service refused the append: '
                f'HTTP status {response.status}',
            )
        if response.status not in {http.HTTPStatus.OK, http.HTTPStatus.CREATED}:
            raise WriteOutcomeUnknown(
                'the log service responded to the append with '
                f'HTTP status {response.status}',
            )
        if not self.is_expected_era(response):
            raise WriteOutcomeUnknown(
                'the record was appended to the log of another era'
            )
        return _decode_offset(response.data)

    def read(
        self,
        stream: LogStream,
        offset: int,
        limit: int,
        wait_s: float,
    ) -> LogPage:
        """Read a page; see ``LogService.read`` for the errors."""
        try:
            response = self.pool_manager.request(
                'GET',
                f'{self.base_url}/streams/{stream.value}/records',
                fields={
                    'offset': str(offset),
                    'limit': str(limit),
                    'wait_s': str(wait_s),
                },
                headers={ERA_HEADER: str(self.era)},
                timeout=urllib3.Timeout(
                    connect=self.timeout_s,
                    read=self.timeout_s + wait_s,
                ),
            )
        except urllib3.exceptions.HTTPError as error:
            raise StorageUnavailable(_describe(error)) from error
        if not self.is_expected_era(response):
            raise StorageUnavailable('the log is in another era')
        if response.status == http.HTTPStatus.GONE:
            raise OffsetExpired(_decode_first_offset(response.data))
        if response.status != http.HTTPStatus.OK:
            raise StorageUnavailable(
                'the log service refused the read: '
                f'HTTP status {response.status}',
            )
        return decode_log_page(response.data, offset)

    def is_expected_era(self, response: urllib3.BaseHTTPResponse) -> bool:
        """Tell whether a response is of the era for which the client is.

        Another era is logged once. A log that names no era is in era 0.
        """
        text = response.headers.get(ERA_HEADER, '0')
        era = int(text) if text.isdecimal() else -1
        if era != self.logged_era:
            self.logged_era = era
            logger.error(
                'log is in another era and is not used',
                extra={'era': era, 'expected_era': self.era},
            )
        return era == self.era

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool_manager.clear()


def create_http_log_service(
    base_url: str, timeout_s: float, era: int = 0
) -> HttpLogService:
    """Create a client of the log service at ``base_url``.

    An example is ``http://10.0.0.9:9200``. Nothing is sent yet.
    """
    return HttpLogService(base_url, timeout_s, era)


def encode_log_page(page: LogPage) -> bytes:
    """Encode a page in the format of the log service."""
    return cbor2.dumps({
        'records': [[record.offset, record.payload] for record in page.records],
        'next_offset': page.next_offset,
        'first_offset': page.first_offset,
        'at_end': page.at_end,
    })


def decode_log_page(encoded: bytes, requested_offset: int) -> LogPage:
    """Decode a page; raise ``StorageUnavailable`` unless it is well-formed.

    The offsets must rise, starting at ``requested_offset`` or later, and stay
    below ``next_offset``. With any other page a reader could miss records or
    read them twice.
    """
    fields = _load_cbor(encoded)
    try:
        page = _decode_page(fields)
    except (KeyError, TypeError, ValueError) as error:
        raise StorageUnavailable(
            f'the log service sent a malformed page: {error}',
        ) from error
    lowest_offset = requested_offset
    for record in page.records:
        if record.offset < lowest_offset:
            raise StorageUnavailable(
                'the log service sent records out of order'
            )
        lowest_offset = record.offset + 1
    if page.next_offset < lowest_offset:
        raise StorageUnavailable(
            'the log service sent a next offset that is not after its records',
        )
    return page


def _decode_page(fields: Any) -> LogPage:
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
    except (ValueError, StorageUnavailable) as error:
        raise WriteOutcomeUnknown(
            'the response to the append has no valid offset',
        ) from error


def _decode_first_offset(encoded: bytes) -> int:
    try:
        return _validate_offset(_load_cbor(encoded).get('first_offset'))
    except ValueError as error:
        raise StorageUnavailable(
            'the log service sent no valid first offset',
        ) from error


def _load_cbor(encoded: bytes) -> Any:
    stream = io.BytesIO(encoded)
    try:
        fields = cbor2.load(stream)
    except (cbor2.CBORDecodeError, RecursionError, ValueError) as error:
        raise StorageUnavailable(
            f'the log service sent invalid CBOR: {error}',
        ) from error
    if not isinstance(fields, dict) or stream.read(1):
        raise StorageUnavailable(
            'the log service did not send exactly one CBOR map'
        )
    return fields


def _validate_offset(found: Any) -> int:
    if not isinstance(found, int) or isinstance(found, bool) or found < 1:
        raise ValueError(
            f'{found!r} is not an offset; offsets are integers of at least 1',
        )
    return found


def _validate_payload(found: Any) -> bytes:
    if not isinstance(found, bytes):
        raise TypeError(
            'the payload of a record must be bytes, found '
            f'{type(found).__name__}',
        )
    return found


def _describe(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'
