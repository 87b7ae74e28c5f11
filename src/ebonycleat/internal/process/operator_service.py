"""Handles the requests of operators at one node.

A change is appended to the log. It is answered only when this node has read
it from the log, because its place there decides whether it is accepted. The
answer to an append may be lost, so the same record may be appended again; the
fold of the log ignores a second copy. If the outcome is not known at the
deadline, the operator is told so.
"""

import dataclasses
import hmac
import math
from collections.abc import Iterator, Mapping
from typing import Final, TypeAlias

from ebonycleat.internal.connection.log_service import LogStream
from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    OperatorAnswer,
    OperatorRequest,
)
from ebonycleat.internal.process.configuration_follower import (
    SNAPSHOT_OPERATION_PREFIX,
    ConfigurationFollower,
)
from ebonycleat.internal.process.effects import (
    AppendConfirmed,
    AppendResult,
    AppendToLog,
)
from ebonycleat.internal.process.operator_answers import (
    NodeStatus,
    answer_decided_change,
    answer_query,
    answer_rejected_change,
    answer_wait_command,
)
from ebonycleat.internal.process.operator_change_plan import (
    ChangeOrigin,
    plan_change_set,
)
from ebonycleat.internal.version.command_parser import parse_command
from ebonycleat.internal.version.command_syntax_error import CommandSyntaxError
from ebonycleat.internal.version.operator_commands import (
    ChangeCommand,
    Command,
    WaitForChange,
    WaitForVersion,
)
from ebonycleat.internal.version.records import (
    NAME_PATTERN,
    ChangeSet,
    Rejected,
    RejectionReason,
)

MAX_WAIT_S: Final = 60.0
MAX_PENDING_REQUESTS: Final = 100
# Pauses before another append: after one that had no effect, and after one
# whose answer was lost. The second is longer, because the record usually
# turns out to be in the log.
APPEND_RETRY_S: Final = 0.5
APPEND_REPEAT_S: Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorReply:
    """Effect: answer the operator's request that has this id."""

    request_id: str
    answer: OperatorAnswer


