"""Sample records and messages with strings of production length."""

import hashlib

from ebonycleat.internal.process.gate_decisions import GateLoad
from ebonycleat.internal.process.membership_messages import (
    Announcement,
    MemberHeartbeat,
    MemberState,
    ZoneSummary,
)
from ebonycleat.internal.process.ownership import BUDGET_KIND, Claim, SlotId
from ebonycleat.internal.request.call import Answer, Call, Priority
from ebonycleat.internal.version.configuration_view import (
    ActiveKey,
    ActiveRoute,
    ActiveTeam,
    DecidedOperation,
)
from ebonycleat.internal.version.records import (
    ChangeSet,
    PutKey,
    PutRoute,
    PutTeam,
)

ZONES = tuple(f'region-{number // 4}-zone-{number % 4}' for number in range(31))
WEIGHTS = tuple((zone, 1.0) for zone in ZONES)
TEAMS = 64
LOAD = GateLoad(12, 35, 35, 0.0125, 640, draining=False)


def node_name(number: int) -> str:
    """Node id in the format that administrators of VMs use."""
    return f'vm-{number:05d}.region-3-zone-1'


def team_name(number: int) -> str:
    """Name of the team with this number."""
    return f'team-{number:05d}'


def make_digest(number: int) -> str:
    """Digest of a made-up key."""
    return hashlib.sha256(str(number).encode()).hexdigest()


def make_call(number: int, body_bytes: int = 0) -> Call:
    """Build a call as nodes send it to each other."""
    return Call(
        call_id=f'{make_digest(number)[:32]}',
        root_id=f'{make_digest(number)[32:]}',
        team=team_name(number % TEAMS),
        route=f'route-{number % 10:04d}',
        service='station-registry',
        priority=Priority(number % len(Priority)),
        idempotent=True,
        deadline=1e9,
        method='POST',
        path=f'/stations/{number}/readings?from=2026-01-01',
        headers=(
            ('Content-Type', 'application/json'),
            ('Accept', 'application/json'),
        ),
        body=bytes(body_bytes),
        key_digest=make_digest(number),
    )


def make_answer(number: int, body_bytes: int = 0) -> Answer:
    """Build the answer to the call with the same number."""
    return Answer(
        make_digest(number)[:32],
        200,
        (
            ('Content-Type', 'application/json'),
            ('Content-Length', str(body_bytes)),
        ),
        bytes(body_bytes),
    )


def make_announcement(number: int) -> Announcement:
    """Build the announcement of a member of the fleet."""
    return Announcement(
        node=node_name(number),
        incarnation=1_780_000_000_000 + number,
        zone=ZONES[number % len(ZONES)],
        service=f'service-{number % 2400:04d}',
        peer_address=(
            f'10.{number // 65536}.{number // 256 % 256}.{number % 256}:7000'
        ),
        slots=45,
        state=MemberState.UP,
    )


def make_member_heartbeat(number: int) -> MemberHeartbeat:
    """Build a heartbeat of the member with the same number."""
    return MemberHeartbeat(
        node=node_name(number),
        incarnation=1_780_000_000_000 + number,
        sequence=1,
        state=MemberState.UP,
        queued=3,
        running=30,
        slots=45,
        admission_level=640,
    )


def make_zone_summary(number: int) -> ZoneSummary:
    """Build the summary that a zone's hub sends about one service."""
    sample = tuple(node_name(number + place) for place in range(3))
    zone = ZONES[number % len(ZONES)]
    return ZoneSummary(zone, f'service-{number:04d}', 7, 0.733, sample)


def make_slot(number: int) -> SlotId:
    """Id of a budget slot; each zone has 64 numbers before the next zone."""
    return SlotId(BUDGET_KIND, ZONES[number // 64 % len(ZONES)], number)


def make_claim(number: int) -> Claim:
    """Build a claim with five witnesses, for a zone of 548 nodes."""
    return Claim(
        slot=make_slot(number),
        owner=node_name(number % 548),
        incarnation=1_780_000_000_000 + number,
        previous_epoch=0,
        witnesses=tuple(
            node_name((number * 7 + place) % 548) for place in range(5)
        ),
        supporters=(),
        unlogged=False,
        operation_id=f'{node_name(number)}/1780000000000/c{number}',
    )


def make_change_set(number: int) -> ChangeSet:
    """Build a change set that adds one key, the most frequent change."""
    team = team_name(number % TEAMS)
    return _change_set(number, PutKey(make_digest(number), team))


def make_team_change(number: int) -> ChangeSet:
    """Build a change set that adds a team with a weight for each zone."""
    return _change_set(number, PutTeam(team_name(number), 100, 200, WEIGHTS))


def make_route_change(number: int) -> ChangeSet:
    """Build a change set that adds one route."""
    return _change_set(
        number,
        PutRoute(
            route=f'route-{number:04d}',
            service=f'service-{number:04d}',
            methods=('GET', 'POST'),
            path_prefix=f'/service-{number:04d}/v1',
            priority=Priority.NORMAL,
            idempotent=True,
            retry_limit=3,
            timeout_ms=2000,
            open_to_all=False,
        ),
    )


def make_key(number: int) -> ActiveKey:
    """Build an active key."""
    return ActiveKey(make_digest(number), team_name(number % TEAMS), number + 1)


def make_team(number: int) -> ActiveTeam:
    """Build an active team."""
    return ActiveTeam(team_name(number), 100, 200, WEIGHTS, number + 1)


def make_route(number: int) -> ActiveRoute:
    """Build an active route."""
    return ActiveRoute(
        f'route-{number:04d}',
        f'service-{number:04d}',
        ('GET', 'POST'),
        f'/service-{number:04d}/v1',
        Priority.NORMAL,
        idempotent=True,
        retry_limit=3,
        timeout_ms=2000,
        open_to_all=False,
        changed_at=number + 1,
    )


def make_operation(number: int) -> DecidedOperation:
    """Build the stored outcome of a change set with one change."""
    change_set = make_change_set(number)
    return DecidedOperation(
        change_set.operation_id,
        change_set.operator,
        change_set.issued_at,
        number + 1,
        1,
        change_set.changes,
    )


def _change_set(number: int, change: PutKey | PutTeam | PutRoute) -> ChangeSet:
    return ChangeSet(
        operation_id=f'operator-{make_digest(number)[:24]}',
        operator='maria.lopez',
        issued_at=1_780_000_000.5,
        expected=((change.subject, 0),),
        changes=(change,),
    )
