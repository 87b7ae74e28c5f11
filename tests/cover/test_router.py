"""Calls go to targets that can serve them, the nearest ones first."""

import random

from ebonycleat.internal.process.router import (
    PlacementRequest,
    Router,
    create_router,
)
from ebonycleat.internal.process.target_stats_table import Member, MemberState
from ebonycleat.internal.request.refusal import Reason, Refusal
from tests.cover.call_builders import make_call, make_gate_load

MEMBERS = (
    Member('a1', 'a'),
    Member('a2', 'a'),
    Member('b1', 'b'),
    Member('b2', 'b'),
)


def make_router(local_node: str = '') -> Router:
    return create_router('a', local_node, random.Random(3))


def chosen_nodes(
    router: Router,
    now: float,
    members: tuple[Member, ...] = MEMBERS,
) -> set[str]:
    request = PlacementRequest(make_call('1'), members)
    choices = [router.choose(request, now) for _ in range(40)]
    return {
        choice.node if isinstance(choice, Member) else choice.reason.value
        for choice in choices
    }


def record_failed_call(
    router: Router, member: Member, reached: bool, now: float
) -> None:
    router.record_sent(member, now)
    router.record_failure(member, reached, now)


def record_answered_call(
    router: Router, member: Member, running: int, now: float
) -> None:
    router.record_sent(member, now)
    router.record_answer(member, make_gate_load(running), 0.01, now)


def test_own_zone_is_preferred_and_the_local_target_most_of_all() -> None:
    """Guards against needless calls to other zones."""
    assert chosen_nodes(make_router(), 0) == {'a1', 'a2'}
    assert chosen_nodes(make_router('a2'), 0) == {'a2'}


def test_loaded_zone_spills_over_before_refusing() -> None:
    """Guards against refusing calls while another zone has capacity."""
    router = make_router('a1')
    for member in MEMBERS[:2]:
        record_answered_call(router, member, 10, 0)
    assert chosen_nodes(router, 0.1) == {'b1', 'b2'}


def test_call_is_refused_early_only_if_no_admission_level_admits_it() -> None:
    """Guards against sending calls that every gate would refuse."""
    router = make_router()
    for member in MEMBERS[:2]:
        router.record_refusal(member, make_gate_load(admission_level=16), 0)
    assert chosen_nodes(router, 0.1) == {'b1', 'b2'}
    for other in MEMBERS[2:]:
        router.record_refusal(other, make_gate_load(admission_level=16), 0)
    assert chosen_nodes(router, 0.1) == {Reason.SHED.value}
    assert chosen_nodes(router, 5) == {'a1', 'a2'}


def test_failing_target_is_ejected_and_tried_again_one_call_at_a_time() -> None:
    """Guards against sending a share of all calls to a dead target."""
    router = make_router()
    for _ in range(3):
        record_failed_call(router, MEMBERS[0], reached=True, now=0)
    assert chosen_nodes(router, 4.9) == {'a2'}
    assert 'a1' in chosen_nodes(router, 5.1)
    router.record_sent(MEMBERS[0], 5.1)
    assert chosen_nodes(router, 5.1) == {'a2'}
    router.record_failure(MEMBERS[0], reached=True, now=5.2)
    assert chosen_nodes(router, 15) == {'a2'}
    assert 'a1' in chosen_nodes(router, 15.3)


def test_at_most_half_of_the_targets_are_ejected() -> None:
    """Guards against a bad request or node fault that ejects all targets."""
    router = make_router()
    for member in MEMBERS * 3:
        record_failed_call(router, member, reached=True, now=0)
    assert len(chosen_nodes(router, 1)) == 2


def test_unreachable_zone_is_avoided_and_probed_again_later() -> None:
    """Guards against losing the calls that are sent to an unreachable zone."""
    router = make_router()
    for member in (MEMBERS[0], MEMBERS[1], MEMBERS[1]):
        record_failed_call(router, member, reached=False, now=0)
    assert chosen_nodes(router, 0) == {'b1', 'b2'}
    assert chosen_nodes(router, 0.9) == {'b1', 'b2'}
    assert 'a1' in chosen_nodes(router, 1.1)
    record_failed_call(router, MEMBERS[0], reached=False, now=1.2)
    assert chosen_nodes(router, 3) == {'b1', 'b2'}
    record_answered_call(router, MEMBERS[0], 0, 3.3)
    assert 'a1' in chosen_nodes(router, 3.4)


def test_silent_target_is_avoided_while_others_answer() -> None:
    """Guards against sending calls to a lost VM until its link is closed."""
    router = make_router()
    for _ in range(4):
        router.record_sent(MEMBERS[0], 0)
    assert 'a1' in chosen_nodes(router, 0.04)
    assert chosen_nodes(router, 0.1) == {'a2'}
    router.record_sent(MEMBERS[1], 0)
    for other in MEMBERS[2:]:
        router.record_sent(other, 0)
    assert 'a1' in chosen_nodes(router, 0.2)


def test_draining_targets_get_no_new_calls() -> None:
    """Guards against new calls to a target that is leaving."""
    router = make_router()
    members = (Member('a1', 'a', MemberState.DRAINING), *MEMBERS[1:])
    assert chosen_nodes(router, 0, members) == {'a2'}
    router.record_refusal(MEMBERS[1], make_gate_load(draining=True), 0)
    assert chosen_nodes(router, 0.1, members) == {'b1', 'b2'}


def test_no_usable_target_leads_to_a_refusal() -> None:
    """Guards against an exception when every zone must be avoided."""
    request = PlacementRequest(make_call('1'), MEMBERS, frozenset('ab'))
    refusal = make_router().choose(request, 0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason is Reason.NO_TARGET


def test_a_dead_target_of_another_service_ejects_no_live_one() -> None:
    """Guards against a lasting loss after a target has died.

    The only target of a service is in a zone in which the only target of
    another service is dead, but still in the member list.
    """
    router = make_router()
    dead = Member('c1', 'c', service='stations')
    live = Member('c2', 'c', service='tiles')
    now: float = 0
    record_answered_call(router, live, 1, now)
    for _ in range(5):
        record_failed_call(router, dead, False, now)
    for step in range(100):
        now = step / 10
        chosen_nodes(router, now, (dead,))
        router.record_sent(live, now)
        assert chosen_nodes(router, now, (live,)) == {'c2'}
        router.record_answer(live, make_gate_load(1), 0.01, now)


def test_a_zone_without_a_reachable_target_of_a_service_is_ejected() -> None:
    """Guards against calls that each wait for a zone that is cut off."""
    router = make_router()
    members = (
        Member('b1', 'b', service='maps'),
        Member('c1', 'c', service='maps'),
    )
    for _ in range(4):
        record_failed_call(router, members[1], False, 0)
    assert chosen_nodes(router, 0.1, members) == {'b1'}
