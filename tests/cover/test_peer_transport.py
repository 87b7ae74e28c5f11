"""Links between nodes over real sockets on loopback."""

import asyncio
import contextlib

from ebonycleat.internal.connection.peer_messages import PeerCall, PeerCancel
from ebonycleat.internal.connection.peer_transport import (
    PeerIdentity,
    PeerEventHandler,
    PeerTransport,
)
from ebonycleat.internal.process.node_codecs import create_peer_codec
from tests.cover.call_builders import make_call

SECRET = b'secret-of-the-fleet'


class Recorder(PeerEventHandler):
    """Keeps what a transport reports."""

    def __init__(self) -> None:
        self.reports: asyncio.Queue[tuple[object, ...]] = asyncio.Queue()
        self.links: list[tuple[str, bool]] = []

    def message_received(self, node, message):
        """Keep a message."""
        self.reports.put_nowait((node, message))

    def calls_lost(self, node, call_ids, *, sent):
        """Keep lost calls."""
        self.reports.put_nowait((node, sorted(call_ids), sent))

    def link_changed(self, node, *, reachable):
        """Keep a change of a link."""
        self.links.append((node, reachable))


def create_transport(
    node: str,
    secret: bytes = SECRET,
) -> tuple[PeerTransport, Recorder]:
    recorder = Recorder()
    identity = PeerIdentity(node, 1, secret)
    transport = PeerTransport(identity, create_peer_codec(), recorder)
    return transport, recorder


def test_a_message_and_its_answer_take_one_link():
    """Guards against a peer that cannot answer the one that dialled it."""

    async def scenario():  # noqa: WPS430 (runs on its own loop)
        one, heard_by_one = create_transport('one')
        two, heard_by_two = create_transport('two')
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(one.listen('127.0.0.1', 0))
            port = await stack.enter_async_context(two.listen('127.0.0.1', 0))
            one.addresses['two'] = ('127.0.0.1', port)
            one.send('two', PeerCancel('ask'))
            asked = await heard_by_two.reports.get()
            two.send('one', PeerCancel('answer'))
            return asked, await heard_by_one.reports.get()

    asked, answered = asyncio.run(scenario())
    assert asked == ('one', PeerCancel('ask'))
    assert answered == ('two', PeerCancel('answer'))


def test_a_call_to_a_closed_port_is_reported_as_not_sent():
    """Guards against "unknown" for a call that never left."""

    async def scenario():  # noqa: WPS430 (runs on its own loop)
        one, heard_by_one = create_transport('one')
        two, _ = create_transport('two')
        async with two.listen('127.0.0.1', 0) as port:
            closed_port = port
        async with one.listen('127.0.0.1', 0):
            one.addresses['two'] = ('127.0.0.1', closed_port)
            one.send('two', PeerCall(make_call('call-1'), 1))
            return await heard_by_one.reports.get(), heard_by_one.links

    lost, links = asyncio.run(scenario())
    assert lost == ('two', ['call-1'], False)
    assert links == [('two', False)]


def test_a_call_whose_link_closes_is_reported_as_sent():
    """Guards against "not run" for a call that may have arrived."""

    async def scenario():  # noqa: WPS430 (runs on its own loop)
        one, heard_by_one = create_transport('one')
        two, heard_by_two = create_transport('two')
        async with one.listen('127.0.0.1', 0):
            async with two.listen('127.0.0.1', 0) as port:
                one.addresses['two'] = ('127.0.0.1', port)
                one.send('two', PeerCall(make_call('call-1'), 1))
                await heard_by_two.reports.get()
            return await heard_by_one.reports.get()

    assert asyncio.run(scenario()) == ('two', ['call-1'], True)


def test_a_stranger_without_the_secret_is_not_heard():
    """Guards against any process acting for a team."""

    async def scenario():  # noqa: WPS430 (runs on its own loop)
        stranger, told = create_transport('stranger', b'another-secret')
        two, heard_by_two = create_transport('two')
        async with stranger.listen('127.0.0.1', 0):
            async with two.listen('127.0.0.1', 0) as port:
                stranger.addresses['two'] = ('127.0.0.1', port)
                stranger.send('two', PeerCall(make_call('call-1'), 1))
                await told.reports.get()
        return heard_by_two.reports.empty()

    assert asyncio.run(scenario())
