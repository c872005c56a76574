"""Compare the responses to callers with the executions on servers."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import quantiles

from demo.callers import RequestRecord
from demo.topology import Deployment

SAFE = 'GET'
PERCENTILES = 100


@dataclass(slots=True)
class Execution:
    """One execution of a request, as a backend server recorded it."""

    request_id: str
    method: str
    key: str
    slice_id: str
    fence: int
    server: str
    started_at: float
    ended_at: float = float('inf')
    ending: str = 'none'


@dataclass(slots=True)
class Verdict:
    """Counts and measures of one run; the guarantees must hold."""

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    two_owners: int = 0
    ran_twice: int = 0
    not_run_but_ran: int = 0
    cut_off_by_drain: int = 0
    unavailable_key_seconds: float = 0.0
    longest_key_gap_s: float = 0.0
    imbalance: float = 0.0
    churn: float = 0.0
    direct_share: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0

    def violated_guarantees(self) -> list[str]:
        """Return the names of the guarantees that were violated."""
        zero = (
            'wrong_answers',
            'two_owners',
            'ran_twice',
            'not_run_but_ran',
            'cut_off_by_drain',
        )
        violated = [name for name in zero if getattr(self, name)]
        if self.longest_key_gap_s > 2:
            violated.append('longest_key_gap_s')
        return violated


def read_runs(folder: Path) -> list[Execution]:
    """Return the recorded executions in order of their start."""
    runs: dict[tuple[str, str, int], Execution] = {}
    count: Counter[tuple[str, str]] = Counter()
    for path in sorted(folder.glob('*.jsonl')):
        for line in path.read_text().splitlines():
            fields = json.loads(line)
            location = (fields['server'], fields['id'])
            if fields['event'] == 'start':
                count[location] += 1
                runs[*location, count[location]] = Execution(
                    fields['id'],
                    fields['method'],
                    fields['key'],
                    fields['slice'],
                    fields['fence'],
                    fields['server'],
                    fields['at'],
                )
            else:
                run = runs[*location, count[location]]
                run.ended_at = fields['at']
                run.ending = fields['event']
    return sorted(runs.values(), key=lambda run: run.started_at)


def count_two_owners(runs: list[Execution], killed_at: dict[str, float]) -> int:
    """Count writes to one key that ran while another server owned it.

    Either two servers executed writes to the key at the same time, or a write
    with an older fence started after one with a newer fence.
    """
    found = 0
    runs_by_key: dict[str, list[Execution]] = defaultdict(list)
    for run in runs:
        if run.key and run.method != SAFE:
            runs_by_key[run.slice_id.split('/')[0] + run.key].append(run)
    for same_key in runs_by_key.values():
        newest = 0
        busy: dict[str, float] = {}
        for run in same_key:
            found += run.fence < newest
            newest = max(newest, run.fence)
            found += any(
                until > run.started_at
                for server, until in busy.items()
                if server != run.server
            )
            until = min(run.ended_at, killed_at.get(run.server, run.ended_at))
            busy[run.server] = max(busy.get(run.server, 0.0), until)
    return found


def count_ran_twice(runs: list[Execution]) -> int:
    """Count non-idempotent requests with more than one execution."""
    count = Counter(run.request_id for run in runs if run.method == 'POST')
    return sum(each > 1 for each in count.values())


def count_cut_off(
    drains: list[tuple[str, str, float, float]],
    runs: list[Execution],
    records: list[RequestRecord],
) -> int:
    """Count requests that a drain interrupted, as seen from both sides.

    A drain consists of the name of the server, the address of its process, and
    the start and end time.
    """
    found = 0
    for name, address, started_at, ended in drains:
        found += sum(
            run.server == name
            and run.ended_at >= started_at
            and run.ending != 'end'
            for run in runs
        )
        found += sum(
            each.contacted == address
            and each.outcome == 'unknown'
            and started_at <= each.done_at
            and each.sent_at <= ended
            for each in records
        )
    return found


def key_gaps(
    records: list[RequestRecord], until: float
) -> dict[str, list[float]]:
    """Return the gaps of each probed key, in seconds.

    A gap lasts from the end of the last answer before a failure to the end of
    the first answer after it, so it is never shorter than the outage.
    """
    by_key: dict[str, list[RequestRecord]] = defaultdict(list)
    for each in sorted(records, key=lambda one: one.done_at):
        if each.probe:
            by_key[f'{each.service}/{each.key}'].append(each)
    return {
        key: gaps
        for key, probes in by_key.items()
        if (gaps := _gaps_of(probes, until))
    }


def _gaps_of(probes: list[RequestRecord], until: float) -> list[float]:
    gaps = []
    last_good = probes[0].sent_at
    failed = False
    for probe in probes:
        if probe.outcome != 'answered':
            failed = True
            continue
        if failed:
            gaps.append(probe.done_at - last_good)
        failed = False
        last_good = probe.done_at
    return [*gaps, until - last_good] if failed else gaps


def imbalance(
    deployment: Deployment,
    runs: list[Execution],
    window: tuple[float, float],
) -> float:
    """Return the maximum over mean load per slot of the worst service."""
    worst = 0.0
    for service in deployment.services:
        servers = [
            each for each in deployment.servers if each.service == service.name
        ]
        count = Counter(
            run.server
            for run in runs
            if window[0] <= run.started_at < window[1]
        )
        loads = [count[each.name] / each.slots for each in servers]
        if sum(loads):
            worst = max(worst, max(loads) * len(loads) / sum(loads))
    return worst


def percentiles(records: list[RequestRecord]) -> tuple[float, float]:
    """Return median and 99th percentile of the latency in ms."""
    durations = [
        (each.done_at - each.sent_at) * 1000
        for each in records
        if each.outcome == 'answered'
    ]
    cuts = quantiles(durations, n=PERCENTILES)
    return cuts[PERCENTILES // 2 - 1], cuts[-1]
