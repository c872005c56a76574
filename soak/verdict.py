"""Checks the answers to callers against the runs at servers. Pure."""

import json
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from soak.callers import STATUS_OK, RequestRecord
from soak.cluster import KEYED, instance_number
from standins.fences import Acquisition, find_stale_acquisitions
from standins.incarnation import Incarnation
from standins.notices import Told
from tools.unhandled import find_unhandled

# Tolerance for overlaps of runs on a key, as two clocks are read.
OVERLAP_TOLERANCE_S = 0.001
# A final answer may arrive this long after the deadline.
LATE_S = 0.5
DEADLINE_S = 1.5
# A server processes calls received during its pause within this time.
RESUME_S = 0.5
ROUTER_LOGS = 'router-*.log'
EVENT_TAKEN = 'taken'
EVENT_TOLD = 'told'
UNKNOWN_STATUSES = frozenset((502, 504))


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
        """Return the incarnation that ran it; an id may have several."""
        return Incarnation(self.instance, self.born_ms)


@dataclass(slots=True, frozen=True)
class Pause:
    """Time in which an instance's process or server was stopped."""

    spot: int
    began: float
    ended: float
    is_server: bool = False


@dataclass(slots=True)
class Verdict:
    """Counts of one run; from ``wrong_answers`` on, all must be zero."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    unknown: int = 0
    no_answer: int = 0
    config_checks: int = 0
    wrong_answers: int = 0
    ran_twice: int = 0
    not_run_but_ran: int = 0
    two_owners: int = 0
    old_fences: int = 0
    wrong_service: int = 0
    over_limit: int = 0
    after_leaving: int = 0
    answered_late: int = 0
    unserved_at_end: int = 0
    ended_by_itself: int = 0
    unhandled: int = 0
    old_configs: int = 0
    unfelt_faults: int = 0

    def broken(self) -> list[str]:
        """Return the names of the guarantees that were broken."""
        counts = asdict(self)
        guarantees = list(counts)[list(counts).index('wrong_answers') :]
        return [name for name in guarantees if counts[name]]


def count_unhandled(folder: Path) -> int:
    """Return how many exceptions the processes of a run did not handle."""
    return sum(
        len(find_unhandled(path.read_text(errors='replace').splitlines()))
        for path in folder.glob(ROUTER_LOGS)
    )


def read_runs(path: Path) -> list[Run]:
    """Return the runs that servers recorded."""
    run_by_name: dict[tuple[str, Incarnation, float], Run] = {}
    for fields in _read_lines(path):
        if fields['event'] in {EVENT_TAKEN, EVENT_TOLD}:
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
                # The work of a killed server has ended with it.
                fields['began'],
                incarnation.started_at_ms,
            )
        else:
            run_by_name[name].ended = fields['ended']
    return list(run_by_name.values())


def read_acquisitions(path: Path) -> list[Acquisition]:
    """Return the acquisitions of keys that servers recorded."""
    return [Acquisition(**fields) for fields in _read_events(path, EVENT_TAKEN)]


def read_told(path: Path) -> list[Told]:
    """Return what servers named in their answers, in order."""
    return [Told(**fields) for fields in _read_events(path, EVENT_TOLD)]


def _read_events(path: Path, event: str) -> list[dict[str, Any]]:
    """Return the fields of the events of a kind."""
    return [
        {name: fields[name] for name in fields if name != 'event'}
        for fields in _read_lines(path)
        if fields['event'] == event
    ]


def _read_lines(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def judge(
    records: list[RequestRecord],
    runs: list[Run],
    pauses: list[Pause],
    acquisitions: Sequence[Acquisition] = (),
) -> Verdict:
    """Count the answers and the broken guarantees."""
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        runs_by_id[run.request_id].append(run)
    verdict = Verdict(requests=len(records))
    for each in records:
        _count(verdict, each, runs_by_id[each.request_id])
    verdict.answered_late = sum(_is_late(each, pauses) for each in records)
    verdict.two_owners = count_two_owners(runs)
    verdict.old_fences = sum(
        not _was_resumed(each, pauses)
        for each in find_stale_acquisitions(acquisitions)
    )
    return verdict


def _count(verdict: Verdict, record: RequestRecord, runs: list[Run]) -> None:
    verdict.served += record.status == STATUS_OK
    verdict.refused += record.reports_not_run
    verdict.unknown += record.status in UNKNOWN_STATUSES
    verdict.no_answer += record.status == 0
    verdict.wrong_answers += not record.is_own or (
        record.status == STATUS_OK and not runs
    )
    verdict.ran_twice += record.is_unsafe and len(runs) > 1
    verdict.not_run_but_ran += record.reports_not_run and bool(runs)
    is_plain = record.path.startswith(('/letters', '/-/'))
    verdict.wrong_service += any(
        (run.service == KEYED) == is_plain for run in runs
    )


def _is_late(record: RequestRecord, pauses: list[Pause]) -> bool:
    """Return whether an answer was late without a pause of the process."""
    if (
        not record.status
        or record.done_at - record.sent_at <= DEADLINE_S + LATE_S
    ):
        return False
    return not any(
        not pause.is_server
        and pause.spot == record.spot
        and pause.began < record.done_at
        and record.sent_at < pause.ended
        for pause in pauses
    )


def _was_resumed(acquisition: Acquisition, pauses: list[Pause]) -> bool:
    """Return whether a server acquired keys as it resumed after a pause.

    It then processes grants that were sent during the pause.
    """
    return any(
        pause.is_server
        and pause.spot == instance_number(acquisition.instance)
        and pause.began <= acquisition.taken_at <= pause.ended + RESUME_S
        for pause in pauses
    )


def count_two_owners(runs: list[Run]) -> int:
    """Count runs on a key that overlap a run of another incarnation."""
    runs_by_key: dict[int, list[Run]] = defaultdict(list)
    for run in runs:
        if run.service == KEYED:
            runs_by_key[run.key].append(run)
    found = 0
    for runs_on_key in runs_by_key.values():
        runs_on_key.sort(key=lambda run: run.began)
        latest = runs_on_key[0]
        for run in runs_on_key[1:]:
            is_overlapping = run.began + OVERLAP_TOLERANCE_S < latest.ended
            found += is_overlapping and run.incarnation != latest.incarnation
            if run.ended > latest.ended:
                latest = run
    return found
