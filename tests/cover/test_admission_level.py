"""Levels refuse the least important calls first, and open again."""

from ebonycleat.internal.process.admission_level import (
    MIN_LEVEL,
    ADMIT_ALL_LEVEL,
    SUBLEVEL_COUNT,
    AdmissionLevel,
    ReportedLevels,
    shedding_position_of,
)
from ebonycleat.internal.request.call import Priority
from tests.cover.call_builders import make_call


def overload(level: AdmissionLevel, windows: int) -> None:
    """Let 20 calls of each priority arrive per window and none start."""
    for window in range(windows):
        for number in range(100):
            call = make_call(str(number), Priority(number % 5))
            if shedding_position_of(call) < level.level:
                level.count_admitted(shedding_position_of(call))
        level.close_window(1, 0.1, window / 5)


def test_one_root_has_the_same_position_at_every_hop() -> None:
    """Guards against hops under overload refusing different roots."""
    assert shedding_position_of(make_call('r')) == shedding_position_of(
        make_call('r', depth=9)
    )
    surplus = shedding_position_of(
        make_call('r', Priority.HIGH), is_over_share=True
    )
    assert surplus > shedding_position_of(make_call('s', Priority.LOWEST))


def test_overload_refuses_from_the_least_important_up() -> None:
    """Guards against refusing critical calls while low ones are admitted."""
    level = AdmissionLevel()
    overload(level, 2)
    assert Priority.NORMAL * SUBLEVEL_COUNT < level.level < ADMIT_ALL_LEVEL
    overload(level, 100)
    assert level.level >= MIN_LEVEL


def test_level_opens_within_seconds_after_overload() -> None:
    """Guards against overload that outlasts its cause."""
    level = AdmissionLevel()
    overload(level, 100)
    for window in range(50):
        level.close_window(0, 0.1, 100 + window / 10)
    assert level.level == ADMIT_ALL_LEVEL


def test_heard_level_rises_with_its_age() -> None:
    """Guards against never calling again a node that was once closed."""
    heard = ReportedLevels()
    heard.record('n', MIN_LEVEL, 0)
    call = make_call('r', Priority.NORMAL)
    assert not heard.admits(call, 'n', 0.5)
    assert heard.admits(call, 'n', 3)
    assert heard.admits(call, 'other', 0)