OperatorEffect: TypeAlias = OperatorReply | AppendToLog
Effects: TypeAlias = list[OperatorEffect]


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that is not answered yet.

    ``issued_at`` is in seconds since the Unix epoch, ``deadline`` in seconds
    on the clock of the node.
    """

    operator: str
    request: OperatorRequest
    command: Command
    issued_at: float
    deadline: float


@dataclasses.dataclass(slots=True)
class PendingAppend:
    """A change set that is being appended to the log.

    ``repeat_at`` is when to append it again unless an append is in flight.
    """

    record: ChangeSet
    in_flight: bool = True
    may_have_taken_effect: bool = False
    repeat_at: float = 0


class OperatorService:
    """Answers operators' requests; its methods return effects.

    ``pending_requests`` is keyed by request id, ``pending_appends`` by the
    operation id of the change.
    """

    def __init__(
        self,
        operator_by_digest: Mapping[str, str],
        follower: ConfigurationFollower,
        node_status: NodeStatus,
    ) -> None:
        """Serve the operators whose key digests are given.

        Digests are SHA-256 in hexadecimal.
        """
        self.operator_by_digest = dict(operator_by_digest)
        self.follower = follower
        self.node_status = node_status
        self.pending_requests: dict[str, PendingRequest] = {}
        self.pending_appends: dict[str, PendingAppend] = {}

    def authorise(self, key_digest: str) -> str:
        """Return the name of the operator with this key digest, or ''.

        Digests are compared in constant time, so that response times do not
        reveal how much of a guessed digest is correct.
        """
        operator = ''
        presented = key_digest.encode()
        for digest, name in self.operator_by_digest.items():
            if hmac.compare_digest(digest.encode(), presented):
                operator = name
        return operator

    def submit(
        self,
        request_id: str,
        key_digest: str,
        request: OperatorRequest,
        now: float,
        issued_at: float,
    ) -> Effects:
        """Start a request; its reply is returned now or by a later call.

        ``request_id`` identifies the request in the reply. ``issued_at`` is
        in seconds since the Unix epoch and only shown in the history.
        """
        operator = self.authorise(key_digest)
        if not operator:
            return [
                _reply(
                    request_id,
                    AnswerStatus.UNAUTHORISED,
                    'unknown key; use the key of an operator of this node',
                ),
            ]
        try:
            command = parse_command(request.text)
        except CommandSyntaxError as error:
            return [_reply(request_id, AnswerStatus.INVALID, str(error))]
        is_change = isinstance(command, ChangeCommand) and not command.dry_run
        if is_change and not _is_operation_id(request.operation_id):
            detail = (
                'the operation id of a change must have 1 to 100 letters, '
                'digits, dots, dashes or underscores, begin with a letter or '
                'digit, and not begin with "snapshot-"'
            )
            return [_reply(request_id, AnswerStatus.INVALID, detail)]
        if len(self.pending_requests) >= MAX_PENDING_REQUESTS:
            detail = (
                'this node has too many open requests; retry later or use '
                'another node'
            )
            return [_reply(request_id, AnswerStatus.NOT_READY, detail)]
        wait_s = min(max(request.wait_s, 0), MAX_WAIT_S)
        self.pending_requests[request_id] = PendingRequest(
            operator,
            request,
            command,
            issued_at,
            now + wait_s,
        )
        return self.tick(now)

    def handle_append_result(self, result: AppendResult, now: float) -> Effects:
        """Handle the result of an append that this service requested."""
        append = self.pending_appends.get(result.operation_id)
        if append is None:
            return []
        append.in_flight = False
        if isinstance(result, AppendConfirmed):
            append.may_have_taken_effect = True
            append.repeat_at = math.inf
        elif result.may_have_taken_effect:
            append.may_have_taken_effect = True
            append.repeat_at = now + APPEND_REPEAT_S
        else:
            append.repeat_at = now + APPEND_RETRY_S
        return self.tick(now)

    def tick(self, now: float) -> Effects:
        """Answer requests that are decided or overdue; repeat appends.

        Call it after the follower has applied records and about every 0.1 s.
        """
        effects: Effects = []
        for request_id, pending in tuple(self.pending_requests.items()):
            decided = self._decide(pending)
            if isinstance(decided, AppendToLog):
                effects.append(decided)
                continue
            if decided is None and now >= pending.deadline:
                decided = self._answer_overdue(pending)
            if decided is not None:
                self.pending_requests.pop(request_id)
                effects.append(OperatorReply(request_id, decided))
        return [*effects, *self._repeat_appends(now)]

    def _decide(
        self, pending: PendingRequest
    ) -> OperatorAnswer | AppendToLog | None:
        view = self.follower.view
        command = pending.command
        if not self.follower.ready:
            return None
        if view.version < pending.request.at_least_version:
            return None
        match command:
            case ChangeCommand():
                return self._decide_change(pending, command)
            case WaitForVersion() | WaitForChange():
                return answer_wait_command(view, command)
        return answer_query(view, self.node_status, command)

    def _decide_change(
        self,
        pending: PendingRequest,
        command: ChangeCommand,
    ) -> OperatorAnswer | AppendToLog | None:
        operation_id = pending.request.operation_id
        if not command.dry_run:
            decided = self.follower.view.operations.get(operation_id)
            if decided is not None:
                return answer_decided_change(self.follower.view, decided)
            if operation_id in self.pending_appends:
                return None
        return self._plan(pending, command)

    def _plan(
        self,
        pending: PendingRequest,
        command: ChangeCommand,
    ) -> OperatorAnswer | AppendToLog | None:
        view = self.follower.view
        request = pending.request
        operation_id = request.operation_id
        origin = ChangeOrigin(operation_id, pending.operator, pending.issued_at)
        planned = plan_change_set(view, command, origin, request.expected)
        if isinstance(planned, Rejected):
            if request.attempt and not command.dry_run:
                # An earlier attempt may have appended the same change, which
                # may still be accepted.
                return None
            return answer_rejected_change(view, planned, operation_id)
        if command.dry_run:
            return OperatorAnswer(
                AnswerStatus.DONE,
                'would be accepted; nothing changed',
                operation_id,
                view.version,
            )
        self.pending_appends[operation_id] = PendingAppend(planned)
        return AppendToLog(LogStream.CONFIGURATION, planned, operation_id)

    def _answer_overdue(self, pending: PendingRequest) -> OperatorAnswer:
        view = self.follower.view
        request = pending.request
        if isinstance(pending.command, ChangeCommand):
            return self._answer_overdue_change(request)
        if not self.follower.ready:
            return _not_ready(
                request,
                'the node has not read its configuration yet; retry later or '
                'use another node',
            )
        if view.version < request.at_least_version:
            return _not_ready(
                request,
                f'the node is at version {view.version} and not yet at '
                f'{request.at_least_version}',
            )
        return OperatorAnswer(
            AnswerStatus.UNKNOWN,
            f'not decided yet; this node is at version {view.version}',
            request.operation_id,
            view.version,
        )

    def _answer_overdue_change(
        self,
        request: OperatorRequest,
    ) -> OperatorAnswer:
        view = self.follower.view
        append = self.pending_appends.get(request.operation_id)
        is_behind = view.version < request.at_least_version
        if append is None and (is_behind or not self.follower.ready):
            return _not_ready(
                request,
                'the node has not read the log far enough and appended '
                'nothing; retry later or use another node',
            )
        if append is not None and _has_definitely_failed(append, request):
            rejected = Rejected(
                RejectionReason.LOG_UNAVAILABLE,
                '',
                detail='the log service cannot be reached and nothing '
                'changed; try again later',
            )
            return answer_rejected_change(view, rejected, request.operation_id)
        return OperatorAnswer(
            AnswerStatus.UNKNOWN,
            'the outcome is unknown; look it up with '
            f'"wait for change {request.operation_id}"',
            request.operation_id,
            view.version,
        )

    def _repeat_appends(self, now: float) -> Iterator[AppendToLog]:
        awaited = {
            pending.request.operation_id
            for pending in self.pending_requests.values()
        }
        for operation_id, append in tuple(self.pending_appends.items()):
            if operation_id not in awaited:
                self.pending_appends.pop(operation_id)
            elif not append.in_flight and now >= append.repeat_at:
                append.in_flight = True
                yield AppendToLog(
                    LogStream.CONFIGURATION,
                    append.record,
                    operation_id,
                )


def _has_definitely_failed(
    append: PendingAppend, request: OperatorRequest
) -> bool:
    may_be_accepted = append.in_flight or append.may_have_taken_effect
    return request.attempt == 0 and not may_be_accepted


def _is_operation_id(text: str) -> bool:
    is_reserved = text.startswith(f'{SNAPSHOT_OPERATION_PREFIX}-')
    return not is_reserved and NAME_PATTERN.fullmatch(text) is not None


def _reply(request_id: str, status: AnswerStatus, detail: str) -> OperatorReply:
    return OperatorReply(request_id, OperatorAnswer(status, detail))


def _not_ready(request: OperatorRequest, detail: str) -> OperatorAnswer:
    return OperatorAnswer(
        AnswerStatus.NOT_READY,
        detail,
        request.operation_id,
    )
