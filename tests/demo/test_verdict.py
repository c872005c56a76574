"""Tests that the checks of the demo detect violations."""

from demo.callers import RequestRecord
from demo.verdict import (
    Execution,
    Verdict,
    count_cut_off,
    count_ran_twice,
    count_two_owners,
    key_gaps,
)


def _execution(
    server: str, started_at: float, ended_at: float, fence: int = 1
) -> Execution:
    return Execution(
        request_id=f'{server}-{started_at}',
        method='POST',
        key='4711',
        slice_id='casebook/1',
        fence=fence,
        server=server,
        started_at=started_at,
        ended_at=ended_at,
        ending='end',
    )


def _record(at: float, outcome: str) -> RequestRecord:
    return RequestRecord(
        request_id=str(at),
        service='casebook',
        key='4711',
        slice_id='casebook/1',
        method='POST',
        request_class='default',
        sent_at=at,
        done_at=at + 0.1,
        outcome=outcome,
        contacted='x',
        probe=True,
    )


def test_concurrent_executions_on_two_servers_are_found() -> None:
    """Two servers execute writes to one key at the same time."""
    assert (
        count_two_owners([_execution('a', 0, 2), _execution('b', 1, 3, 2)], {})
        == 1
    )
    assert (
        count_two_owners([_execution('a', 0, 1), _execution('b', 1, 3, 2)], {})
        == 0
    )


def test_executions_end_when_their_server_is_killed() -> None:
    """A killed server does not record the end of its executions."""
    runs = [_execution('a', 0, float('inf')), _execution('b', 1, 3, 2)]
    assert count_two_owners(runs, {'a': 0.5}) == 0
    assert count_two_owners(runs, {}) == 1


def test_older_fence_after_newer_is_found() -> None:
    """A former owner executes a write after the new owner has started."""
    runs = [_execution('a', 0, 1, 2), _execution('b', 2, 3, 1)]
    assert count_two_owners(runs, {}) == 1


def test_repeated_execution_of_a_request_is_found() -> None:
    """A non-idempotent request was executed on two servers."""
    first, second = _execution('a', 0, 1), _execution('b', 2, 3, 2)
    second.request_id = first.request_id
    assert count_ran_twice([first, second]) == 1
    assert count_ran_twice([first]) == 0


def test_interrupted_requests_are_found_on_both_sides() -> None:
    """A drained server aborted a request, or its process lost a caller."""
    drain = [('a', 'x', 1.0, 3.0)]
    interrupted = _execution('a', 0.5, 1.5)
    interrupted.ending = 'stopped'
    assert count_cut_off(drain, [interrupted], []) == 1
    assert count_cut_off(drain, [], [_record(2.0, 'unknown')]) == 1
    assert (
        count_cut_off(drain, [_execution('a', 0.5, 1.5)], [_record(2, 'ok')])
        == 0
    )


def test_gap_lasts_from_answer_to_answer() -> None:
    """A gap must not be reported shorter than the outage."""
    records = [
        _record(0, 'answered'),
        _record(1, 'not-run'),
        _record(2, 'answered'),
    ]
    assert key_gaps(records, 9.0) == {'casebook/4711': [2.0]}
    assert key_gaps(records[:2], 9.0) == {'casebook/4711': [9.0 - 0.1]}
    assert key_gaps(records[:1], 9.0) == {}


def test_long_gap_violates_the_guarantee() -> None:
    """Keys may be unavailable for at most two seconds."""
    assert Verdict(longest_key_gap_s=2.1).violated_guarantees()
    assert Verdict(two_owners=1).violated_guarantees() == ['two_owners']
    assert not Verdict(longest_key_gap_s=1.9).violated_guarantees()
