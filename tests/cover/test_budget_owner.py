"""Tokens at their owner; guards against tokens that are paid twice."""

from hypothesis import given
from hypothesis import strategies as st

from ebonycleat.internal.connection.grant_messages import (
    DenialReason,
    GrantAsk,
    GrantDenied,
    GrantReport,
)
from ebonycleat.internal.process.budget_owner import BudgetOwner
from ebonycleat.internal.process.lease import MAX_CLOCK_DRIFT, LeaseQueries
from ebonycleat.internal.process.ownership import (
    BUDGET_KIND,
    ClaimBasis,
    SlotId,
)
from ebonycleat.internal.process.slot_ownership import SlotGained
from ebonycleat.internal.process.token_bucket import divide_over_zones

SLOT = SlotId(BUDGET_KIND, 'a', 0)


class AlwaysOwner(LeaseQueries):
    until = 1000.0

    def is_usable(self, slot, now):
        return now < self.until

    def lease_ends_at(self, slot, now):
        return self.until

    def gained_epoch(self, slot):
        return 7


def create_owner(basis=ClaimBasis.FIRST):
    owner = BudgetOwner(AlwaysOwner(), lambda team: SLOT, lambda team: (10, 8))
    owner.handle_slot_gained(SlotGained(SLOT, 7, basis, False, 0), 0)
    return owner


def create_owner_until(lease_until):
    owner = create_owner()
    owner.leases.until = lease_until
    return owner


def ask(number, wanted=100, reports=()):
    return GrantAsk(f'h/{number}', 'h', 'ferry', wanted, reports)


def take_all(owner, now, prefix='x'):
    tokens = 0
    for number in range(20):
        answer = owner.handle_ask(ask(f'{prefix}{number}'), now)
        if isinstance(answer, GrantDenied):
            return tokens
        tokens += answer.tokens
    return tokens


def test_outstanding_tokens_count_against_the_burst():
    owner = create_owner()
    assert take_all(owner, 0) == 8
    assert take_all(owner, 0.9, 'y') == 0


def test_expired_tokens_are_lost_and_then_refilled():
    owner = create_owner()
    take_all(owner, 0)
    assert take_all(owner, 1.02, 'y') == 8


def test_a_new_owner_starts_empty():
    owner = create_owner(ClaimBasis.SUPPORTED)
    assert take_all(owner, 0) == 0
    assert take_all(owner, 0.5, 'y') == 4


def test_a_released_slot_leaves_room_for_grants_of_the_releaser():
    owner = create_owner(ClaimBasis.RELEASED)
    assert take_all(owner, 1) == 0


def test_a_repeated_or_late_report_creates_no_tokens():
    owner = create_owner()
    grant = owner.handle_ask(ask(1, 4), 0)
    report = GrantReport(grant.grant_id, 0, grant.tokens)
    for number in range(2, 6):
        owner.handle_ask(ask(number, 0, (report,)), 0)
    assert take_all(owner, 0) == 8
    owner.handle_ask(ask(9, 0, (report,)), 3)
    assert take_all(owner, 3, 'z') <= 8


def test_a_copy_of_an_ask_gets_no_second_grant():
    owner = create_owner()
    assert owner.handle_ask(ask(1), 0) is not None
    assert owner.handle_ask(ask(1), 0) is None


def test_a_lowered_burst_caps_the_level_at_once():
    parts = [(10, 8)]
    owner = create_owner()
    owner.find_zone_share = lambda team: parts[-1]
    grant = owner.handle_ask(ask(1, 1), 0)
    parts.append((10, 2))
    returned = GrantReport(grant.grant_id, 0, 1)
    owner.handle_ask(ask(2, 0, (returned,)), 0)
    assert take_all(owner, 0) == 2


def test_a_grant_ends_before_the_lease():
    answer = create_owner_until(0.4).handle_ask(ask(1), 0.1)
    assert answer.lifetime_s <= 0.4 - 0.1


def test_without_a_lease_nothing_is_given():
    answer = create_owner_until(0).handle_ask(ask(1), 0.1)
    assert answer.reason is DenialReason.NOT_OWNER


def test_refill_stays_below_the_rate_of_a_slow_clock():
    owner = create_owner(ClaimBasis.SUPPORTED)
    owner.find_zone_share = lambda team: (100, 1000)
    assert take_all(owner, 1) <= 100 / (1 + MAX_CLOCK_DRIFT)


@given(
    st.integers(1, 200),
    st.dictionaries(st.sampled_from('abcde'), st.integers(1, 9), min_size=1),
)
def test_parts_sum_to_the_whole_and_never_shrink_when_it_grows(burst, weights):
    parts = divide_over_zones(30, burst, weights)
    larger = divide_over_zones(30, burst + 1, weights)
    assert sum(part[1] for part in parts.values()) == burst
    assert all(parts[zone][1] <= larger[zone][1] for zone in weights)
