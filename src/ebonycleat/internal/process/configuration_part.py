"""The configuration of a node: what is in force, and operators' requests."""

from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.operator_messages import OperatorAnswer
from ebonycleat.internal.process.config_follower import (
    ConfigurationFollower,
    FollowerEffect,
)
from ebonycleat.internal.process.effects import (
    AppendResult,
    LogPageRead,
    LogReadResult,
    StreamExpired,
)
from ebonycleat.internal.process.operator_service import (
    OperatorEffect,
    OperatorReply,
    OperatorService,
)
from ebonycleat.internal.process.rendezvous import Member
from ebonycleat.internal.request.incoming import IncomingRequest
from ebonycleat.internal.request.operator_http import (
    read_operator_request,
)
from ebonycleat.internal.version.view import ConfigurationView

ConfigurationStep: TypeAlias = FollowerEffect | OperatorEffect


class ConfigurationPart:
    """Follows the configuration and answers operators about it."""

    def __init__(
        self,
        zone: str,
        follower: ConfigurationFollower,
        operators: OperatorService,
    ) -> None:
        """Serve a node in ``zone``."""
        self.zone = zone
        self.follower = follower
        self.operators = operators
        self.applied_version = 0

    @property
    def ready(self) -> bool:
        """Whether there is a configuration in force."""
        return self.follower.ready

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.follower.view

    def take_new_view(self) -> ConfigurationView | None:
        """Return the view once after its version changed."""
        view = self.follower.view
        if view.version == self.applied_version:
            return None
        self.applied_version = view.version
        return view

    def operator_request(
        self,
        request: IncomingRequest,
        now: float,
        issued_at: float,
    ) -> list[ConfigurationStep]:
        """Start an operator's request."""
        ticket = request.request_id
        wanted = read_operator_request(request.body)
        if isinstance(wanted, OperatorAnswer):
            return [OperatorReply(ticket, wanted)]
        return list(
            self.operators.submit(
                ticket,
                request.key_digest,
                wanted,
                now,
                issued_at,
            ),
        )

    def members_changed(self, live: Iterable[Member], now: float) -> None:
        """Take note of the live nodes of the zone."""
        self.follower.members_changed(
            tuple(member.node for member in live if member.zone == self.zone),
        )

    def log_read(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[ConfigurationStep]:
        """Hand the result of a read to the follower."""
        return self.with_answers(self.follow(read_result, now), now)

    def follow(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[FollowerEffect]:
        """Let the follower go on after a read."""
        offset = read_result.request.offset
        match read_result:
            case LogPageRead(page=page):
                return self.follower.log_answered(offset, page, now)
            case StreamExpired(first_offset=first_offset):
                return self.follower.log_expired(first_offset, now)
        return self.follower.log_failed(now)

    def peer_message(
        self,
        sender: str,
        message: object,
        now: float,
    ) -> list[ConfigurationStep]:
        """Take pages and snapshots from a peer."""
        effects = self.follower.peer_message(sender, message, now)
        return self.with_answers(effects, now)

    def append_finished(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[ConfigurationStep]:
        """Take the result of an append of a change set or a snapshot."""
        if append_result.operation_id in self.operators.open_appends:
            return list(
                self.operators.append_finished(append_result, now),
            )
        self.follower.append_finished(append_result, now)
        return []

    def tick(self, now: float) -> list[ConfigurationStep]:
        """Let reads and waiting operators advance."""
        return self.with_answers(self.follower.tick(now), now)

    def with_answers(
        self,
        effects: Iterable[FollowerEffect],
        now: float,
    ) -> list[ConfigurationStep]:
        """Add the operators' requests that are decided by now."""
        return [*effects, *self.operators.tick(now)]
