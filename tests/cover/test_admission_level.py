"""Admission levels under overload and after it.

A level sheds the least important calls first and admits all calls again soon
after the overload has ended.
"""

from ebonycleat.internal.process.admission_level import (
    ADMIT_ALL_LEVEL,
    MIN_LEVEL,
    SUBLEVEL_COUNT,
    AdmissionLevel,
    ReportedLevels,
    shedding_position_of,
)
from ebonycleat.internal.request.call import Priority
from tests.cover.call_builders import make_call


def simulate_overload(
    admission_level: AdmissionLevel,
    windows: int,
) -> None:
    """Offer 20 calls of each priority per window; none of them starts."""
    for window in range(windows):
        for number in range(100):
            call = make_call(str(number), Priority(number % 5))
            if shedding_position_of(call) < admission_level.level:
                admission_level.count_admitted(shedding_position_of(call))
        admission_level.close_window(1, 0.1, window / 5)


def test_calls_of_one_root_have_the_same_position_at_every_hop() -> None:
    """Guards against overloaded hops that shed calls of different roots.

    Then each hop would refuse some calls for which earlier hops have already
    done work.
    """
    assert shedding_position_of(make_call('r')) == shedding_position_of(
        make_call('r', depth=9)
    )
    over_share_position = shedding_position_of(
        make_call('r', Priority.HIGH), is_over_share=True
    )
    assert over_share_position > shedding_position_of(
        make_call('s', Priority.LOWEST)
    )


def test_overload_sheds_the_least_important_calls_first() -> None:
    """Guards against refusing critical calls while lower ones are admitted."""
    admission_level = AdmissionLevel()
    simulate_overload(admission_level, 2)
    assert (
        Priority.NORMAL * SUBLEVEL_COUNT
        < admission_level.level
        < ADMIT_ALL_LEVEL
    )
    simulate_overload(admission_level, 100)
    assert admission_level.level >= MIN_LEVEL


def test_all_calls_are_admitted_within_seconds_after_an_overload() -> None:
    """Guards against a gate that sheds calls long after an overload."""
    admission_level = AdmissionLevel()
    simulate_overload(admission_level, 100)
    for window in range(50):
        admission_level.close_window(0, 0.1, 100 + window / 10)
    assert admission_level.level == ADMIT_ALL_LEVEL


def test_a_reported_level_rises_with_its_age() -> None:
    """Guards against avoiding a node for ever after it once shed all calls.

    Callers that send nothing to the node get no newer level from it.
    """
    reported_levels = ReportedLevels()
    reported_levels.record('n', MIN_LEVEL, 0)
    call = make_call('r', Priority.NORMAL)
    assert not reported_levels.admits(call, 'n', 0.5)
    assert reported_levels.admits(call, 'n', 3)
    assert reported_levels.admits(call, 'other', 0)
