"""Pages of the store that are cut or damaged on their way."""

import asyncio
import base64
import json

from hypothesis import example, given
from hypothesis import strategies as st

from ebonycleat.internal.connection.errors import (
    OffsetExpired,
    StorageUnavailable,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.platform_interfaces import StoreTopic
from ebonycleat.platform.store import PlatformStore
from tests.platform_examples import ScriptedPool

FIRST_OFFSET = 5
RECORDS = ((b'a', b'one'), (b'b', b''), (b'c' * 200, b'two' * 9))
LAST_OFFSET = FIRST_OFFSET + len(RECORDS)


def encode_records():
    encoded = LAST_OFFSET.to_bytes(8, 'big') + bytes(8)
    for key, record in RECORDS:
        keyed = bytes((len(key),)) + key + record
        encoded += len(keyed).to_bytes(4, 'big') + keyed
    return encoded


def encode_newest():
    items = [
        {
            'key': key.decode(),
            'value': base64.b64encode(record).decode(),
            'offset': FIRST_OFFSET + number,
        }
        for number, (key, record) in enumerate(RECORDS)
    ]
    return json.dumps({'items': items, 'more': False, 'end': 8}).encode()


def read(method, *responses):
    """Return the page that a store with these responses gives, or None.

    Any error but those that the interface names is raised.
    """
    store = PlatformStore(ScriptedPool(*responses), 'store:1')
    call = {
        'changes': lambda: store.wait_for_changes(
            StoreTopic.MEMBERS, FIRST_OFFSET, 0
        ),
        'newest': lambda: store.read_newest(StoreTopic.MEMBERS),
    }[method]
    try:
        return asyncio.run(call())
    except (StorageUnavailable, OffsetExpired):
        return None


def respond(body, status=200, era='3'):
    return HttpResponse(status, (('store-era', era),), body)


def test_whole_pages_are_read():
    """Guards against mutations of pages that are not valid themselves."""
    changes = read('changes', respond(encode_records()))
    newest = read('newest', respond(encode_newest()))
    expected = tuple((key.decode(), record) for key, record in RECORDS)
    assert changes.records == newest.records == expected
    assert (changes.next_offset, changes.era) == (LAST_OFFSET, 3)


@given(kept=st.integers(0, 400))
def test_a_page_that_is_cut_never_reaches_the_end_of_the_log(kept):
    """Guards against a proof by a page whose last records are missing."""
    whole = encode_records()
    page = read('changes', respond(whole[: kept % len(whole)]))
    assert page is None or page.next_offset < page.end_offset


@given(
    method=st.sampled_from(['changes', 'newest']),
    status=st.sampled_from([200, 204, 404, 410, 429, 500, 503]),
    era=st.text(max_size=25),
    position=st.integers(0, 400),
    replacement=st.binary(max_size=6),
    removed=st.integers(0, 6),
)
@example('changes', 200, '\u0663', 0, b'', 0)
@example('newest', 200, '9' * 19, 0, b'', 0)
def test_a_damaged_page_is_read_or_refused(
    method, status, era, position, replacement, removed
):
    """Guards against an exception that ends the reading of the store."""
    whole = encode_records() if method == 'changes' else encode_newest()
    start = position % (len(whole) + 1)
    damaged = whole[:start] + replacement + whole[start + removed :]
    # A damaged page may say that another one follows.
    page = read(method, respond(damaged, status, era), respond(b'', 503))
    if page is not None:
        assert status == 200
        assert page.era >= 0
        assert all(isinstance(key, str) for key, _ in page.records)
