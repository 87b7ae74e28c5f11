"""The connections of a process share one limit of held bytes."""

import asyncio
import dataclasses
import itertools

import pytest

from ebonycleat.internal.connection.byte_account import (
    SMALL_RESERVE_BYTES,
    HeldKind,
    MemoryAccount,
    held_bytes_limit,
)
from ebonycleat.internal.connection.mesh_frames import (
    DroppedMessage,
    FrameDecoder,
    encode_frame,
)
from ebonycleat.internal.connection.mesh_messages import (
    CallRequest,
    CallResponse,
    LoadReport,
    Ping,
)
from ebonycleat.internal.connection.response_body import ResponseBody
from tests.loopback_http import run_with_timeout
from tests.mesh_environment import run_mesh

BODY = bytes(range(256)) * 300
LOAD = LoadReport(1, 2, 3, 4, 5, is_draining=False)
MESSAGES = {
    'request': CallRequest(
        number=70_000,
        request_id='id',
        team='team',
        route='route',
        service='maps',
        origin_service='front',
        priority=1,
        is_idempotent=True,
        depth=2,
        time_left_ms=300,
        method='POST',
        request_target='/',
        host='host',
        headers=(('a', 'b'),),
        body=BODY,
        key_fingerprint=b'key',
    ),
    'response': CallResponse(5, 200, (('a', 'b'),), BODY, LOAD),
}
LEGAL_BODY_BYTES = 67_108_864


def decode_in_pieces(decoder, encoded, size):
    starts = range(0, len(encoded), size)
    pieces = [encoded[start : start + size] for start in starts]
    return list(itertools.chain.from_iterable(map(decoder.feed, pieces)))


@pytest.mark.parametrize('kind', list(MESSAGES))
@pytest.mark.parametrize('piece', [1000, 262_144])
def test_a_large_message_arrives_whole_between_others(kind, piece):
    """Guards against bodies that change because they are not copied."""
    sent = [Ping(), MESSAGES[kind], Ping(), MESSAGES[kind], Ping()]
    encoded = b''.join(encode_frame(message) for message in sent)
    received = decode_in_pieces(FrameDecoder(), encoded, piece)
    assert received == sent


@pytest.mark.parametrize('kind', list(MESSAGES))
def test_a_large_message_without_room_is_skipped_and_named(kind):
    """Guards against calls of others that end with a message without room."""
    encoded = b''.join(map(encode_frame, (MESSAGES[kind], Ping())))
    decoder = FrameDecoder(lambda length, is_call: False)
    received = decode_in_pieces(decoder, encoded, 1000)
    number = MESSAGES[kind].number
    assert received == [DroppedMessage(number, kind == 'request'), Ping()]
    assert not decoder.buffer


@pytest.mark.parametrize('memory_mb', [None, 200, 300, 552])
def test_every_machine_has_room_for_a_legal_request_and_its_response(memory_mb):
    """Guards against limits that a single legal request meets."""
    limit = held_bytes_limit(memory_mb)
    assert 2 * LEGAL_BODY_BYTES < limit
    assert limit + SMALL_RESERVE_BYTES < (memory_mb or 300) * 900_000


def test_small_holders_find_room_beside_large_ones():
    """Guards against large bodies that keep ordinary callers out."""
    account = MemoryAccount(1000, reserve=100)
    assert account.hold(HeldKind.REQUESTS, 1000)
    assert not account.hold(HeldKind.REQUESTS, 1)
    assert account.hold(HeldKind.REQUESTS, 100, is_small=True)
    assert not account.hold(HeldKind.REQUESTS, 1, is_small=True)


class FakeReading:
    """Notes whether a transport reads."""

    def __init__(self):
        self.is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def is_closing(self):
        return False


class AccountRoom:
    """Room for bodies in an account."""

    def __init__(self, account):
        self.account = account

    def hold_bytes(self, count, is_small):
        return self.account.hold(HeldKind.RESPONSES, count, is_small=is_small)

    def await_room(self, resume):
        self.account.waiters.append(resume)

    def free_bytes(self, count):
        self.account.release(HeldKind.RESPONSES, count)


