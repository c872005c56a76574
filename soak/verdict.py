"""Compare what callers were told with what servers ran. Pure."""

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from soak.callers import STATUS_OK, Told
from soak.cluster import KEYED, instance_number
from standins.fences import Taken, find_stale_acquisitions
from standins.incarnation import Incarnation

# Runs of one key at two servers may touch, by the reading of two clocks.
TOUCH_S = 0.001
# A final answer comes at most this long after the deadline.
LATE_S = 0.5
DEADLINE_S = 1.5
# What a paused server finds waiting it takes up within this time of its thaw.
THAW_S = 0.5
EVENT_TAKEN = 'taken'
UNKNOWN = frozenset((502, 504))


@dataclass(slots=True)
class Run:
    """One run of a request at a server; its end may be unknown."""

    request_id: str
    key: int
    instance: str
    service: str
    began: float
    ended: float
    born_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the life that ran it; an id may have had several."""
        return Incarnation(self.instance, self.born_ms)


@dataclass(slots=True, frozen=True)
class Pause:
    """Time in which an instance's process, or its server, did nothing."""

    spot: int
    began: float
    ended: float
    is_server: bool = False


@dataclass(slots=True)
class Verdict:
    """Counts of one run; those of broken promises must be zero."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    unknown: int = 0
    no_answer: int = 0
    wrong_answers: int = 0
    ran_twice: int = 0
    not_run_but_ran: int = 0
    two_owners: int = 0
    old_fences: int = 0
    wrong_service: int = 0
    answered_late: int = 0
    unserved_at_end: int = 0
    ended_by_itself: int = 0

    def broken(self) -> list[str]:
        """Return the names of the promises that were broken."""
        counts = asdict(self)
        promises = list(counts)[list(counts).index('wrong_answers') :]
        return [name for name in promises if counts[name]]


def read_runs(path: Path) -> list[Run]:
    """Return the runs that servers noted."""
    run_by_name: dict[tuple[str, Incarnation, float], Run] = {}
    for fields in _read_lines(path):
        if fields['event'] == EVENT_TAKEN:
            continue
        incarnation = Incarnation(fields['instance'], fields['born_ms'])
        name = (fields['request_id'], incarnation, fields['began'])
        if fields['event'] == 'begin':
            run_by_name[name] = Run(
                fields['request_id'],
                fields['key'],
                fields['instance'],
                fields['service'],
                fields['began'],
                # A server that was killed has ended its work with its life.
                fields['began'],
                incarnation.started_at_ms,
            )
        else:
            run_by_name[name].ended = fields['ended']
    return list(run_by_name.values())


def read_taken(path: Path) -> list[Taken]:
    """Return the keys that servers noted that they took."""
    return [
        Taken(**{name: fields[name] for name in fields if name != 'event'})
        for fields in _read_lines(path)
        if fields['event'] == EVENT_TAKEN
    ]


def _read_lines(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def judge(
    told: list[Told],
    runs: list[Run],
    pauses: list[Pause],
    taken: Sequence[Taken] = (),
) -> Verdict:
    """Count what was told and what was broken."""
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    verdict = Verdict(requests=len(told))
    for each in told:
        _count(verdict, each, runs_by_id[each.request_id])
    verdict.answered_late = sum(_is_late(each, pauses) for each in told)
    verdict.two_owners = count_two_owners(runs)
    verdict.old_fences = sum(
        not _was_thawed(each, pauses) for each in find_stale_acquisitions(taken)
    )
    return verdict


def _count(verdict: Verdict, told: Told, runs: list[Run]) -> None:
    verdict.served += told.status == STATUS_OK
    verdict.refused += told.promises_not_run
    verdict.unknown += told.status in UNKNOWN
    verdict.no_answer += told.status == 0
    verdict.wrong_answers += not told.is_own or (
        told.status == STATUS_OK and not runs
    )
    verdict.ran_twice += told.is_once and len(runs) > 1
    verdict.not_run_but_ran += told.promises_not_run and bool(runs)
    is_letter = told.path.startswith('/letters')
    verdict.wrong_service += any(
        (run.service == KEYED) == is_letter for run in runs
    )


def _is_late(told: Told, pauses: list[Pause]) -> bool:
    """Tell whether a final answer came late from a process that could act."""
    if not told.status or told.done_at - told.sent_at <= DEADLINE_S + LATE_S:
        return False
    return not any(
        not pause.is_server
        and pause.spot == told.spot
        and pause.began < told.done_at
        and told.sent_at < pause.ended
        for pause in pauses
    )


def _was_thawed(taken: Taken, pauses: list[Pause]) -> bool:
    """Tell whether a server took keys as it went on after a pause.

    It then takes what was sent while it could do nothing.
    """
    return any(
        pause.is_server
        and pause.spot == instance_number(taken.instance)
        and pause.began <= taken.taken_at <= pause.ended + THAW_S
        for pause in pauses
    )


def count_two_owners(runs: list[Run]) -> int:
    """Count runs on a key that overlap with one of another life."""
    runs_by_key: dict[int, list[Run]] = defaultdict(list)
    for run in runs:
        if run.service == KEYED:
            runs_by_key[run.key].append(run)
    found = 0
    for on_key in runs_by_key.values():
        on_key.sort(key=lambda run: run.began)
        latest = on_key[0]
        for run in on_key[1:]:
            overlaps = run.began + TOUCH_S < latest.ended
            found += overlaps and run.incarnation != latest.incarnation
            if run.ended > latest.ended:
                latest = run
    return found
