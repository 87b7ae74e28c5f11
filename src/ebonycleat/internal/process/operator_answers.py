"""Builds the answers to operators' commands."""

import abc
import heapq
from collections import Counter
from typing import Final

from ebonycleat.internal.connection.operator_messages import (
    AnswerStatus,
    ChangeRow,
    CountRow,
    NodeRow,
    OperatorAnswer,
    RefusalRow,
)
from ebonycleat.internal.version.command_formatter import format_change
from ebonycleat.internal.version.configuration_view import (
    MAX_OPERATIONS,
    ActiveKey,
    ConfigurationView,
    DecidedOperation,
)
from ebonycleat.internal.version.help_topics import (
    ADVICE_BY_REASON,
    HELP_BY_TOPIC,
)
from ebonycleat.internal.version.operator_commands import (
    ExplainRefusal,
    Listing,
    Query,
    RefusalGrouping,
    ShowChange,
    ShowHelp,
    ShowHistory,
    ShowListing,
    ShowRefusals,
    WaitForChange,
    WaitForVersion,
)
from ebonycleat.internal.version.records import Rejected

# Longer answers would block the loop and delay the calls of the node.
MAX_ROWS_SHOWN: Final = 1000


class NodeStatus(abc.ABC):
    """Information of a node that is not part of its configuration."""

    @abc.abstractmethod
    def list_nodes(self) -> tuple[NodeRow, ...]:
        """List the nodes that this node knows, itself included."""

    @abc.abstractmethod
    def list_refusals(self) -> tuple[RefusalRow, ...]:
        """List the refusals that this node has counted since its start."""


def answer_query(
    view: ConfigurationView,
    node_status: NodeStatus,
    query: Query,
) -> OperatorAnswer:
    """Answer a query from ``view`` and ``node_status``.

    Raises ``TypeError`` for a command that has to wait.
    """
    match query:
        case ShowListing():
            return _answer_listing(view, node_status, query)
        case ShowRefusals():
            return OperatorAnswer(
                AnswerStatus.DONE,
                'refusals of the answering node since its start',
                version=view.version,
                refusals=count_refusals(
                    node_status.list_refusals(), query.group_by
                ),
            )
        case ShowHistory():
            shown = view.operations.list_newest(
                min(query.limit, MAX_ROWS_SHOWN)
            )
            return OperatorAnswer(
                AnswerStatus.DONE,
                version=view.version,
                history=tuple(map(describe_operation, shown)),
            )
        case ShowChange():
            return answer_change(view, query.operation_id)
        case ExplainRefusal():
            return _answer_with_text(view, ADVICE_BY_REASON[query.reason])
        case ShowHelp():
            return _answer_with_text(view, HELP_BY_TOPIC[query.topic])
    raise TypeError(f'{type(query).__name__} cannot be answered immediately')


def answer_change(
    view: ConfigurationView,
    operation_id: str,
) -> OperatorAnswer:
    """Answer with the change set that has this operation id."""
    operation = view.operations.get(operation_id)
    if operation is None:
        return OperatorAnswer(
            AnswerStatus.UNKNOWN,
            f'no change {operation_id} up to version {view.version}; it may '
            'not be in the log yet, or be older than the history',
            operation_id,
            view.version,
        )
    return OperatorAnswer(
        AnswerStatus.DONE,
        operation_id=operation_id,
        version=view.version,
        history=(describe_operation(operation),),
    )


def answer_wait_command(
    view: ConfigurationView,
    command: WaitForVersion | WaitForChange,
) -> OperatorAnswer | None:
    """Answer a wait command, or return None while it has to wait."""
    if isinstance(command, WaitForChange):
        operation = view.operations.get(command.operation_id)
        return (
            None
            if operation is None
            else answer_decided_change(view, operation)
        )
    if view.version < command.version:
        return None
    return OperatorAnswer(
        AnswerStatus.DONE,
        f'version {view.version} is in force at this node',
        version=view.version,
    )


