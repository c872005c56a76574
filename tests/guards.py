"""Check that tests fail when a safety check is removed from the source.

Run by ``make guards``, which breaks each guard in a copy of the source and runs
its tests. The run fails if the tests of a broken guard pass.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
LIMIT_S = 600
COPIED_FOLDERS = (
    'plantaingrade',
    'standins',
    'demo',
    'tests',
    'bench',
    'soak',
    'tools',
)


@dataclass(frozen=True)
class Guard:
    """A safety check, how to break it, and the tests that must fail then."""

    name: str
    path: str
    intact: str
    broken: str
    tests: str


GUARDS = (
    Guard(
        'an odd address keeps no datagram from the others',
        'plantaingrade/datagrams.py',
        'valid = [each for each in addresses if is_ip_address(each)]',
        'valid = list(addresses)',
        'tests/membership/test_datagrams.py',
    ),
    Guard(
        'a process that stops passes on no long work that must not be repeated',
        'plantaingrade/requests/process_end.py',
        'known_s = 0.0 if routed.is_idempotent else longest_s',
        'known_s = 0.0',
        'tests/requests/test_process_end.py tests/sidecar/test_late_work.py',
    ),
    Guard(
        'bytes around a body are bounded like a head',
        'plantaingrade/http/reader.py',
        'if self._overhead > self._max_head_bytes:',
        'if self._in_head and self._overhead > self._max_head_bytes:',
        'tests/http/test_messages.py',
    ),
    Guard(
        'requests that hang beside answered ones make no class seem long',
        'plantaingrade/requests/work_samples.py',
        'return answered_at > progress.began',
        'return False',
        'tests/requests/test_work_samples.py',
    ),
    Guard(
        'an answer whose status HTTP does not know is no answer',
        'plantaingrade/http/reader.py',
        'if not MIN_STATUS <= status <= MAX_STATUS:',
        'if False:',
        'tests/http/test_messages.py tests/sidecar/test_invalid_statuses.py',
    ),
    Guard(
        'a process that stops begins nothing that may outlast it',
        'plantaingrade/requests/process_end.py',
        'return now < self._begins_until or until <= self.ends_at',
        'return True',
        'tests/requests/test_process_end.py tests/sidecar/test_late_work.py',
    ),
    Guard(
        'a request that runs at most once does not begin before its turn',
        'plantaingrade/http/pipeline.py',
        'if self._is_closed or not (is_current_idempotent and is_idempotent):',
        'if self._is_closed:',
        'tests/http/test_pipeline.py tests/http/test_read_ahead.py',
    ),
    Guard(
        'nothing begins behind an answer that closes its connection',
        'plantaingrade/http/read_ahead.py',
        'is_last = channel.is_last_response or self._is_draining()',
        'is_last = False',
        'tests/http/test_read_ahead.py',
    ),
    Guard(
        'a witness does not renew a lease that it reported lapsed',
        'plantaingrade/leases/witness.py',
        'if lease in self._ended:',
        'if False:',
        'tests/ownership',
    ),
    Guard(
        'only witnesses named for an epoch may testify',
        'plantaingrade/leases/polls.py',
        'if not named or testimony.epoch != poll.epoch:',
        'if False:',
        'tests/leases',
    ),
    Guard(
        'a lapse is proven by a majority of witnesses',
        'plantaingrade/leases/polls.py',
        'if len(poll.testified) < majority(len(poll.witnesses)):',
        'if False:',
        'tests/leases',
    ),
    Guard(
        'a lease counts from the send time of the renewal',
        'plantaingrade/leases/holder.py',
        'return acked[majority(len(witnesses)) - 1] + LEASE_S',
        'return acked[0] + LEASE_S',
        'tests/ownership tests/leases',
    ),
    Guard(
        'the lease is checked for each request',
        'plantaingrade/ownership/coordinator.py',
        'if until <= self._clock.now():',
        'if False:',
        'tests/ownership',
    ),
    Guard(
        'old witnesses are used until successors confirm the new epoch',
        'plantaingrade/leases/coordinator.py',
        'if not waiting:',
        'if True:',
        'tests/ownership tests/leases',
    ),
    Guard(
        'no new epoch is confirmed after a lapse is proven',
        'plantaingrade/leases/polls.py',
        'if poll.proven_at is not None:\n            return False\n'
        '        if poll.epoch < epoch:',
        'if poll.epoch < epoch:',
        'tests/ownership tests/leases',
    ),
    Guard(
        'a renounced slice is not acquired',
        'plantaingrade/ownership/table.py',
        'if part.successor != self.member or naming in self._renounced:',
        'if part.successor != self.member:',
        'tests/ownership',
    ),
    Guard(
        'a renunciation applies to one successor fence',
        'plantaingrade/journal/slice_rules.py',
        'if slice_row.successor_fence != change.fence:\n        return STALE\n'
        '    wanted',
        'wanted',
        'tests/ownership/test_table.py',
    ),
    Guard(
        'a hot key is released with its range',
        'plantaingrade/ownership/table.py',
        'return self._released.get(parent) == part.fence',
        'return False',
        'tests/ownership',
    ),
    Guard(
        'takeover waits for servers without fence checks',
        'plantaingrade/ownership/coordinator.py',
        'return DRIFT_WAIT_S + service.unfenced_grace_ms / MS_PER_S',
        'return DRIFT_WAIT_S',
        'tests/ownership',
    ),
    Guard(
        'a release waits for requests with unknown outcome',
        'plantaingrade/ownership/in_flight.py',
        'return until is None and slice_id not in self._in_flight',
        'return slice_id not in self._in_flight',
        'tests/ownership',
    ),
    Guard(
        'a restart ends a member only at the same address',
        'plantaingrade/journal/rules.py',
        'if any(other.http != row.http for other in earlier):',
        'if False:',
        'tests/journal',
    ),
    Guard(
        'the later of two conflicting commands is rejected',
        'plantaingrade/journal/rules.py',
        'newer = known.generation > change.based_on',
        'newer = False',
        'tests/journal',
    ),
    Guard(
        'a write with a lost response is read back',
        'plantaingrade/journal/coordinator.py',
        'stored = await self._table.async_get(row.partition, row.sort)',
        'stored = None',
        'tests/journal',
    ),
    Guard(
        'an older declaration does not replace a newer one',
        'plantaingrade/journal/rules.py',
        'if change.based_on != state.declaration_generation:',
        'if False:',
        'tests/journal',
    ),
    Guard(
        'only idempotent requests are retried after unknown outcomes',
        'plantaingrade/routing/retry.py',
        'may_repeat = request.is_idempotent and not request.hop',
        'may_repeat = True',
        'tests/routing',
    ),
    Guard(
        'a response must match its request',
        'plantaingrade/routing/attempt.py',
        'if echoed != request.request_id:',
        'if False:',
        'tests/routing',
    ),
    Guard(
        'a truncated response is not passed on as complete',
        'plantaingrade/http/channel.py',
        'self._broken = exc is not None and not self.closed',
        'self._broken = False',
        'tests/http',
    ),
    Guard(
        'a connection that was idle too long is not reused',
        'plantaingrade/http/pool.py',
        'if channel.is_reusable() and not fresh and age <= oldest:',
        'if channel.is_reusable() and not fresh:',
        'tests/http',
    ),
    Guard(
        'the deadline of a request is limited by the lease',
        'plantaingrade/routing/local_path.py',
        'return min(request.deadline, owned.until + grace)',
        'return request.deadline',
        'tests/routing',
    ),
    Guard(
        'a recovering server needs repeated ready answers',
        'plantaingrade/backends/coordinator.py',
        'if self.state is BackendState.DOWN and self._streak < READY_STREAK:',
        'if False:',
        'tests/backends',
    ),
    Guard(
        'retries are limited by a budget',
        'plantaingrade/admission/budget.py',
        'if self._tokens < 1:',
        'if False:',
        'tests/admission',
    ),
    Guard(
        'a full queue rejects at once',
        'plantaingrade/admission/queue.py',
        'if len(self) >= self.slots * MAX_QUEUED_PER_SLOT:',
        'if False:',
        'tests/admission',
    ),
    Guard(
        'a fence is valid in one session only',
        'plantaingrade/holds/fences.py',
        'return self._session_by_fence.get(fence, session) == session',
        'return True',
        'tests/holds',
    ),
    Guard(
        'only the barrier write completes a join',
        'plantaingrade/holds/registry.py',
        'if write.is_barrier and not self.is_joined:',
        'if False:',
        'tests/holds',
    ),
    Guard(
        'a connection joins a session only after verification',
        'plantaingrade/http/session.py',
        'self._candidates.append((next(self._sequence), channel))',
        'self._add_channel(channel)',
        'tests/http',
    ),
    Guard(
        'an order for an earlier session is not sent',
        'plantaingrade/http/session.py',
        'if session is None or session.number != number:',
        'if session is None:',
        'tests/http',
    ),
    Guard(
        'a witness does not expire a write that it promised',
        'plantaingrade/holds/promises.py',
        'if record is None or record.promised_to >= request.number:',
        'if record is None:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'a witness does not promise a write that it expired',
        'plantaingrade/holds/promises.py',
        'if record is None or record.expired_to >= request.first:',
        'if record is None:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'requests to an earlier run of a witness are declined',
        'plantaingrade/holds/promises.py',
        'if witness_boot != self.boot:',
        'if False:',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'an unconfirmed write limits the lease',
        'plantaingrade/holds/term.py',
        'return min(self._end_of(each) for each in sent)',
        'return self._end_of(self._applied)',
        'tests/holds/test_promises.py',
    ),
    Guard(
        'no keys are released while the store is unavailable',
        'plantaingrade/holds/transfer.py',
        'not self._registry.availability.is_available',
        'False',
        'tests/holds/test_store_outage.py',
    ),
    Guard(
        'short calls may wait for the next free slot',
        'plantaingrade/admission/slots.py',
        'return work_s <= MAX_BRIEF_FRACTION * self.estimate.longest_s()',
        'return False',
        'tests/admission/test_short_calls.py',
    ),
    Guard(
        'a named limit is kept',
        'plantaingrade/admission/named.py',
        'self._bucket.apply_empty(RateLimit.from_named(per_s), now)',
        'self._bucket.apply(None)',
        'tests/admission/test_named.py',
    ),
    Guard(
        'only a newer answer raises or ends a limit',
        'plantaingrade/backends/limit.py',
        'if not self._is_lower(per_s) and sent_at < self._learned_at:',
        'if False:',
        'tests/backends/test_limit.py',
    ),
    Guard(
        'a server that has not answered yet gets few requests',
        'plantaingrade/admission/named.py',
        'if not self._tracker.is_unknown or running < MAX_UNANSWERED:',
        'if True:',
        'tests/admission/test_named.py',
    ),
    Guard(
        'a server that says that it leaves gets no more work',
        'plantaingrade/sidecar/server_notices.py',
        'self._apply_leaving(answer, may_finish=may_finish)',
        'pass',
        'tests/sidecar/test_told_leaving.py',
    ),
    Guard(
        'a process that has started again is reminded of a leaving server',
        'plantaingrade/sidecar/peer_endpoint.py',
        'if told_leaving is not None:',
        'if False:',
        'tests/sidecar/test_told_leaving.py',
    ),
    Guard(
        'long polls are short after a failed one',
        'plantaingrade/config/coordinator.py',
        'if self._last_wait_failed:',
        'if False:',
        'tests/config',
    ),
    Guard(
        'keys are not reassigned before earlier leases expire',
        'plantaingrade/holds/plans.py',
        'if not registry.epochs.are_earlier_leases_over():\n        return []',
        'if False:\n        return []',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'a new run waits for leases of an earlier epoch',
        'plantaingrade/holds/epochs.py',
        'return name in self._rows.by_name or self.are_earlier_leases_over()',
        'return True',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'a new run grants only with fences of its epoch',
        'plantaingrade/holds/epochs.py',
        'return self._joined_epoch * FENCES_PER_EPOCH',
        'return 0',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'fences of an epoch exceed those of lost maps',
        'plantaingrade/keyspace/assign.py',
        'max(key_map.fence + 1, epoch * FENCES_PER_EPOCH + FIRST_FENCE)',
        'key_map.fence + 1',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'keys that a lost epoch may have transferred stay unserved',
        'plantaingrade/holds/registry.py',
        'if transferred:\n            fence',
        'if False:\n            fence',
        'tests/holds/test_store_restore.py',
    ),
    Guard(
        'a map of another epoch is merged into the known one',
        'plantaingrade/keyspace/directory.py',
        'if matches_store and key_map.epoch == known.epoch:',
        'if True:',
        'tests/holds/test_store_restore.py tests/keyspace',
    ),
    Guard(
        'a transaction based on lost rows is rejected',
        'plantaingrade/platform/store.py',
        'if transaction.epoch < self.epochs.newest:\n'
        '            return EpochEnded(self.epochs.newest)\n        try:',
        'try:',
        'tests/platform/test_store.py',
    ),
    Guard(
        'a request whose sender has left goes no further',
        'plantaingrade/sidecar/endpoints.py',
        'if not channel.is_peer_gone():',
        'if True:',
        'tests/sidecar/test_withdrawn.py',
    ),
    Guard(
        'one account does not take all of the budget',
        'plantaingrade/requests/held_bytes.py',
        'if left >= 0 and held <= max(left, MIN_ACCOUNT_BYTES):',
        'if left >= 0:',
        'tests/requests/test_held_bytes.py',
    ),
    Guard(
        'long bodies arrive one after the other',
        'plantaingrade/requests/body_turns.py',
        'return self.arriving_bytes + turn.size <= self._rate * WINDOW_S',
        'return True',
        'tests/requests/test_body_turns.py',
    ),
    Guard(
        'a server gets no more bytes than it crashed with',
        'plantaingrade/admission/server_bytes.py',
        'return limit is None or self.running + size <= limit',
        'return True',
        'tests/admission/test_server_bytes.py',
    ),
    Guard(
        'a change before any member is known ends no task',
        'plantaingrade/peers/directory.py',
        '        if not names:\n            return set()\n',
        '',
        'tests/config/test_follower_failures.py tests/peers/test_directory.py',
    ),
    Guard(
        'a task that failed is started again',
        'plantaingrade/supervision/coordinator.py',
        'while not await self._async_try(health, work):',
        'for _ in (await self._async_try(health, work),):',
        'tests/supervision tests/holds/test_task_failures.py',
    ),
    Guard(
        'a task that was cancelled by others is started again',
        'plantaingrade/supervision/coordinator.py',
        'if asyncio.current_task().cancelling():',
        'if True:',
        'tests/supervision',
    ),
    Guard(
        'a task that failed is failing until it has proven sound',
        'plantaingrade/supervision/coordinator.py',
        'is None or now < self.restarted_at + PROVEN_S',
        'is None',
        'tests/supervision',
    ),
    Guard(
        'a listener that fails skips no other',
        'plantaingrade/listeners.py',
        '            errors.append(error)',
        '            raise',
        'tests/config/test_follower_failures.py',
    ),
    Guard(
        'an exception while a write is open gives up the lease',
        'plantaingrade/holds/changes.py',
        'if self.has_sent and error is not None:',
        'if False:',
        'tests/holds/test_task_failures.py',
    ),
    Guard(
        'a member whose grants keep failing gives up its lease',
        'plantaingrade/holds/coordinator.py',
        'if self.supervisor.failing_s(GRANTING_TASKS) > GIVE_UP_S:',
        'if False:',
        'tests/holds/test_task_failures.py',
    ),
)


def do_tests_fail(guard: Guard) -> bool:
    """Break a guard in a copy of the source; return whether tests fail."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED_FOLDERS:
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
    """Return the exit code of pytest, or None if it exceeds the time limit.

    Tests that hang do not count as failed.
    """
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
    """Check all guards, or those named; return 1 if any goes unnoticed."""
    unnoticed = 0
    selected = sys.argv[1:]
    for guard in GUARDS:
        if selected and not any(word in guard.name for word in selected):
            continue
        has_failed = do_tests_fail(guard)
        unnoticed += not has_failed
        print(
            f'{"red" if has_failed else "UNNOTICED":9} {guard.name}', flush=True
        )
    return 1 if unnoticed else 0


if __name__ == '__main__':
    sys.exit(main())
