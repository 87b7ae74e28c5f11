"""Grants of rate tokens by the node that owns a team's budget.

The tests guard against tokens that are granted twice: then the calls of a team
would exceed its rate or burst.
"""

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


class FixedLease(LeaseQueries):
    lease_end = 1000.0

    def is_usable(self, slot, now):
        return now < self.lease_end

    def lease_ends_at(self, slot, now):
        return self.lease_end

    def gained_epoch(self, slot):
        return 7


def create_owner(basis=ClaimBasis.FIRST):
    owner = BudgetOwner(FixedLease(), lambda team: SLOT, lambda team: (10, 8))
    owner.handle_slot_gained(SlotGained(SLOT, 7, basis, False, 0), 0)
    return owner


def create_owner_with_lease(lease_end_s):
    owner = create_owner()
    owner.leases.lease_end = lease_end_s
    return owner


def create_ask(number, wanted=100, reports=()):
    return GrantAsk(f'h/{number}', 'h', 'ferry', wanted, reports)


def take_all_tokens(owner, now, ask_prefix='x'):
    tokens = 0
    for number in range(20):
        answer = owner.handle_ask(create_ask(f'{ask_prefix}{number}'), now)
        if isinstance(answer, GrantDenied):
            return tokens
        tokens += answer.tokens
    return tokens


def test_outstanding_tokens_count_against_the_burst():
    owner = create_owner()
    assert take_all_tokens(owner, 0) == 8
    assert take_all_tokens(owner, 0.9, 'y') == 0


def test_expired_tokens_are_lost_and_then_refilled():
    owner = create_owner()
    take_all_tokens(owner, 0)
    assert take_all_tokens(owner, 1.02, 'y') == 8


def test_an_owner_that_took_over_a_slot_starts_without_tokens():
    owner = create_owner(ClaimBasis.SUPPORTED)
    assert take_all_tokens(owner, 0) == 0
    assert take_all_tokens(owner, 0.5, 'y') == 4


def test_a_released_slot_waits_for_grants_of_its_former_owner():
    owner = create_owner(ClaimBasis.RELEASED)
    assert take_all_tokens(owner, 1) == 0


def test_a_repeated_or_late_report_creates_no_tokens():
    owner = create_owner()
    grant = owner.handle_ask(create_ask(1, 4), 0)
    report = GrantReport(grant.grant_id, 0, grant.tokens)
    for number in range(2, 6):
        owner.handle_ask(create_ask(number, 0, (report,)), 0)
    assert take_all_tokens(owner, 0) == 8
    owner.handle_ask(create_ask(9, 0, (report,)), 3)
    assert take_all_tokens(owner, 3, 'z') <= 8


def test_a_copy_of_an_ask_gets_no_second_grant():
    owner = create_owner()
    assert owner.handle_ask(create_ask(1), 0) is not None
    assert owner.handle_ask(create_ask(1), 0) is None


def test_a_lowered_burst_limits_the_available_tokens_at_once():
    zone_shares = [(10, 8)]
    owner = create_owner()
    owner.find_zone_share = lambda team: zone_shares[-1]
    grant = owner.handle_ask(create_ask(1, 1), 0)
    zone_shares.append((10, 2))
    returned = GrantReport(grant.grant_id, 0, 1)
    owner.handle_ask(create_ask(2, 0, (returned,)), 0)
    assert take_all_tokens(owner, 0) == 2


def test_a_grant_ends_before_the_lease():
    answer = create_owner_with_lease(0.4).handle_ask(create_ask(1), 0.1)
    assert answer.lifetime_s <= 0.4 - 0.1


def test_without_a_lease_no_tokens_are_granted():
    answer = create_owner_with_lease(0).handle_ask(create_ask(1), 0.1)
    assert answer.reason is DenialReason.NOT_OWNER


def test_refill_stays_within_the_rate_even_if_the_clock_is_fast():
    owner = create_owner(ClaimBasis.SUPPORTED)
    owner.find_zone_share = lambda team: (100, 1000)
    assert take_all_tokens(owner, 1) <= 100 / (1 + MAX_CLOCK_DRIFT)


@given(
    st.integers(1, 200),
    st.dictionaries(st.sampled_from('abcde'), st.integers(1, 9), min_size=1),
)
def test_zone_bursts_sum_to_the_burst_and_never_shrink_as_it_grows(
    burst, weights
):
    shares = divide_over_zones(30, burst, weights)
    larger_shares = divide_over_zones(30, burst + 1, weights)
    assert sum(share[1] for share in shares.values()) == burst
    assert all(shares[zone][1] <= larger_shares[zone][1] for zone in weights)
