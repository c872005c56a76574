"""Select servers for requests that any server of a service may run. Pure.

Load that this answers to: servers of one service differ in speed by a factor
of two and more, change between full and free within the time of one request,
and the availability zones receive different numbers of requests. So a sample
of servers is polled for free capacity, and the one with the earliest expected
finish time is selected, in the own zone if that meets the latency objective.
If none responds, the less loaded of two random servers is selected by the load
last reported, and the excess load of a zone spills over to other zones.
"""

import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from plantaingrade.balance.entity import FreeCapacity, Load
from plantaingrade.peers.entity import Member

# Load above which part of the requests leave the zone. Below it hardly any
# request waits, and traffic between zones is expensive.
SPILLOVER_SHARE = 0.7
# A server in another zone must have this much less load: the load of one window
# is only a sample, and traffic between zones is expensive.
MIN_SHARE_GAIN = 0.1
# Load from which a server is not tried after another one has refused.
FULL_SHARE = 0.95
# Highest load assumed for a server that has not reported its load lately. It is
# tried, and its responses report the load.
ASSUMED_SHARE = 0.5
# Tolerated failure rate above that of the healthiest server: rates are samples,
# and failures that all servers have in common are not caused by the servers.
MAX_EXCESS_FAILURE_RATE = 0.2
# Members of a zone that are polled for free capacity at a time.
MAX_POLLED = 3
# A request stays in its zone if it is expected to finish within this part of
# the time left until the end of its latency objective.
OBJECTIVE_FACTOR = 1.0
# A server in another zone must finish a request in this part of the time that a
# server of the own zone needs.
CROSS_ZONE_FACTOR = 0.75


class Candidate(Struct, frozen=True):
    """A member whose server may run the request.

    ``load`` is its last reported load, or None if there is no recent one;
    ``failure_rate`` is the recent share of requests that failed there.
    """

    member: Member
    load: Load | None
    failure_rate: float = 0.0

    @property
    def share(self) -> float:
        """Return the reported load, or the load that is assumed without one."""
        return ASSUMED_SHARE if self.load is None else self.load.share


def choose_candidate(
    local: Sequence[Candidate], remote: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Select a server by load; ``local`` are the servers of the own zone."""
    max_rate = max_failure_rate([*local, *remote])
    healthy_local = [
        candidate for candidate in local if candidate.failure_rate <= max_rate
    ]
    healthy_remote = [
        candidate for candidate in remote if candidate.failure_rate <= max_rate
    ]
    if any(
        candidate.share < FULL_SHARE
        for candidate in (*healthy_local, *healthy_remote)
    ):
        local, remote = healthy_local, healthy_remote
    if not local:
        return best_of_two(remote, rng)
    candidate = best_of_two(local, rng)
    if candidate is None or not remote or candidate.share <= SPILLOVER_SHARE:
        return candidate
    # Only the excess is sent elsewhere. Otherwise many processes that see the
    # same load would all switch to the same other server at once.
    if rng.random() < SPILLOVER_SHARE / candidate.share:
        return candidate
    other = best_of_two(remote, rng)
    if other is None or other.share > candidate.share - MIN_SHARE_GAIN:
        return candidate
    return other


def sample_to_poll(
    candidates: Sequence[Candidate], rng: random.Random
) -> list[Candidate]:
    """Return a random sample of healthy candidates to poll."""
    max_rate = max_failure_rate(candidates)
    healthy = [
        candidate
        for candidate in candidates
        if candidate.failure_rate <= max_rate
    ]
    return rng.sample(healthy, min(len(healthy), MAX_POLLED))


def find_earliest(capacity_by_name: Mapping[str, FreeCapacity]) -> str | None:
    """Return the healthy member with the earliest expected finish time."""
    if not capacity_by_name:
        return None
    min_rate = min(capacity.failures for capacity in capacity_by_name.values())
    healthy = [
        name
        for name, capacity in capacity_by_name.items()
        if capacity.failures <= min_rate + MAX_EXCESS_FAILURE_RATE
    ]
    return min(healthy, key=lambda name: capacity_by_name[name].completion_s)


def meets_objective(capacity: FreeCapacity, due_in_s: float) -> bool:
    """Return whether a request would finish in time for its objective."""
    return capacity.completion_s <= OBJECTIVE_FACTOR * due_in_s


def is_worth_crossing_zones(local: FreeCapacity, remote: FreeCapacity) -> bool:
    """Return whether a request finishes enough earlier in another zone."""
    return remote.completion_s < CROSS_ZONE_FACTOR * local.completion_s


def choose_after_refusal(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Select a server that may have free capacity after another was full."""
    with_capacity = [
        candidate for candidate in candidates if candidate.share < FULL_SHARE
    ]
    return best_of_two(with_capacity, rng)


def max_failure_rate(candidates: Sequence[Candidate]) -> float:
    """Return the highest failure rate at which a candidate is healthy."""
    min_rate = min(
        (candidate.failure_rate for candidate in candidates), default=0.0
    )
    return min_rate + MAX_EXCESS_FAILURE_RATE


def best_of_two(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Return the less loaded of two random candidates."""
    if not candidates:
        return None
    drawn = rng.sample(candidates, min(2, len(candidates)))
    assumed = assumed_share(candidates)
    return min(
        drawn,
        key=lambda candidate: (
            assumed if candidate.load is None else candidate.share
        ),
    )


def assumed_share(candidates: Sequence[Candidate]) -> float:
    """Return the load assumed for candidates that have not reported one.

    A server that has just joined is assumed to have the average load. If it
    were assumed to be half loaded among idle ones, it would get no requests
    and so would never report its load.
    """
    known = [
        candidate.share
        for candidate in candidates
        if candidate.load is not None
    ]
    if not known:
        return ASSUMED_SHARE
    return min(ASSUMED_SHARE, sum(known) / len(known))
