"""What a mesh needs from the platform that it runs on.

The platform's names and formats are known to one folder only, which
implements these classes; everything else works with the types here.
"""

import abc
import dataclasses
import enum
from typing import TypeAlias

import msgspec

from ebonycleat.internal.connection.http_messages import (
    HttpResponse,
    HttpRequest,
)
from ebonycleat.internal.request.call import HeaderPairs
from ebonycleat.internal.request.refusal import Refusal
from ebonycleat.internal.version.mesh_configuration import MeshConfiguration


class StoreTopic(enum.Enum):
    """Topics of the store that keep the newest record of each key."""

    CONFIGURATION = 'configuration'
    MEMBERS = 'members'


@dataclasses.dataclass(frozen=True, slots=True)
class TopicPage:
    """Records of a topic; an empty value says that the key was dropped.

    ``next_offset`` is where reading for changes goes on.
    """

    records: tuple[tuple[str, bytes], ...]
    next_offset: int


class KeyValueStore(abc.ABC):
    """Access to the platform's store.

    All methods raise ``LogUnavailable`` when nothing can have been done.
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
        """Read records from ``offset`` on, waiting for a first one.

        Raises ``OffsetExpired`` when they are no longer kept.
        """

    @abc.abstractmethod
    async def write(self, topic: StoreTopic, key: str, record: bytes) -> None:
        """Write the newest record of a key; an empty one drops the key.

        Raises ``AppendOutcomeUnknown`` when it may have been done, or still be.
        """


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request; ``headers`` are those that travel on.

    ``deadline_s`` is the time that the caller will wait, None if it did not
    say. ``key`` is empty if none came. ``ancestor_ids`` are the ids that the
    request's own id extends, the nearest first; a request without a
    hierarchical id has none.
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    key: str
    headers: HeaderPairs
    ancestor_ids: tuple[str, ...] = ()


class TargetRequest(msgspec.Struct, frozen=True):
    """What a target is told besides the caller's own headers.

    ``instance`` is the one that must run the request; any other refuses it.
    """

    request_id: str
    host: str
    time_left_s: float
    instance: str
    team: str
    origin_service: str
    headers: HeaderPairs


class ParsedResponse(msgspec.Struct, frozen=True):
    """A target's answer, and what it says beyond it.

    ``has_not_run`` is the target's promise. ``is_other_instance`` says that
    the instance meant is no longer at its address.
    """

    response: HttpResponse
    has_not_run: bool
    is_wrong_instance: bool


class CallerProtocol(abc.ABC):
    """How callers speak."""

    @abc.abstractmethod
    def parse_request(self, request: HttpRequest) -> CallerRequest | Refusal:
        """Decode a request, or refuse what cannot be understood."""

    @abc.abstractmethod
    def render_refusal(self, request_id: str, refusal: Refusal) -> HttpResponse:
        """Encode a refusal; its status says truly whether it has run."""


class TargetProtocol(abc.ABC):
    """How targets speak."""

    @abc.abstractmethod
    def render_headers(self, request: TargetRequest) -> HeaderPairs:
        """Headers of a request as the target gets it."""

    @abc.abstractmethod
    def is_response_to(self, request_id: str, headers: HeaderPairs) -> bool:
        """Whether an answer with these headers belongs to the request."""

    @abc.abstractmethod
    def parse_response(self, response: HttpResponse) -> ParsedResponse:
        """Decode an answer; what only nodes need does not travel on."""


class TargetState(enum.Enum):
    """State that a target announces."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class TargetHeartbeat:
    """A target's word on itself.

    ``started_ms`` is the time of day of its start, which orders incarnations;
    ``sequence`` orders the words of one incarnation.
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
    """A target ends; ``started_ms`` is 0 where it did not say."""

    instance: str
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidControlMessage:
    """A message at the control address that names no target to use."""

    detail: str


ControlMessage: TypeAlias = (
    TargetHeartbeat | TargetDeregistration | InvalidControlMessage
)


class ControlProtocol(abc.ABC):
    """How a target announces itself at the control address."""

    @abc.abstractmethod
    def parse_message(self, request: HttpRequest) -> ControlMessage:
        """Decode a message of the target."""

    @abc.abstractmethod
    def render_acknowledgement(self, message: ControlMessage) -> HttpResponse:
        """Acknowledge what was accepted, or refuse what cannot be read."""


class ConfigurationFormat(abc.ABC):
    """How operators write the configuration."""

    @abc.abstractmethod
    def parse_configuration(self, record: bytes) -> MeshConfiguration | None:
        """Decode a record; None if it is not a configuration."""

    @abc.abstractmethod
    def select_newest_record(self, page: TopicPage) -> bytes:
        """The newest configuration among changed records, empty if none."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformInterfaces:
    """Everything of the platform that a mesh node uses."""

    store: KeyValueStore
    callers: CallerProtocol
    target: TargetProtocol
    control: ControlProtocol
    configuration: ConfigurationFormat
