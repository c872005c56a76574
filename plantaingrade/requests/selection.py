"""Place requests that any server of a service may run. Pure.

Load that answers: servers of one service differ in speed by a factor of two
and more, are full or free within the time of one request, and availability
zones bring different numbers of requests. So some servers are asked for their
room, and the one at which the request would end first is chosen, in the own
zone as long as that is in time. Where none answers, the less loaded of two is
chosen by what they told before, and what a zone's servers have no room for
spills over to other zones.
"""

import random
from collections.abc import Mapping, Sequence

from msgspec import Struct

from plantaingrade.balance.entity import Load, Room
from plantaingrade.peers.entity import Member

# Load from which part of the requests leave the zone. Below it hardly anything
# waits, and bytes between zones are dear.
SPILL_FROM = 0.7
# A server elsewhere must have this much less load: a window's demand is a
# sample, and crossing costs bytes.
MIN_GAIN = 0.1
# Load from which another server is not asked after one has refused.
FULL_FROM = 0.95
# Most that is assumed of a server that has not told its load lately: it is
# tried, and its answers tell the rest.
UNKNOWN_SHARE = 0.5
# Tolerated share of failed requests above that of the soundest server: rates
# are samples, and what all servers fail alike has its cause elsewhere.
MAX_EXCESS_FAILURE_RATE = 0.2
# Members of a zone that are asked for their room at a time.
MAX_POLLED = 3
# Part of the time left to the end of the latency objective in which a request
# must probably be done to stay in its zone.
OBJECTIVE_FACTOR = 1.0
# A server in another zone must end a request in this part of the time.
CROSS_ZONE_FACTOR = 0.75


class Place(Struct, frozen=True):
    """A member whose server may run the request.

    ``load`` is what it told lately, if anything; ``failures`` the share of
    requests that failed there.
    """

    member: Member
    load: Load | None
    failures: float = 0.0

    @property
    def share(self) -> float:
        """Return the load, or what is assumed of it."""
        return UNKNOWN_SHARE if self.load is None else self.load.share


def choose_place(
    near: Sequence[Place], far: Sequence[Place], chance: random.Random
) -> Place | None:
    """Return where a new request goes; ``near`` are those of the own zone."""
    most = most_failures([*near, *far])
    sound_near = [place for place in near if place.failures <= most]
    sound_far = [place for place in far if place.failures <= most]
    if any(place.share < FULL_FROM for place in (*sound_near, *sound_far)):
        near, far = sound_near, sound_far
    if not near:
        return best_of_two(far, chance)
    place = best_of_two(near, chance)
    if place is None or not far or place.share <= SPILL_FROM:
        return place
    # Shedding only the excess keeps many processes that see the same load
    # from all turning to the same other server at once.
    if chance.random() < SPILL_FROM / place.share:
        return place
    other = best_of_two(far, chance)
    if other is None or other.share > place.share - MIN_GAIN:
        return place
    return other


def choose_to_ask(
    places: Sequence[Place], chance: random.Random
) -> list[Place]:
    """Return some places that are asked for their room."""
    most = most_failures(places)
    sound = [place for place in places if place.failures <= most]
    return chance.sample(sound, min(len(sound), MAX_POLLED))


def soonest(room_by_name: Mapping[str, Room]) -> str | None:
    """Return the sound member at which a request would end first."""
    if not room_by_name:
        return None
    least = min(room.failures for room in room_by_name.values())
    sound = [
        name
        for name, room in room_by_name.items()
        if room.failures <= least + MAX_EXCESS_FAILURE_RATE
    ]
    return min(sound, key=lambda name: room_by_name[name].ends_in_s)


def is_near_enough(room: Room, due_in_s: float) -> bool:
    """Tell whether a request stays in its zone without further questions."""
    return room.ends_in_s <= OBJECTIVE_FACTOR * due_in_s


def is_worth_crossing(near: Room, far: Room) -> bool:
    """Tell whether a request goes to another zone for a sooner end."""
    return far.ends_in_s < CROSS_ZONE_FACTOR * near.ends_in_s


def choose_after_refusal(
    places: Sequence[Place], chance: random.Random
) -> Place | None:
    """Return who is asked after a server was full, if any may have room."""
    with_room = [place for place in places if place.share < FULL_FROM]
    return best_of_two(with_room, chance)


def most_failures(places: Sequence[Place]) -> float:
    """Return the share of failures up to which a place counts as sound."""
    least = min((place.failures for place in places), default=0.0)
    return least + MAX_EXCESS_FAILURE_RATE


def best_of_two(places: Sequence[Place], chance: random.Random) -> Place | None:
    """Return the less loaded of two that are drawn."""
    if not places:
        return None
    drawn = chance.sample(places, min(2, len(places)))
    unknown = assumed_share(places)
    return min(
        drawn,
        key=lambda place: unknown if place.load is None else place.share,
    )


def assumed_share(places: Sequence[Place]) -> float:
    """Return what is assumed of those that have not told their load.

    A server that joins and has told nothing is taken for an average one: taken
    for half loaded among idle ones it would get nothing, and never tell its
    load.
    """
    known = [place.share for place in places if place.load is not None]
    if not known:
        return UNKNOWN_SHARE
    return min(UNKNOWN_SHARE, sum(known) / len(known))
