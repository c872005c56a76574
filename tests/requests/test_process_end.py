"""Which requests a process that stops may begin."""

from plantaingrade.requests.process_end import NEXT_PROCESS_S, ProcessEnd

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


def test_refusal_names_the_time_after_the_end() -> None:
    end = make_end()
    assert end.retry_after_s(3.5) == 2.0 + NEXT_PROCESS_S
    assert end.retry_after_s(6.0) == NEXT_PROCESS_S
