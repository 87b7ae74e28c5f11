"""The configuration component of a node: following and changing it."""

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
    """Follows the configuration stream and answers operators' requests.

    After each input of the follower, pending operators' requests are
    examined, because the new configuration may decide them.
    """

    def __init__(
        self,
        zone: str,
        follower: ConfigurationFollower,
        operator_service: OperatorService,
    ) -> None:
        """Connect the follower and operator service of a node in ``zone``."""
        self.zone = zone
        self.follower = follower
        self.operator_service = operator_service
        self.applied_version = 0

    @property
    def ready(self) -> bool:
        """Whether a complete configuration is in force."""
        return self.follower.ready

    @property
    def view(self) -> ConfigurationView:
        """The configuration in force."""
        return self.follower.view

    def pop_changed_view(self) -> ConfigurationView | None:
        """Return the view if its version changed since the last call."""
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
        """Start an operator's request, or refuse it if it is malformed.

        ``issued_at`` is in seconds since the Unix epoch.
        """
        request_id = request.request_id
        decoded = read_operator_request(request.body)
        if isinstance(decoded, OperatorAnswer):
            return [OperatorReply(request_id, decoded)]
        return list(
            self.operator_service.submit(
                request_id,
                request.key_digest,
                decoded,
                now,
                issued_at,
            ),
        )

    def update_members(self, live: Iterable[Member], now: float) -> None:
        """Pass the live nodes of the own zone to the follower."""
        self.follower.update_members(
            tuple(member.node for member in live if member.zone == self.zone),
        )

    def handle_read_result(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[ConfigurationOutput]:
        """Handle the result of a read of the configuration stream."""
        return self.with_answers(self.pass_to_follower(read_result, now), now)

    def pass_to_follower(
        self,
        read_result: LogReadResult,
        now: float,
    ) -> list[FollowerEffect]:
        """Call the follower's method for the kind of result."""
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
        """Handle a page, or a message about snapshots, from a peer."""
        effects = self.follower.handle_message(sender, message, now)
        return self.with_answers(effects, now)

    def handle_append_result(
        self,
        append_result: AppendResult,
        now: float,
    ) -> list[ConfigurationOutput]:
        """Handle the result of an append of a change set or a snapshot."""
        if append_result.operation_id in self.operator_service.pending_appends:
            return list(
                self.operator_service.handle_append_result(append_result, now),
            )
        self.follower.handle_append_result(append_result, now)
        return []

    def tick(self, now: float) -> list[ConfigurationOutput]:
        """Return the effects of the follower and operators due by time."""
        return self.with_answers(self.follower.tick(now), now)

    def with_answers(
        self,
        effects: Iterable[FollowerEffect],
        now: float,
    ) -> list[ConfigurationOutput]:
        """Append the answers to operators' requests decided by now."""
        return [*effects, *self.operator_service.tick(now)]
