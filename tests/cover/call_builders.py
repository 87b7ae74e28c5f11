"""Builders of calls and gate loads for tests."""

import math

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.request.call import Call, Priority


def make_call(
    call_id: str,
    priority: Priority = Priority.NORMAL,
    team: str = 'a',
    deadline: float = 10,
    depth: int = 0,
    key_digest: str = '',
    retry_allowance: int = 0,
    idempotent: bool = True,
    objective: float = math.inf,
) -> Call:
    return Call(
        call_id=call_id,
        root_id=call_id,
        team=team,
        route='map',
        service='map',
        priority=priority,
        idempotent=idempotent,
        deadline=deadline,
        method='GET',
        path='/',
        depth=depth,
        key_digest=key_digest,
        retry_allowance=retry_allowance,
        objective=objective,
    )


def make_gate_load(
    running: int = 0,
    queued: int = 0,
    admission_level: int = 1280,
    draining: bool = False,
) -> GateLoad:
    return GateLoad(queued, running, 10, 0.01, admission_level, draining)
