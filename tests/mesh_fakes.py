"""Fakes and factory functions for tests of single parts of a mesh node."""

import collections
import random

from ebonycleat.internal.connection.client_requests import (
    SendFailure,
    SendFailureKind,
)
from ebonycleat.internal.connection.http_messages import HttpResponse
from ebonycleat.internal.connection.platform_interfaces import (
    TargetHeartbeat,
    TargetState,
)
from ebonycleat.internal.process.concurrency_limit import DeclaredLimit
from ebonycleat.internal.process.configuration_holder import (
    ConfigurationHolder,
)
from ebonycleat.internal.process.event_log import create_event_log
from ebonycleat.internal.process.gate import create_gate
from ebonycleat.internal.process.gate_calls import GateCall, TargetChannel
from ebonycleat.internal.process.local_target import LocalTarget
from ebonycleat.internal.process.mesh_gate import MeshGate
from ebonycleat.internal.request.call import Call, Priority
from ebonycleat.internal.version.mesh_configuration import (
    CallerLimits,
    MeshConfiguration,
    MeshRoute,
    MeshTeam,
    RouteKind,
    WeightedService,
    fingerprint_key,
)
from ebonycleat.platform.target_protocol import PlatformTargetProtocol

SERVICE = 'maps'
API_KEY = 'secret'
TEAM = MeshTeam('shop', (API_KEY,), 1000, 1000)


class ManualClock:
    """A clock that advances only when a test sets ``now``."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class RecordingTransport:
    """Records what a link writes and whether it was closed."""

    def __init__(self):
        self.written = []
        self.is_aborted = False

    def write(self, encoded):
        self.written.append(encoded)

    def set_write_buffer_limits(self, high, low):
        """Everything is sent at once."""

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted

    def abort(self):
        self.is_aborted = True

    def close(self):
        self.is_aborted = True


class FakeSend:
    """A request in flight, which ends when the test gives its result."""

    def __init__(self, request, on_result):
        self.request = request
        self.on_result = on_result
        self.is_cancelled = False

    def answer(self, status=200, headers=(), body=b'whole'):
        self.on_result(HttpResponse(status, headers, body))

    def fail(self, kind=SendFailureKind.CLOSED, *, was_sent=True):
        self.on_result(SendFailure(kind, was_sent=was_sent))

    def cancel(self, kind=SendFailureKind.CANCELLED):
        self.is_cancelled = True
        self.fail(kind)


class FakePool:
    """A connection pool that records requests and leaves results to the test."""

    def __init__(self):
        self.host = '127.0.0.1'
        self.port = 80
        self.sends = []
        self.connections = set()
        self.connections_opened = 0
        self.unmatched_responses = 0
        self.held_bytes = 0
        self.failure_counts = collections.Counter()

    def send(self, request, on_result):
        send = FakeSend(request, on_result)
        self.sends.append(send)
        return send


def create_configuration_holder(
    clock, teams=(TEAM,), routes=(), version=1, services=None
):
    holder = ConfigurationHolder(5)
    limits = CallerLimits(1000, 1000, 3, 15)
    holder.apply_if_newer(
        MeshConfiguration(
            version, tuple(routes), tuple(teams), services or {}, limits
        ),
    )
    holder.record_proof(version, clock())
    return holder


def create_route(name='fetch', service=SERVICE, **options):
    defaults = {
        'host': 'maps.example',
        'path_prefix': '/fetch/',
        'weighted_services': (WeightedService(service, 1),),
        'kind': RouteKind.IDEMPOTENT,
        'attempts': 2,
        'timeout_s': 1,
        'latency_objective_s': 1,
        'priority': 1,
        'is_open_to_all': False,
    }
    return MeshRoute(name, **(defaults | options))


def create_heartbeat(
    instance='i-1', slots=2, state='ready', sequence=1, started_ms=100
):
    return TargetHeartbeat(
        instance,
        SERVICE,
        slots,
        TargetState(state),
        started_ms,
        sequence,
        0,
    )


def create_mesh_gate(clock, holder=None, *, is_known=True, slots=2):
    limit = DeclaredLimit()
    gate = MeshGate(
        create_gate(1, 1, 'a', random.Random(3), limit, sheds_by_level=False),
        limit,
        TargetChannel(
            LocalTarget(SERVICE), FakePool(), PlatformTargetProtocol()
        ),
        holder or create_configuration_holder(clock),
        create_event_log(clock),
        clock,
        lambda: int(clock() * 1000),
    )
    if is_known:
        gate.handle_target_message(create_heartbeat(slots=slots))
    return gate


def create_call(clock, number=1, **options):
    defaults = {
        'call_id': f'call-{number}',
        'root_id': f'root-{number}',
        'team': TEAM.name,
        'route': 'fetch',
        'service': SERVICE,
        'priority': Priority.HIGH,
        'idempotent': True,
        'deadline': clock() + 1,
        'method': 'GET',
        'path': '/fetch/map',
    }
    return Call(**(defaults | options))


def create_gate_call(clock, number=1, *, key_fingerprint=None, **options):
    return GateCall(
        create_call(clock, number, **options),
        f'request-{number}',
        'maps.example',
        'origin',
        fingerprint_key(API_KEY)
        if key_fingerprint is None
        else key_fingerprint,
    )