def test_a_response_without_room_is_read_on_when_there_is_room():
    """Guards against responses that are lost although there soon is room."""

    async def wait_for_room():
        account = MemoryAccount(100_000)
        account.hold(HeldKind.UNREAD, 60_000)
        body = ResponseBody(AccountRoom(account), None)
        body.transport = FakeReading()
        body.announced_size = 70_000
        body.reserve()
        states = [body.transport.is_reading]
        account.release(HeldKind.UNREAD, 10_000)
        states.append(body.transport.is_reading)
        account.release(HeldKind.UNREAD, 50_000)
        states.append(body.transport.is_reading)
        body.drop()
        return states, account.held_bytes, len(account.waiters)

    assert run_with_timeout(wait_for_room()) == ([False, False, True], 0, 0)


def test_a_response_without_room_fails_in_time_and_the_target_is_not_blamed(
    monkeypatch,
):
    """Guards against slots that responses without room occupy."""
    monkeypatch.setattr(
        'ebonycleat.internal.connection.response_body.ROOM_TIMEOUT_S', 0.1
    )

    async def send_while_full():
        async with run_mesh(answer_body=b'x' * 1_000_000) as mesh:
            node = mesh.nodes[0]
            account = node.dependencies.account
            account.hold_anyway(HeldKind.UNREAD, account.limit)
            answer = await mesh.send_and_wait(0, '/renew/1')
            account.release(HeldKind.UNREAD, account.limit)
            again = await mesh.send_and_wait(0, '/renew/1')
            suspects = node.gate.crashes.own_count_pairs()
            return answer.status, again.status, suspects, account.held_bytes

    assert run_with_timeout(send_while_full()) == (502, 200, (), 0)


@pytest.mark.parametrize(
    ('full', 'expected'), [('gate', (503, 0)), ('entry', (502, 1))]
)
def test_a_node_without_room_refuses_large_calls_of_others_only(full, expected):
    """Guards against a link that hangs, and against a false "not run"."""

    async def send_while_full():
        async with run_mesh(('a', 'a')) as mesh:
            mesh.nodes[0].gate.gate.drain()
            target = mesh.targets[1]
            account = mesh.nodes[full == 'gate'].dependencies.account
            account.hold_anyway(HeldKind.LINKS, account.limit)
            body = b'x' * 90_000
            if full == 'entry':
                body = b'small'
                target.options = dataclasses.replace(
                    target.options, answer_body=b'x' * 90_000
                )
            large = await mesh.send_and_wait(0, '/renew/1', body=body)
            runs = len(target.received_requests)
            target.options = dataclasses.replace(
                target.options, answer_body=b''
            )
            small = await mesh.send_and_wait(0, '/renew/2', body=b'small')
            account.release(HeldKind.LINKS, account.limit)
            again = await mesh.send_and_wait(0, '/renew/3', body=b'x' * 90_000)
            held = [one.dependencies.account.held_bytes for one in mesh.nodes]
            return large.status, runs, small.status, again.status, held

    status, runs, *others = run_with_timeout(send_while_full())
    assert (status, runs) == expected
    assert others == [200, 200, [0, 0]]


def test_the_body_of_a_caller_that_left_counts_while_its_call_runs():
    """Guards against callers that send bodies and leave, again and again."""

    async def leave():
        async with run_mesh(work_s=0.3) as mesh:
            account = mesh.nodes[0].dependencies.account
            body = b'x' * 9000
            in_flight, _ = mesh.send(0, '/renew/1', body=body)
            target = mesh.targets[0]
            await mesh.wait_until(lambda: target.received_requests)
            in_flight.cancel()
            node = mesh.nodes[0]
            await mesh.wait_until(lambda: not node.listener.connections)
            held_bytes = account.held_bytes
            await mesh.wait_until(lambda: not node.gate.pending_calls)
            await asyncio.sleep(0)
            return held_bytes, account.held_bytes

    assert run_with_timeout(leave()) == (9000, 0)
