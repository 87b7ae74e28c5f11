"""Messages between the nodes of a mesh, and their compact encoding.

Traffic between availability zones is the largest running cost under normal
load. Messages are therefore encoded as MessagePack arrays without field
names: the order, number and types of the fields and the tags are the format.
"""

from typing import TypeAlias

import msgspec

from ebonycleat.internal.request.call import HeaderPairs

ZoneStates: TypeAlias = tuple[tuple[str, bool, int, int], ...]
"""Zones, whether each was evacuated, and the era and offset as of which."""


class MeshMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Base of all messages."""


class LoadReport(MeshMessage, frozen=True, tag=0):
    """Load of a node's gate, which queues and runs the calls of its target.

    ``limit`` is the number of calls that may run at once. ``latency_ms``
    includes the time in the queue. ``level`` is the admission level: the gate
    admits the calls whose position, made of their priority and a hash of their
    root request, is below it. ``shares`` lists overloaded services, each with
    the share of direct requests and the share of calls that it can accept, in
    thousandths. ``calls_per_request`` lists, in the same order, how many calls
    to that service one request causes on average, in thousandths.
    ``pace_percent`` is how long work takes at the target at this moment, 100
    as usual. ``service_ms`` is the mean time that calls on the route of the
    reply spend at the target, at its usual pace; 0 if it is not known.
    """

    queued: int
    running: int
    limit: int
    latency_ms: int
    level: int
    is_draining: bool
    shares: tuple[tuple[str, int, int], ...] = ()
    calls_per_request: tuple[int, ...] = ()
    pace_percent: int = 100
    service_ms: int = 0


class Hello(MeshMessage, frozen=True, tag=1):
    """First message on a link: the address and service of the opening node."""

    node: str
    service: str


class CallRequest(MeshMessage, frozen=True, tag=2):
    """Asks the receiver to run a call at its target.

    ``number`` identifies the call on this link. The deadline is sent as
    ``time_left_ms``, because the clocks of two VMs differ.
    ``key_fingerprint`` is a short digest of the caller's API key, empty on
    routes open to all. ``origin_service`` is the service of the VM where the
    request entered the mesh. ``objective_left_ms`` is the time that is left of
    the route's latency objective, negative once it is missed; None means that
    the objective is the deadline, as earlier versions assume. ``moves_left``
    tells whether the receiver may hand the call back for another target.
    """

    number: int
    request_id: str
    team: str
    route: str
    service: str
    origin_service: str
    priority: int
    is_idempotent: bool
    depth: int
    time_left_ms: int
    method: str
    request_target: str
    host: str
    headers: HeaderPairs
    body: bytes
    key_fingerprint: bytes
    objective_left_ms: int | None = None
    moves_left: int = 0


class CallResponse(MeshMessage, frozen=True, tag=3):
    """Reply to a ``CallRequest``: the complete response of the target.

    ``load`` is the load of the replying node's gate.
    """

    number: int
    status: int
    headers: HeaderPairs
    body: bytes
    load: LoadReport


class CallRefusal(MeshMessage, frozen=True, tag=4):
    """Reply to a ``CallRequest``: there is no response of the target.

    ``has_not_run`` guarantees that the call did not run and will not; if it
    is False, the call may have run. ``reason`` is the value of a ``Reason``.
    """

    number: int
    reason: str
    has_not_run: bool
    retry_after_ms: int
    load: LoadReport


class CancelCall(MeshMessage, frozen=True, tag=5):
    """Nobody waits for the result of the call any more.

    With ``spares_running`` only a call that waits at the gate is cancelled; its
    result is awaited, whatever it is. Earlier versions cancel it also if it
    runs.
    """

    number: int
    spares_running: bool = False


class Ping(MeshMessage, frozen=True, tag=6):
    """Asks for a ``Pong``, to check that the other side is alive."""


class Pong(MeshMessage, frozen=True, tag=7):
    """Reply to a ``Ping``."""


class FreshnessRequest(MeshMessage, frozen=True, tag=8):
    """Asks when the receiver last knew its configuration to be the newest.

    ``version`` is the configuration version of the sender, and
    ``members_offset`` the offset up to which it has read the members, in the
    era ``members_era`` of the store. The receiver first sends a
    ``ConfigurationUpdate`` and a ``MembersUpdate`` if it has newer ones.
    Earlier versions name no era. ``zones`` is what the sender knows of
    evacuated zones, up to ``zones_offset`` in the era ``zones_era``; both are
    -1 without any knowledge and for earlier versions.
    """

    number: int
    version: int
    members_offset: int
    members_era: int | None = None
    zones_era: int = -1
    zones_offset: int = -1
    zones: ZoneStates = ()


class FreshnessReply(MeshMessage, frozen=True, tag=9):
    """Reply to a ``FreshnessRequest``.

    ``age_ms`` is the time since the sender last had evidence that ``version``
    is the newest configuration; negative if it never had. ``has_lost_store``
    asks the receiver to choose another node to read the store for it.
    ``compared_era`` is the era of the store in which the sender has asked its
    neighbours for newer data; earlier versions name none. ``zones`` and its
    position are as in the request.
    """

    number: int
    version: int
    age_ms: int
    has_lost_store: bool = False
    compared_era: int | None = None
    zones_era: int = -1
    zones_offset: int = -1
    zones: ZoneStates = ()


class ConfigurationUpdate(MeshMessage, frozen=True, tag=10):
    """A configuration; ``record`` is encoded as in the store."""

    version: int
    record: bytes


class MembersUpdate(MeshMessage, frozen=True, tag=11):
    """Records of members, encoded as in the store, up to an offset.

    If ``is_complete`` is True, there are no members besides those listed.
    Otherwise only members that changed are listed. ``offset`` counts in the
    era ``era`` of the store; earlier versions name no era.
    """

    offset: int
    records: tuple[tuple[str, bytes], ...]
    is_complete: bool
    era: int | None = None


class TokenExchangeRequest(MeshMessage, frozen=True, tag=12):
    """Lends parts of the rates of teams to the receiver and asks for tokens.

    ``groups`` are the groups of teams whose parts the sender lends for the time
    of one lease, and ``lent`` lists the teams of which it has tokens. The lease
    counts from ``holder_time_s``, the time on the receiver's clock in its
    latest reply on this link, so that a delayed message lends for less; without
    one nothing is lent. ``wanted`` lists teams with the tokens that are needed
    now and those that could be used soon. ``is_same_zone`` is always true;
    earlier versions read it.
    """

    number: int
    lent: tuple[tuple[str, float], ...]
    wanted: tuple[tuple[str, float, float], ...]
    is_same_zone: bool = True
    groups: tuple[int, ...] = ()
    holder_time_s: float | None = None


class TokenExchangeReply(MeshMessage, frozen=True, tag=13):
    """Reply to a ``TokenExchangeRequest``: tokens granted for each team.

    ``holder_time_s`` is the sender's clock. A sender that ``is_leaving`` stops
    and has given up all parts that were lent to it.
    """

    number: int
    granted: tuple[tuple[str, float], ...]
    holder_time_s: float | None = None
    is_leaving: bool = False


AnyMeshMessage: TypeAlias = (
    Hello
    | CallRequest
    | CallResponse
    | CallRefusal
    | CancelCall
    | Ping
    | Pong
    | FreshnessRequest
    | FreshnessReply
    | ConfigurationUpdate
    | MembersUpdate
    | TokenExchangeRequest
    | TokenExchangeReply
)
