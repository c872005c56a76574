"""A naive router: whoever hears fewer heartbeats than before owns more."""

from dataclasses import dataclass, field

from tests.cluster import FakeClock

HEARTBEAT_S = 0.2
GONE_AFTER_S = 0.8


@dataclass
class NaiveMember:
    """Own by static hashing over the members heard of lately."""

    number: int
    clock: FakeClock = field(default_factory=FakeClock)
    heard_at: dict[int, float] = field(default_factory=dict)
    paused: bool = False
    dead: bool = False

    def owned(self, slices: int) -> set[int]:
        """Return the slices this member would serve now."""
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
    """Members that hear one another's heartbeats unless cut off."""

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
        """Let time pass, exchange heartbeats, count what goes wrong."""
        self.time += seconds
        for member in self.members:
            member.clock.true_now = self.time
        for listener in self.members:
            self._listen(listener)
        self._count(seconds)

    def _listen(self, listener: NaiveMember) -> None:
        if listener.paused or listener.dead:
            return
        for speaker in self.members:
            apart = {speaker.number, listener.number} & self.cut
            alone = speaker.number == listener.number
            if (alone or not apart) and not speaker.paused and not speaker.dead:
                listener.heard_at[speaker.number] = self.time

    def _count(self, seconds: float) -> None:
        owners = dict.fromkeys(range(self.slices), 0)
        for member in self.members:
            if not member.dead and not member.paused:
                for index in member.owned(self.slices):
                    owners[index] += 1
        self.double_owner_count += sum(count > 1 for count in owners.values())
        self.unserved_s += seconds * sum(not count for count in owners.values())