def answer_decided_change(
    view: ConfigurationView,
    operation: DecidedOperation,
) -> OperatorAnswer:
    """Answer a change command whose change set is decided.

    The fold of the log has accepted or rejected it.
    """
    if operation.rejected is not None:
        return answer_rejected_change(
            view,
            operation.rejected,
            operation.operation_id,
        )
    return OperatorAnswer(
        AnswerStatus.ACCEPTED,
        f'accepted as version {operation.offset}',
        operation.operation_id,
        operation.offset,
    )


def answer_rejected_change(
    view: ConfigurationView,
    rejected: Rejected,
    operation_id: str,
) -> OperatorAnswer:
    """Answer that a change was rejected, with the reason.

    If the change lost to an earlier one, that one is part of the answer.
    """
    winner = _find_operation_at(view, rejected.lost_to)
    message = f'rejected, {rejected.reason.value}: {rejected.detail}'
    if winner is not None:
        message = (
            f'{message}; the change that came first is '
            f'{winner.operation_id} of {winner.operator}, '
            f'version {winner.version}'
        )
    return OperatorAnswer(
        AnswerStatus.REJECTED,
        message,
        operation_id,
        view.version,
        rejected,
        winner,
    )


def count_refusals(
    rows: tuple[RefusalRow, ...],
    group_by: RefusalGrouping,
) -> tuple[CountRow, ...]:
    """Add up refusals by one of their labels, most frequent first."""
    counts: Counter[str] = Counter()
    for row in rows:
        counts[str(getattr(row, group_by.value))] += row.count
    ranked = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    return tuple(CountRow(*pair) for pair in ranked[:MAX_ROWS_SHOWN])


def describe_operation(operation: DecidedOperation) -> ChangeRow:
    """Create the row of the history for a decided change set."""
    rejected = operation.rejected
    return ChangeRow(
        operation.offset,
        operation.operation_id,
        operation.operator,
        operation.issued_at,
        'accepted' if rejected is None else rejected.reason.value,
        operation.change_count,
        tuple(map(format_change, operation.changes)),
        '' if rejected is None else rejected.detail,
    )


def _answer_with_text(view: ConfigurationView, text: str) -> OperatorAnswer:
    return OperatorAnswer(AnswerStatus.DONE, text, version=view.version)


def _find_operation_at(
    view: ConfigurationView,
    offset: int,
) -> ChangeRow | None:
    for operation in view.operations.list_newest(MAX_OPERATIONS):
        if operation.offset == offset:
            return describe_operation(operation)
    return None


def _answer_listing(
    view: ConfigurationView,
    node_status: NodeStatus,
    query: ShowListing,
) -> OperatorAnswer:
    version = view.version
    match query.listing:
        case Listing.TEAMS:
            teams = tuple(team for _, team in sorted(view.teams.items()))
            return OperatorAnswer(
                AnswerStatus.DONE,
                version=version,
                teams=teams,
            )
        case Listing.KEYS:
            return _answer_keys(view, query.team)
        case Listing.ROUTES:
            routes = tuple(route for _, route in sorted(view.routes.items()))
            return OperatorAnswer(
                AnswerStatus.DONE,
                version=version,
                routes=routes[:MAX_ROWS_SHOWN],
            )
        case Listing.NODES:
            return OperatorAnswer(
                AnswerStatus.DONE,
                version=version,
                nodes=node_status.list_nodes(),
            )
    return _answer_with_text(
        view, f'version {version}, log offset {view.offset}'
    )


def _answer_keys(view: ConfigurationView, team: str) -> OperatorAnswer:
    matching = [key for _, key in view.keys.items() if team in {'', key.team}]
    shown = heapq.nsmallest(MAX_ROWS_SHOWN, matching, key=_key_order)
    message = ''
    if len(matching) > len(shown):
        message = f'the first {len(shown)} of {len(matching)} keys'
    return OperatorAnswer(
        AnswerStatus.DONE,
        message,
        version=view.version,
        keys=tuple(shown),
    )


def _key_order(key: ActiveKey) -> tuple[str, str]:
    return key.team, key.digest
