"""The configuration of a node: what is in force, and operators' requests."""

from collections.abc import Iterable
from typing import TypeAlias

from ebonycleat.internal.connection.operator_messages import OperatorAnswer
from ebonycleat.internal.process.configuration_follower import (
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
from ebonycleat.internal.version.configuration_view import ConfigurationView

ConfigurationOutput: TypeAlias = FollowerEffect | OperatorEffect


class ConfigurationComponent:
    """Follows the configuration and answers operators about it."""

    def __init__(
        self,
        zone: str,
        follower: ConfigurationFollower,
        operator_service: OperatorService,
    ) -> None:
        """Serve a node in ``zone``."""
        self.zone = zone
        self.follower = follower
        self.operator_service = operator_service
        self.applied_version = 0

    @property
    def ready(self) -> bool:
        """Whether there is a configuration in force."""
        return self.follower.ready

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.follower.view

    def pop_changed_view(self) -> ConfigurationView | None:
        """Return the view once after its version changed."""
        view = self.follower.view
        if view.version == self.applied_version:
            return None
        self.applied_version = view.version
        return view

    def handle_operator_request(
        self,
        request: IncomingRequest,
        now: float,
        issued_at: float,
    ) -> list[ConfigurationOutput]:
        """Start an operator's request."""
        ticket = request.request_id
        wanted = read_operator_request(request.body)
        if isinstance(wanted, OperatorAnswer):
            return [OperatorReply(ticket, wanted)]
        return list(
            self.operator_service.submit(
                ticket,
                request.key_digest,
                wanted,
                now,
                issued_at,
            ),
        )

    def update_members(self, live: Iterable[Member], now: float) -> None:
        """Take note of the live nodes of the zone."""
        self.follower.update_members(
            tuple(member.node for member in live if member.zone == self.zone),
        )

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[ConfigurationOutput]:
        """Hand the result of a read to the follower."""
        return self.with_answers(self.pass_to_follower(read_result, now), now)

    def pass_to_follower(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[FollowerEffect]:
        """Let the follower go on after a read."""
        offset = read_result.request.offset
        match read_result:
            case LogPageRead(page=page):
                return self.follower.handle_page(offset, page, now)
            case StreamExpired(first_offset=first_offset):
                return self.follower.handle_expired_offset(first_offset, now)
        return self.follower.handle_read_failure(now)

    def handle_message(
        self,
        sender: str,
        message: object,
        now: float,
    ) -> list[ConfigurationOutput]:
        """Take pages and snapshots from a peer."""
        effects = self.follower.handle_message(sender, message, now)
        return self.with_answers(effects, now)

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[ConfigurationOutput]:
        """Take the result of an append of a change set or a snapshot."""
        if append_result.operation_id in self.operator_service.pending_appends:
            return list(
                self.operator_service.handle_append_result(append_result, now),
            )
        self.follower.handle_append_result(append_result, now)
        return []

    def tick(self, now: float) -> list[ConfigurationOutput]:
        """Let reads and waiting operators advance."""
        return self.with_answers(self.follower.tick(now), now)

    def with_answers(
        self,
        effects: Iterable[FollowerEffect],
        now: float,
    ) -> list[ConfigurationOutput]:
        """Add the operators' requests that are decided by now."""
        return [*effects, *self.operator_service.tick(now)]
