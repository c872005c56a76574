"""Break each guard in a scratch copy, and see its tests go red.

Run by ``make guards``. A guard whose removal no test notices is reported and
makes the run fail.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 600
COPIED = ('plantaingrade', 'standins', 'demo', 'tests', 'bench')


@dataclass(frozen=True)
class Guard:
    """One guard, how to break it, and the tests that must notice."""

    name: str
    path: str
    intact: str
    broken: str
    tests: str


GUARDS = (
    Guard(
        'a witness keeps its promise',
        'plantaingrade/leases/witness.py',
        'if lease in self._ended:',
        'if False:',
        'tests/ownership',
    ),
    Guard(
        'only the named incarnation testifies',
        'plantaingrade/leases/polls.py',
        'if not named or testimony.epoch != poll.epoch:',
        'if False:',
        'tests/leases',
    ),
    Guard(
        'a majority must testify',
        'plantaingrade/leases/polls.py',
        'if len(poll.testified) < majority(len(poll.witnesses)):',
        'if False:',
        'tests/leases',
    ),
    Guard(
        'a holder counts from before it sent',
        'plantaingrade/leases/holder.py',
        'return acked[majority(len(witnesses)) - 1] + LEASE_S',
        'return acked[0] + LEASE_S',
        'tests/ownership tests/leases',
    ),
    Guard(
        'the lease is checked at each request',
        'plantaingrade/ownership/coordinator.py',
        'if until <= self._clock.now():',
        'if False:',
        'tests/ownership',
    ),
    Guard(
        'old witnesses are needed until successors agree',
        'plantaingrade/leases/coordinator.py',
        'if not waiting:',
        'if True:',
        'tests/ownership tests/leases',
    ),
    Guard(
        'no agreement to a new epoch once proven',
        'plantaingrade/leases/polls.py',
        'if poll.proven_at is not None:\n            return False\n'
        '        if poll.epoch < epoch:',
        'if poll.epoch < epoch:',
        'tests/ownership tests/leases',
    ),
    Guard(
        'what was renounced is not taken',
        'plantaingrade/ownership/table.py',
        'if part.successor != self.member or naming in self._renounced:',
        'if part.successor != self.member:',
        'tests/ownership',
    ),
    Guard(
        'a renunciation is of one naming',
        'plantaingrade/journal/slice_rules.py',
        'if slice_row.successor_fence != change.fence:\n        return STALE\n'
        '    wanted',
        'wanted',
        'tests/ownership/test_table.py',
    ),
    Guard(
        'a hot key follows its released range',
        'plantaingrade/ownership/table.py',
        'return self._released.get(parent) == part.fence',
        'return False',
        'tests/ownership',
    ),
    Guard(
        'an unchecking server is given time',
        'plantaingrade/ownership/coordinator.py',
        'return DRIFT_WAIT_S + service.unfenced_grace_ms / MS_PER_S',
        'return DRIFT_WAIT_S',
        'tests/ownership',
    ),
    Guard(
        'a release waits for lost work',
        'plantaingrade/ownership/in_flight.py',
        'return until is None and slice_id not in self._in_flight',
        'return slice_id not in self._in_flight',
        'tests/ownership',
    ),
    Guard(
        'a restart proves an end only at the same address',
        'plantaingrade/journal/rules.py',
        'if any(other.http != row.http for other in earlier):',
        'if False:',
        'tests/journal',
    ),
    Guard(
        'the later of two conflicting commands loses',
        'plantaingrade/journal/rules.py',
        'newer = known.generation > change.based_on',
        'newer = False',
        'tests/journal',
    ),
    Guard(
        'a lost answer is read back',
        'plantaingrade/journal/coordinator.py',
        'stored = await self._table.async_get(row.partition, row.sort)',
        'stored = None',
        'tests/journal',
    ),
    Guard(
        'an older declaration is not put back',
        'plantaingrade/journal/rules.py',
        'if change.based_on != state.declaration_generation:',
        'if False:',
        'tests/journal',
    ),
    Guard(
        'unknown outcomes of other than idempotent work are final',
        'plantaingrade/routing/retry.py',
        'may_repeat = request.is_idempotent and not request.hop',
        'may_repeat = True',
        'tests/routing',
    ),
    Guard(
        'an answer belongs to its request',
        'plantaingrade/routing/attempt.py',
        'if echoed != request.request_id:',
        'if False:',
        'tests/routing',
    ),
    Guard(
        'a broken answer does not look whole',
        'plantaingrade/http/channel.py',
        'self._broken = exc is not None and not self.closed',
        'self._broken = False',
        'tests/http',
    ),
    Guard(
        'an idle connection is not trusted',
        'plantaingrade/http/pool.py',
        'if fresh or channel.closed or age > MAX_IDLE_S:',
        'if fresh or channel.closed:',
        'tests/http',
    ),
    Guard(
        'work carries a deadline no later than the lease',
        'plantaingrade/routing/local_path.py',
        'return min(request.deadline, owned.until + grace)',
        'return request.deadline',
        'tests/routing',
    ),
    Guard(
        'a returning server must be ready twice',
        'plantaingrade/backends/coordinator.py',
        'if self.state is BackendState.DOWN and self._streak < READY_STREAK:',
        'if False:',
        'tests/backends',
    ),
    Guard(
        'retries have a budget',
        'plantaingrade/admission/budget.py',
        'if self._tokens < 1:',
        'if False:',
        'tests/admission',
    ),
    Guard(
        'a full queue refuses at once',
        'plantaingrade/admission/queue.py',
        'if len(self) >= self.slots * MAX_QUEUED_PER_SLOT:',
        'if False:',
        'tests/admission',
    ),
    Guard(
        'a fence stands in one session',
        'plantaingrade/holds/fences.py',
        'return self._session_by_fence.get(fence, session) == session',
        'return True',
        'tests/holds',
    ),
    Guard(
        'only the joining change joins a run',
        'plantaingrade/holds/registry.py',
        'if write.is_barrier and not self.is_joined:',
        'if False:',
        'tests/holds',
    ),
    Guard(
        'a connection joins a session only once that is proven',
        'plantaingrade/http/session.py',
        'self._candidates.append((next(self._sequence), channel))',
        'self._add_channel(channel)',
        'tests/http',
    ),
    Guard(
        'an order of an old session is not sent',
        'plantaingrade/http/session.py',
        'if session is None or session.number != number:',
        'if session is None:',
        'tests/http',
    ),
    Guard(
        'a witness gives up nothing that it promised',
        'plantaingrade/holds/promises.py',
        'if record is None or record.promised_to >= request.number:',
        'if record is None:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'a witness promises nothing that it gave up',
        'plantaingrade/holds/promises.py',
        'if record is None or record.expired_to >= request.first:',
        'if record is None:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'another run of a witness says nothing',
        'plantaingrade/holds/promises.py',
        'if witness_boot != self.boot:',
        'if False:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'a write that may stand bounds the lease',
        'plantaingrade/holds/term.py',
        'return min(self._end_of(each) for each in sent)',
        'return self._end_of(self._applied)',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'no keys are released while the store is away',
        'plantaingrade/holds/transfer.py',
        'if not self._registry.is_store_answering:',
        'if False:',
        'tests/holds/test_store_outage.py',
    ),
    Guard(
        'brief calls count on the next free slot',
        'plantaingrade/admission/slots.py',
        'return work_s <= MAX_BRIEF_FRACTION * self.estimate.longest_s()',
        'return False',
        'tests/admission/test_short_calls.py',
    ),
    Guard(
        'waits are short while the store is in doubt',
        'plantaingrade/config/coordinator.py',
        'if self._last_wait_failed:',
        'if False:',
        'tests/config',
    ),
    Guard(
        'leases of an earlier epoch are waited out',
        'plantaingrade/holds/plans.py',
        'if not registry.epochs.are_earlier_leases_over():\n        return []',
        'if False:\n        return []',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'a new run waits in a new epoch',
        'plantaingrade/holds/epochs.py',
        'return name in self._rows.by_name or self.are_earlier_leases_over()',
        'return True',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'a new run grants under no fence of an earlier epoch',
        'plantaingrade/holds/epochs.py',
        'return self._joined_epoch * FENCES_PER_EPOCH',
        'return 0',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'fences of an epoch are above those of lost maps',
        'plantaingrade/keyspace/assign.py',
        'max(key_map.fence + 1, epoch * FENCES_PER_EPOCH + FIRST_FENCE)',
        'key_map.fence + 1',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'what may have been given away in a lost epoch rests',
        'plantaingrade/holds/registry.py',
        'if transferred:\n            fence',
        'if False:\n            fence',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'what is known of lost seconds is kept',
        'plantaingrade/keyspace/directory.py',
        'if matches_store and key_map.epoch == known.epoch:',
        'if True:',
        'tests/holds/test_store_restore.py tests/keyspace',
    ),
    Guard(
        'a change made from lost rows does not count',
        'plantaingrade/platform/store.py',
        'if transaction.epoch < self.epochs.newest:\n'
        '            return EpochEnded(self.epochs.newest)\n        try:',
        'try:',
        'tests/platform/test_store.py',
    ),
)


def goes_red(guard: Guard) -> bool:
    """Break one guard in a copy; tell whether its tests fail."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            if (ROOT / name).exists():
                shutil.copytree(ROOT / name, copy / name)
        shutil.copy(ROOT / 'pyproject.toml', copy)
        path = copy / guard.path
        source = path.read_text()
        if source.count(guard.intact) != 1:
            print(f'NOT FOUND {guard.name}')
            return False
        path.write_text(source.replace(guard.intact, guard.broken))
        return _run_tests(copy, guard.tests) == 1


def _run_tests(copy: Path, tests: str) -> int | None:
    """Return pytest's exit code, or nothing if it hangs: that is not red."""
    command = [sys.executable, '-m', 'pytest', '-q', '-x']
    command.extend(('-p', 'no:cacheprovider', *tests.split()))
    try:
        return subprocess.run(
            command,
            cwd=copy,
            env={'PYTHONPATH': str(copy), 'PATH': '/usr/bin:/bin'},
            capture_output=True,
            check=False,
            timeout=LIMIT_S,
        ).returncode
    except subprocess.TimeoutExpired:
        return None


def main() -> int:
    """Break every guard; return 1 if any removal goes unnoticed."""
    unnoticed = 0
    wanted = sys.argv[1:]
    for guard in GUARDS:
        if wanted and not any(word in guard.name for word in wanted):
            continue
        red = goes_red(guard)
        unnoticed += not red
        print(f'{"red" if red else "UNNOTICED":9} {guard.name}', flush=True)
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
