"""Random sequences of faults; each slice has at most one owner throughout."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from plantaingrade.journal.entity import (
    HotKeyMerged,
    HotKeySplit,
    MemberState,
    OwnerRequested,
    StateSet,
)
from plantaingrade.journal.keys import hot_slice_id
from tests.cluster import SERVICE, FakeCluster, FakeMember

MEMBERS = 5
HOT_KEYS = ('4711', '4712')
numbers = st.integers(min_value=0, max_value=MEMBERS - 1)
durations = st.sampled_from([0.02, 0.1, 0.3, 0.7, 0.9, 1.5, 3.0])


class OwnershipMachine(RuleBasedStateMachine):
    """Run a cluster of fake members; each rule is a fault or an operation."""

    @initialize(
        seed=st.integers(min_value=0, max_value=1000),
        checks=st.booleans(),
    )
    def start(self, seed: int, checks: bool) -> None:
        """Start a cluster and let it assign all slices."""
        self.cluster = FakeCluster.from_size(
            MEMBERS,
            seed,
            slices=3,
            checks_fence=checks,
            step_s=0.04,
        )
        self.fence_by_slice: dict[str, tuple[int, str]] = {}
        self.generation = 0

    @rule(seconds=durations)
    def advance_time(self, seconds: float) -> None:
        """Run the members and the network."""
        self.cluster.run(seconds)

    @rule(seconds=durations)
    def stall_network(self, seconds: float) -> None:
        """Let time pass while datagrams are delayed."""
        for _ in range(round(seconds / 0.1)):
            self.cluster.advance(0.1)
            for member in self._running():
                member.tick()
            self.cluster.check()

    @rule(number=numbers)
    def pause_or_resume(self, number: int) -> None:
        """Pause a process, or resume it without a restart."""
        member = self._newest(number)
        if member.paused:
            member.resume()
        else:
            member.paused = True

    @rule(number=numbers)
    def crash_and_restart(self, number: int) -> None:
        """Kill a process; another starts at the same address."""
        if not self.cluster.table_up:
            return
        self._newest(number).dead = True
        self.cluster.join(number)

    @rule(number=numbers)
    def isolate_member(self, number: int) -> None:
        """Partition a process from all others."""
        self.cluster.isolate(self._newest(number))

    @rule(first=numbers, second=numbers)
    def partition(self, first: int, second: int) -> None:
        """Partition two processes from each other."""
        self.cluster.cut.add(frozenset((f's{first}', f's{second}')))

    @rule()
    def heal(self) -> None:
        """End every partition."""
        self.cluster.cut.clear()

    @rule()
    def switch_table(self) -> None:
        """Start or end an outage of the table service."""
        self.cluster.table_up = not self.cluster.table_up

    @rule()
    def switch_answers(self) -> None:
        """Start or stop losing responses of the table service to writes."""
        self.cluster.lose_answers = not self.cluster.lose_answers

    @rule(share=st.sampled_from([0.0, 0.2, 0.5]))
    def lose_datagrams(self, share: float) -> None:
        """Let the network lose a share of all datagrams."""
        self.cluster.loss = share

    @rule(author=numbers, goal=numbers, index=st.integers(0, 2))
    def request_move(self, author: int, goal: int, index: int) -> None:
        """Request a move, possibly while another one is in progress."""
        change = OwnerRequested(
            f'{SERVICE}/{index}',
            self._newest(goal).name,
            f'c{author}',
        )
        self._append(author, change)

    @rule(author=numbers, key=st.sampled_from(HOT_KEYS), goal=numbers)
    def move_hot_key(self, author: int, key: str, goal: int) -> None:
        """Split a hot key off its range and move it."""
        slice_id = hot_slice_id(SERVICE, key)
        change = OwnerRequested(slice_id, self._newest(goal).name, 'hot')
        self._append(author, HotKeySplit(SERVICE, key), change)

    @rule(author=numbers, key=st.sampled_from(HOT_KEYS))
    def merge_hot_key(self, author: int, key: str) -> None:
        """Merge a hot key back into its range."""
        self._append(author, HotKeyMerged(hot_slice_id(SERVICE, key)))

    @rule(author=numbers, goal=numbers, drain=st.booleans())
    def drain_or_resume(self, author: int, goal: int, drain: bool) -> None:
        """Drain a server, or cancel the drain."""
        state = MemberState.DRAINING if drain else MemberState.READY
        self._append(author, StateSet(self._newest(goal).name, state))

    @rule(number=numbers)
    def leave(self, number: int) -> None:
        """Start the planned stop of a process."""
        member = self._newest(number)
        if member.running:
            member.ownership.handover.leave()

    @precondition(lambda self: hasattr(self, 'cluster'))
    @invariant()
    def one_owner(self) -> None:
        """No two members own one slice, paused members included."""
        self.cluster.check()

    @precondition(lambda self: hasattr(self, 'cluster'))
    @invariant()
    def fences_increase(self) -> None:
        """The fence of a new owner is above those of all earlier owners."""
        for member in self._running():
            for slice_id, fence in member.owned().items():
                known = self.fence_by_slice.get(slice_id, (0, ''))
                if known[1] != member.name:
                    assert fence > known[0], (slice_id, fence, known)
                self.fence_by_slice[slice_id] = (fence, member.name)

    @precondition(lambda self: hasattr(self, 'cluster'))
    @invariant()
    def copies_agree(self) -> None:
        """Copies of the map at the same generation are equal."""
        copies: dict[int, object] = {}
        for member in self.cluster.members:
            state = member.state
            assert copies.setdefault(state.generation, state) == state

    def teardown(self) -> None:
        """Check that every slice is served again once all faults have ended."""
        if not hasattr(self, 'cluster'):
            return
        cluster = self.cluster
        cluster.cut.clear()
        cluster.loss = 0
        cluster.table_up = True
        cluster.lose_answers = False
        for member in cluster.members:
            if member.paused and not member.dead:
                member.resume()
        for number in range(MEMBERS):
            self._newest(number).dead = True
            cluster.join(number)
        cluster.run(12)
        for slice_id in cluster.members[-1].state.slices:
            assert cluster.owner_of(slice_id) is not None, slice_id

    def _newest(self, number: int) -> FakeMember:
        return self.cluster.newest(number)

    def _running(self) -> list[FakeMember]:
        return [each for each in self.cluster.members if each.running]

    def _append(self, author: int, *changes: object) -> None:
        member = self._newest(author)
        if member.running:
            member.append(*changes)


# Derandomized, so that CI gets the same result on every run.
OwnershipMachine.TestCase.settings = settings(
    max_examples=25,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestOwnershipMachine = OwnershipMachine.TestCase
