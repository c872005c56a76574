"""Which requests a process that stops may begin."""

import pytest

from plantaingrade.requests.entity import CallerRequest, RoutedRequest
from plantaingrade.requests.process_end import NEXT_PROCESS_S, ProcessEnd
from plantaingrade.requests.recent_durations import (
    MAX_SAMPLES,
    RecentDurations,
)

BEGINS_UNTIL = 2.3
ENDS_AT = 5.5


def make_end() -> ProcessEnd:
    end = ProcessEnd()
    end.plan(BEGINS_UNTIL, ENDS_AT)
    return end


def test_process_that_does_not_stop_begins_everything() -> None:
    assert ProcessEnd().may_begin(1e9, 1e8)


def test_late_work_begins_only_if_its_limit_is_before_the_end() -> None:
    """Guards against work of unknown length that the end breaks off."""
    end = make_end()
    assert end.may_begin(10.0, 2.2)
    assert not end.may_begin(10.0, 2.3)
    assert end.may_begin(5.5, 5.0)
    assert not end.may_begin(5.6, 5.0)


def test_refusal_names_the_time_after_the_transfers_or_the_end() -> None:
    end = make_end()
    assert end.retry_after_s(1.3) == pytest.approx(1.0)
    assert end.retry_after_s(3.5) == 2.0 + NEXT_PROCESS_S
    assert end.retry_after_s(6.0) == NEXT_PROCESS_S


@pytest.mark.parametrize('is_idempotent', [False, True])
def test_long_work_that_must_not_be_repeated_begins_early_or_not_at_all(
    is_idempotent,
) -> None:
    """Guards against long work broken off at the end of a calm shutdown."""
    caller = CallerRequest(b'', b'', b'', b'', None, (), b'', 0.0, 10.0)
    routed = RoutedRequest(caller, '', '', is_idempotent, 1, 10.0, 1.0)
    end = make_end()
    assert end.has_time_for(routed, 3.6, 1.8)
    assert end.has_time_for(routed, 3.6, 2.0) == is_idempotent


def test_longest_of_the_last_durations_is_known() -> None:
    recent = RecentDurations()
    assert not recent.longest_s('k')
    recent.observe('k', 3)
    for _ in range(MAX_SAMPLES - 1):
        recent.observe('k', 1)
    assert recent.longest_s('k') == 3
    recent.observe('k', 1)
    assert recent.longest_s('k') == 1
