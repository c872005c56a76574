"""Tests for the order of the requests of one connection."""

import random

from plantaingrade.http.pipeline import (
    EarlyRequest,
    EarlyTotals,
    Pipeline,
    PipelineLimits,
)

LIMITS = PipelineLimits(max_early=3, max_held_bytes=100, max_total=5)


def make(totals: EarlyTotals | None = None) -> Pipeline:
    """Return the pipeline of a connection with a current request."""
    pipeline = Pipeline(LIMITS, totals or EarlyTotals())
    assert pipeline.start_turn() is None
    return pipeline


def begin(pipeline: Pipeline, count: int = 1) -> list[EarlyRequest]:
    """Begin idempotent requests behind an idempotent one."""
    begun = []
    for _ in range(count):
        assert may_begin(pipeline)
        begun.append(EarlyRequest())
        pipeline.begin(begun[-1])
    return begun


def may_begin(pipeline: Pipeline, current: str = 'i', further: str = 'i'):
    return pipeline.may_begin(
        is_current_idempotent=current == 'i', is_idempotent=further == 'i'
    )


def test_request_that_runs_once_neither_begins_early_nor_is_passed() -> None:
    """It would run twice if the answer before it closes the connection."""
    pipeline = make()
    assert may_begin(pipeline)
    assert not may_begin(pipeline, further='once')
    assert not may_begin(pipeline, current='once')
    begin(pipeline)
    assert not may_begin(pipeline, further='once')


def test_early_requests_get_their_turns_in_order() -> None:
    pipeline = make()
    early = begin(pipeline, 3)
    assert [pipeline.start_turn() for _ in range(4)] == [*early, None]


def test_early_requests_are_bounded_by_count() -> None:
    pipeline = make()
    begin(pipeline, 3)
    assert not may_begin(pipeline)
    pipeline.start_turn()
    assert may_begin(pipeline)


def test_nothing_begins_while_too_many_bytes_of_answers_are_kept() -> None:
    """A large answer behind a slow one must not be joined by many others."""
    pipeline = make()
    first, second = begin(pipeline, 2)
    assert pipeline.keep_answer(second, 100)
    assert not may_begin(pipeline)
    assert pipeline.start_turn() is first
    assert not may_begin(pipeline)
    assert pipeline.start_turn() is second
    assert may_begin(pipeline)


def test_answer_of_the_current_request_is_not_kept() -> None:
    pipeline = make()
    early = begin(pipeline)[0]
    pipeline.start_turn()
    assert not pipeline.keep_answer(early, 100)
    assert not pipeline.held_bytes


def test_connections_share_a_bound() -> None:
    """One caller with many connections must not take the whole process."""
    totals = EarlyTotals()
    one, two = make(totals), make(totals)
    begin(one, 3)
    begin(two, 2)
    assert not may_begin(two)
    one.withdraw()
    assert may_begin(two)


def test_last_early_request_closes_a_draining_connection() -> None:
    """A planned stop must not cut off requests that run already."""
    pipeline = make()
    begin(pipeline, 2)
    assert not pipeline.is_last_turn(is_draining=True)
    pipeline.start_turn()
    assert not pipeline.is_last_turn(is_draining=True)
    pipeline.start_turn()
    assert pipeline.is_last_turn(is_draining=True)
    assert not pipeline.is_last_turn(is_draining=False)


def test_nothing_begins_once_closed() -> None:
    pipeline = make()
    pipeline.close()
    assert not may_begin(pipeline)


def test_request_is_withdrawn_with_those_behind_it() -> None:
    """A route changes after its request was chosen; order must be kept."""
    pipeline = make()
    first, second, third = begin(pipeline, 3)
    assert pipeline.withdraw(second) == [third, second]
    assert pipeline.start_turn() is first
    last = begin(pipeline)[0]
    assert pipeline.withdraw(first) == [last]


def test_totals_return_to_zero_whatever_happens() -> None:
    """Counts that leak would end reading ahead for the whole process."""
    chooser = random.Random(7)
    totals = EarlyTotals()
    pipelines = [make(totals) for _ in range(3)]
    running: list[tuple[Pipeline, EarlyRequest]] = []
    for _ in range(2000):
        pipeline = chooser.choice(pipelines)
        match chooser.randrange(4):
            case 0 if may_begin(pipeline):
                running.append((pipeline, *begin(pipeline)))
            case 1:
                pipeline.start_turn()
            case 2 if running:
                owner, early = running.pop(chooser.randrange(len(running)))
                owner.keep_answer(early, chooser.randrange(150))
            case 3 if not chooser.randrange(5):
                pipeline.withdraw()
        assert totals.requests == sum(each.depth for each in pipelines)
        assert totals.held_bytes == sum(each.held_bytes for each in pipelines)
    for each in pipelines:
        each.withdraw()
    assert totals == EarlyTotals()
