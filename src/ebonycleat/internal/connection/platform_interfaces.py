"""Interfaces between a mesh node and the platform that it runs on.

The header names and formats of the platform are known only to the package
``ebonycleat.platform``, which implements these classes. All other code works
with the types of this module.
"""

import abc
import dataclasses
import enum
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.http_messages import (
    HttpRequest,
    HttpResponse,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.internal.request.refusal import Refusal
from ebonycleat.internal.version.mesh_configuration import MeshConfiguration

MAX_SLOTS = 1_000_000
"""Largest number of requests that a target may run at once."""

MAX_UNIX_TIME_MS = 32_503_680_000_000
"""Unix time in milliseconds of the year 3000. Later times are no times."""


class StoreTopic(enum.Enum):
    """Topics of the store; each keeps the newest record of every key."""

    CONFIGURATION = 'configuration'
    MEMBERS = 'members'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A position in the log of a topic; the latest one is the greatest.

    ``era`` rises each time the store was restored from an older copy. Records
    may be lost then and offsets are used again, so ``offset`` is comparable
    only within an era.
    """

    era: int
    offset: int


BEFORE_FIRST_READ = StorePosition(-1, -1)


@dataclasses.dataclass(frozen=True, slots=True)
class TopicPage:
    """Records of a topic as pairs of key and value.

    An empty value means that the key was deleted. ``next_offset`` is the
    offset from which to read for later changes. ``end_offset`` is the end of
    the log at the time of the read; it is greater than ``next_offset`` if the
    page does not hold all records up to it. ``era`` is that of the store at
    the time of the read.
    """

    records: tuple[tuple[str, bytes], ...]
    next_offset: int
    end_offset: int
    era: int = 0


class KeyValueStore(abc.ABC):
    """Access to the key-value store of the platform.

    All methods raise ``StorageUnavailable`` if the store cannot be reached or
    refuses; the operation then had no effect.
    """

    @abc.abstractmethod
    async def read_newest(self, topic: StoreTopic) -> TopicPage:
        """Read the newest record of every key."""

    @abc.abstractmethod
    async def wait_for_changes(
        self,
        topic: StoreTopic,
        offset: int,
        wait_s: float,
    ) -> TopicPage:
        """Read the records from ``offset`` on.

        Waits up to ``wait_s`` seconds for the first record. Raises
        ``OffsetExpired`` if records after ``offset`` are no longer kept.
        """

    @abc.abstractmethod
    async def write(
        self, topic: StoreTopic, key: str, record: bytes
    ) -> StorePosition:
        """Write the record of a key; an empty record deletes the key.

        Returns the position of the record in the log. Raises ``WriteOutcomeUnknown`` if the write may have taken effect or
        may still do so.
        """


class CallerRequest(msgspec.Struct, frozen=True):
    """What a node reads from a caller's request.

    ``timeout_s`` is how long the caller will wait, None if the request does
    not state it. ``key`` is the API key, empty if there is none. ``headers``
    are those to be forwarded. ``ancestor_ids`` are the prefixes of a
    hierarchical request id that are request ids themselves, the longest first;
    empty for a flat id.
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    key: str
    headers: HeaderPairs
    ancestor_ids: tuple[str, ...] = ()


class TargetRequest(msgspec.Struct, frozen=True):
    """What the headers of a request to a target are built from.

    ``headers`` are those of the caller. ``instance`` is the instance of the
    target that must run the request; any other instance refuses it.
    """

    request_id: str
    host: str
    time_left_s: float
    instance: str
    team: str
    origin_service: str
    headers: HeaderPairs


class TargetLoad(msgspec.Struct, frozen=True):
    """Load of a target, as it tells it with a response.

    ``pace`` is how long work takes on its VM at this moment, relative to the
    usual time: 1 is as usual, 2 twice as long. It is None if the target does
    not tell it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class ParsedResponse(msgspec.Struct, frozen=True):
    """A target's response, split into parts for the caller and for the node.

    ``response`` is for the caller. ``has_not_run`` is the target's guarantee
    that it has not run the request. ``is_wrong_instance`` is True
    if the request reached another instance than the one that it names.
    ``max_requests_per_s`` is how many requests the target takes from all nodes
    together for as long as it says so; None if it names no limit.
    ``is_leaving`` is True if the target must get no new requests. ``load`` is
    None if the target does not tell its load.
    """

    response: HttpResponse
    has_not_run: bool
    is_wrong_instance: bool
    max_requests_per_s: float | None
    is_leaving: bool
    load: TargetLoad | None = None


class HealthReport(msgspec.Struct, frozen=True):
    """What a target's response to a health check says.

    ``warm_up_left_s`` is the time until the target has warmed up, 0 if it is
    warm.
    """

    instance: str
    warm_up_left_s: float


class CallerProtocol(abc.ABC):
    """The HTTP conventions of the platform between callers and nodes."""

    @abc.abstractmethod
    def parse_request(self, request: HttpRequest) -> CallerRequest | Refusal:
        """Decode a request, or refuse a malformed one."""

    @abc.abstractmethod
    def render_refusal(self, request_id: str, refusal: Refusal) -> HttpResponse:
        """Encode a refusal.

        The status must not suggest that the request has not run if the
        outcome of the refusal is unknown.
        """


class TargetProtocol(abc.ABC):
    """The HTTP conventions of the platform between nodes and targets."""

    @abc.abstractmethod
    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Return all headers of a request to the target."""

    @abc.abstractmethod
    def is_response_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Return whether a response with these headers may be to a request."""

    @abc.abstractmethod
    def names_request(self, request_id: str, headers: HeaderPairs) -> bool:
        """Return whether a response with these headers names a request."""

    @abc.abstractmethod
    def parse_response(self, response: HttpResponse) -> ParsedResponse:
        """Split a response; headers meant for nodes are not forwarded."""

    @abc.abstractmethod
    def render_health_check(
        self, host: str, instance: str, time_left_s: float
    ) -> HeaderPairs:
        """Return all headers of a health check of an instance."""

    @abc.abstractmethod
    def parse_health(self, response: HttpResponse) -> HealthReport | None:
        """Read the response to a health check; None if it tells nothing."""


class TargetState(enum.Enum):
    """State that a target reports in its heartbeats."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """A target registers or reports its state.

    ``slots`` is the number of requests that it can run at once.
    ``started_ms`` is the wall-clock time of its start in milliseconds, which
    orders the incarnations of a target. ``sequence`` orders the heartbeats of
    one incarnation. ``warm_up_left_s`` is the time until the target has its
    full speed.
    """

    instance: str
    service: str
    slots: int
    state: TargetState
    started_ms: int
    sequence: int
    warm_up_left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetDeregistration:
    """A target shuts down.

    ``started_ms`` identifies its incarnation; 0 if the message does not
    contain it.
    """

    instance: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidControlMessage:
    """A message at the control address that is malformed."""

    detail: str


ControlMessage: TypeAlias = (
    TargetHeartbeat | TargetDeregistration | InvalidControlMessage
)


class ControlProtocol(abc.ABC):
    """The messages by which a target registers at the control address."""

    @abc.abstractmethod
    def parse_message(self, request: HttpRequest) -> ControlMessage:
        """Decode a message; a malformed one is returned as invalid."""

    @abc.abstractmethod
    def render_acknowledgement(self, message: ControlMessage) -> HttpResponse:
        """Encode the response to a message, an error for an invalid one."""


class ConfigurationFormat(abc.ABC):
    """The format in which operators write the configuration to the store."""

    @abc.abstractmethod
    def parse_configuration(self, record: bytes) -> MeshConfiguration:
        """Decode a record as a whole.

        Raises ``InvalidConfiguration``, which names the place and the reason,
        if any part of it cannot be used.
        """

    @abc.abstractmethod
    def select_newest_record(self, page: TopicPage) -> bytes:
        """Return the newest configuration record of a page, empty if none."""

    @abc.abstractmethod
    def list_evacuations(self, page: TopicPage) -> list[tuple[str, bool]]:
        """Return the zones of a page's evacuation records, in their order.

        Each comes with whether the zone is evacuated; a removed record says
        that it is not any more.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformInterfaces:
    """All interfaces of the platform that a mesh node uses."""

    store: KeyValueStore
    callers: CallerProtocol
    target: TargetProtocol
    control: ControlProtocol
    configuration: ConfigurationFormat
