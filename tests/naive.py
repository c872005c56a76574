"""A naive router that derives ownership from heartbeats alone.

A member that misses heartbeats serves more slices than before. Tests use it
to show that their scenarios make a router without leases fail.
"""

from dataclasses import dataclass, field

from tests.cluster import FakeClock

HEARTBEAT_S = 0.2
GONE_AFTER_S = 0.8


@dataclass
class NaiveMember:
    """Member that owns slices by hashing over recently seen members."""

    number: int
    clock: FakeClock = field(default_factory=FakeClock)
    heard_at: dict[int, float] = field(default_factory=dict)
    paused: bool = False
    dead: bool = False

    def owned(self, slices: int) -> set[int]:
        """Return the slices that this member would serve now."""
        now = self.clock.now()
        alive = sorted(
            number
            for number, heard_at in self.heard_at.items()
            if now - heard_at < GONE_AFTER_S or number == self.number
        )
        return {
            index
            for index in range(slices)
            if alive and alive[index % len(alive)] == self.number
        }


@dataclass
class NaiveCluster:
    """Members that exchange heartbeats unless they are cut off."""

    size: int
    slices: int
    time: float = 0.0
    members: list[NaiveMember] = field(default_factory=list)
    cut: set[int] = field(default_factory=set)
    double_owner_count: int = 0
    unserved_s: float = 0.0

    def __post_init__(self) -> None:
        """Create the members."""
        self.members = [NaiveMember(number) for number in range(self.size)]

    def step(self, seconds: float) -> None:
        """Advance the time, exchange heartbeats and count errors."""
        self.time += seconds
        for member in self.members:
            member.clock.true_now = self.time
        for receiver in self.members:
            self._receive_heartbeats(receiver)
        self._count_errors(seconds)

    def _receive_heartbeats(self, receiver: NaiveMember) -> None:
        if receiver.paused or receiver.dead:
            return
        for sender in self.members:
            separated = {sender.number, receiver.number} & self.cut
            is_self = sender.number == receiver.number
            if (
                (is_self or not separated)
                and not sender.paused
                and not sender.dead
            ):
                receiver.heard_at[sender.number] = self.time

    def _count_errors(self, seconds: float) -> None:
        owners = dict.fromkeys(range(self.slices), 0)
        for member in self.members:
            if not member.dead and not member.paused:
                for index in member.owned(self.slices):
                    owners[index] += 1
        self.double_owner_count += sum(count > 1 for count in owners.values())
        self.unserved_s += seconds * sum(not count for count in owners.values())
