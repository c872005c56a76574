"""Checks of the soak for named limits and for servers that tell leaving."""

from soak.callers import RequestRecord
from soak.notices import count_after_leaving, count_over_limit
from soak.verdict import Pause, Run
from standins.notices import Told

INSTANCE = 'i-1-1'


def run(name: str, at: float) -> Run:
    return Run(name, 7, INSTANCE, 'cases', at, at + 0.1, 1)


def told(at: float, limit: str = '', *, is_leaving: bool = False) -> Told:
    return Told(INSTANCE, 1, limit, is_leaving, at)


def record(name: str, sent_at: float) -> RequestRecord:
    return RequestRecord(name, '/read/1', 7, 3, sent_at, sent_at + 0.2, 200)


def test_requests_beyond_the_limit_are_found() -> None:
    limited = [told(10, '2'), told(20, '')]
    kept = [run(f'r{number}', 11 + number / 6) for number in range(17)]
    assert not count_over_limit(kept, limited)
    assert count_over_limit([*kept, run('more', 12.0)], limited)


def test_requests_before_the_limit_was_learned_are_tolerated() -> None:
    early = [run(f'r{number}', 10.1) for number in range(50)]
    assert not count_over_limit(early, [told(10, '2')])
    assert not count_over_limit(early, [told(9, 'nan'), told(9.5, '')])


def test_request_after_the_drain_is_found_unless_its_process_restarted() -> (
    None
):
    leaving = [told(10, is_leaving=True)]
    records = [record('first', 10), record('late', 12.5)]
    runs = [run('first', 10), run('late', 12.5)]
    assert count_after_leaving(records, runs, leaving, []) == 1
    assert not count_after_leaving(records, runs, leaving, [Pause(3, 11, 12)])
    assert count_after_leaving(records, runs, leaving, [Pause(2, 11, 12)]) == 1
    assert not count_after_leaving(records[:1], runs[:1], leaving, [])
