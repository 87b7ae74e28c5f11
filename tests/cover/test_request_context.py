"""Calls made by a target inherit their priority and cannot forge one."""

import random

from ebonycleat.internal.request.call import Priority
from ebonycleat.internal.request.context import (
    ContextRegistry,
    NoContext,
    RequestContext,
    create_context_registry,
)
from ebonycleat.internal.request.refusal import (
    Outcome,
    Reason,
    refuse_not_run,
)
from tests.cover.call_builders import make_call


def make_registry(capacity: int = 4) -> ContextRegistry:
    return create_context_registry(capacity, random.Random(1))


def test_context_resolves_to_the_call_until_its_deadline() -> None:
    """Guards against deep calls losing the priority of their root."""
    registry = make_registry()
    context_id = registry.open(make_call('1', deadline=5, depth=2))
    context = registry.resolve(context_id, 1)
    assert isinstance(context, RequestContext)
    assert context.call.call_id == '1'
    assert context.child_depth == 3
    assert registry.resolve(context_id, 5) is NoContext.EXPIRED


def test_calls_without_a_context_get_lowest_priority_and_no_retries() -> None:
    """Guards against forged contexts gaining priority or retries."""
    registry = make_registry()
    assert registry.resolve('', 0) is NoContext.ABSENT
    unknown = registry.resolve('f' * 32, 0)
    assert isinstance(unknown, NoContext)
    assert unknown.priority is Priority.LOWEST
    assert not unknown.retry_allowance


def test_closing_returns_unused_retries_once_and_open_children() -> None:
    """Guards against a second close refunding the same retries again."""
    registry = make_registry()
    context_id = registry.open(make_call('1', retry_allowance=2))
    context = registry.resolve(context_id, 0)
    assert isinstance(context, RequestContext)
    context.start_child('child', 1)
    context.start_child('done', 2)
    context.end_child('done', 3)
    closed = registry.close(context_id)
    assert closed.retries_unused == 2
    assert closed.children_to_cancel == ('child',)
    assert not registry.close(context_id).retries_unused


def test_downstream_refusal_is_reported_with_the_time_waited() -> None:
    """Guards against blaming a healthy target for a failed dependency."""
    registry = make_registry()
    context_id = registry.open(make_call('1'))
    context = registry.resolve(context_id, 0)
    assert isinstance(context, RequestContext)
    context.start_child('c', 1)
    context.end_child('c', 3)
    context.record_downstream_refusal(refuse_not_run(Reason.NO_TARGET))
    closed = registry.close(context_id)
    assert closed.waited_s == 2
    assert closed.downstream_refusal is not None
    assert closed.downstream_refusal.reason is Reason.DEPENDENCY_FAILED
    assert closed.downstream_refusal.outcome is Outcome.UNKNOWN


def test_registry_is_bounded_and_closes_expired_contexts() -> None:
    """Guards against memory growing with calls that never end."""
    registry = make_registry(capacity=2)
    first = registry.open(make_call('1', deadline=1))
    registry.open(make_call('2', deadline=1))
    registry.open(make_call('3', deadline=9))
    assert registry.resolve(first, 0) is NoContext.UNKNOWN
    assert len(registry.close_expired(2)) == 1
    assert len(registry.by_id) == 1
