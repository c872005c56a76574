"""Checks what servers named in their answers against their later runs. Pure."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from itertools import pairwise

from soak.callers import STATUS_OK, RequestRecord
from soak.verdict import Pause, Run
from standins.incarnation import Incarnation
from standins.notices import WINDOW_S, Told, tolerated

# Time from an answer that names a limit until it binds.
LEARNED_S = 0.5
# Time from an answer that says that a server leaves until it binds.
DRAIN_S = 2.0
FOREVER = float('inf')


def count_over_limit(runs: Iterable[Run], told: Iterable[Told]) -> int:
    """Count windows in which a server ran more than its limit tolerates."""
    began_by_incarnation: dict[Incarnation, list[float]] = defaultdict(list)
    for run in runs:
        began_by_incarnation[run.incarnation].append(run.began)
    told_by_incarnation = _group(told)
    return sum(
        _count_over(sorted(began_by_incarnation[incarnation]), entries)
        for incarnation, entries in told_by_incarnation.items()
    )


def _count_over(began: Sequence[float], told: Sequence[Told]) -> int:
    """Count the windows of one incarnation, in which one limit holds."""
    over = 0
    for entry, ends in _with_ends(told):
        if not _is_limit(entry.limit):
            continue
        held = [at for at in began if entry.at + LEARNED_S <= at < ends]
        bound = tolerated(float(entry.limit))
        for first, at in enumerate(held):
            inside = sum(other < at + WINDOW_S for other in held[first:])
            over += inside > bound
    return over


def count_after_leaving(
    records: Iterable[RequestRecord],
    runs: Iterable[Run],
    told: Iterable[Told],
    excuses: Sequence[Pause],
) -> int:
    """Count requests sent long after their instance was told of leaving.

    An instance is told by the first answer that it passes on. ``excuses`` are
    the restarts and pauses of its process.
    """
    record_by_id = {record.request_id: record for record in records}
    left_at = {
        Incarnation(entry.instance, entry.born_ms): entry.at
        for entry in told
        if entry.is_leaving
    }
    told_at: dict[tuple[Incarnation, int], float] = {}
    found = 0
    for run in sorted(runs, key=lambda each: each.ended):
        record = record_by_id.get(run.request_id)
        is_told = run.ended >= left_at.get(run.incarnation, FOREVER)
        if record is None or not is_told:
            continue
        name = (run.incarnation, record.spot)
        if record.status == STATUS_OK:
            told_at.setdefault(name, record.done_at)
        since = told_at.get(name, FOREVER)
        found += _is_after(record, since) and not _is_excused(
            record, since, excuses
        )
    return found


def _is_after(record: RequestRecord, since: float) -> bool:
    return record.sent_at > since + DRAIN_S


def _is_excused(
    record: RequestRecord, since: float, excuses: Sequence[Pause]
) -> bool:
    """Return whether the process of a request was disturbed since a time."""
    return any(
        each.spot == record.spot
        and each.ended > since
        and each.began < record.done_at
        for each in excuses
    )


def _group(told: Iterable[Told]) -> dict[Incarnation, list[Told]]:
    grouped: dict[Incarnation, list[Told]] = defaultdict(list)
    for entry in told:
        grouped[Incarnation(entry.instance, entry.born_ms)].append(entry)
    return grouped


def _with_ends(told: Sequence[Told]) -> list[tuple[Told, float]]:
    """Return each state with the time at which the next one was told."""
    pairs = [(entry, later.at) for entry, later in pairwise(told)]
    return [*pairs, (told[-1], FOREVER)]


def _is_limit(text: str) -> bool:
    return text.replace('.', '', 1).isdecimal()
