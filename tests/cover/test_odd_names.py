"""Names of teams that cannot be sent to targets as they are."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.http_messages import (
    encode_request,
    find_header,
)
from ebonycleat.internal.connection.platform_interfaces import TargetRequest
from ebonycleat.platform.configuration_format import PlatformConfigurationFormat
from ebonycleat.platform.target_protocol import PlatformTargetProtocol
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import create_configuration, run_mesh
from tests.platform_examples import CONFIGURATION

ODD_NAMES = (
    'Acme\r\nX-Other: 1',
    'Acme\nX-Other: 1',
    'Acme\0',
    '\ud800',
    'Acme \udc00\ud800',
    ' shop',
    'shop\t',
    '',
)


def add_team(configuration, name):
    new_team = {'apiKeys': ['key-2'], 'ratePerS': 50, 'burst': 50}
    teams = configuration['tenants'] | {name: new_team}
    return configuration | {'tenants': teams}


def request_with_new_team(name):
    """Return the statuses of the new and the old team, and the target."""

    async def send_requests():
        async with run_mesh() as mesh:
            mesh.store.write_configuration(
                add_team(create_configuration(2), name)
            )
            holder = mesh.nodes[0].fleet.configuration
            await mesh.wait_until(lambda: holder.version == 2)
            statuses = [
                (await mesh.send_and_wait(0, '/fetch/1', key=key)).status
                for key in ('key-2', 'key-1')
            ]
            return statuses, mesh.targets[0].received_requests

    return run_with_timeout(send_requests())


@pytest.mark.parametrize('name', ODD_NAMES, ids=ascii)
def test_a_team_that_no_header_can_name_is_refused_and_others_are_served(name):
    """Guards against headers that a name adds, and against other names."""
    statuses, received = request_with_new_team(name)
    assert statuses == [503, 200]
    assert [find_header(one.headers, 'x-tenant-id') for one in received] == [
        'shop'
    ]
    assert not find_header(received[0].headers, 'x-other')


def test_a_team_name_beyond_latin_is_sent_in_unicode():
    """Guards against a team whose requests cannot be encoded."""
    statuses, received = request_with_new_team('Z\u00e9\u2019s')
    assert statuses == [200, 200]
    sent_name = find_header(received[0].headers, 'x-tenant-id')
    assert sent_name.encode('latin-1').decode() == 'Z\u00e9\u2019s'


@pytest.mark.parametrize('text', ['a\rb', 'a\nb', 'a\0b', 'a\r\nb: c'])
@pytest.mark.parametrize('place', ['path', 'name', 'value'])
def test_no_request_is_encoded_with_a_line_break_in_its_head(place, text):
    """Guards against headers and requests that a text smuggles in."""
    parts = {'path': '/', 'name': 'n', 'value': 'v'} | {place: text}
    headers = ((parts['name'], parts['value']),)
    with pytest.raises(ValueError, match='line break'):
        encode_request('GET', parts['path'], headers, b'')


@given(st.text(st.characters(min_codepoint=32, exclude_characters='\x7f')))
def test_a_name_of_printable_characters_is_encoded_in_one_header(name):
    """Guards against names that the header format cannot hold."""
    headers = PlatformTargetProtocol().render_headers(
        TargetRequest('id', 'h', 1, 'i-1', name, 'web', ()),
    )
    encoded = encode_request('GET', '/', headers, b'')
    assert encoded.count(b'\r\n') == len(headers) + 2


@pytest.mark.parametrize(
    ('escape', 'expected'),
    [
        (r'\ud800', '\0d800'),
        (r'\uDC01x', '\0DC01x'),
        (r'\ud800\ud83d\ude00', '\0d800\U0001f600'),
        (r'\\ud800', r'\ud800'),
        (r'\\\ud800', chr(92) + '\0d800'),
    ],
)
def test_only_halves_of_surrogate_pairs_are_replaced(escape, expected):
    """Guards against a configuration that one odd name makes unreadable."""
    tree = add_team(CONFIGURATION, 'NAME')
    record = json.dumps(tree).replace('NAME', escape).encode()
    configuration = PlatformConfigurationFormat().parse_configuration(record)
    assert configuration.teams[-1].name == expected
    assert len(configuration.teams) == 3
