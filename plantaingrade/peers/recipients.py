"""Choose direct recipients of a notification, and relays in other zones. Pure.

Handles this load: with hundreds of members, each change of a key map, each
start and each stop is sent to all of them. If one sender did so directly,
nearly all of these datagrams would cross availability zones, and the hellos of
members that start together would grow with the square of their number. Other
zones are therefore notified through a few relays, which forward to the rest of
their zone.
"""

import random
from collections.abc import Collection, Iterable

from msgspec import Struct

from plantaingrade.peers.entity import Member

# Largest number of members in another zone that are all notified directly. In
# a zone this small two relays save few datagrams and cost one more hop.
MAX_DIRECT = 4
# Relays in a larger zone. With a single one, a member that is down or a lost
# datagram would make every member of the zone fetch the whole map, about 20 KB
# each.
RELAYS_PER_ZONE = 2


class Recipients(Struct, frozen=True):
    """Members to notify directly, and relays, which also forward."""

    direct: tuple[Member, ...]
    relays: tuple[Member, ...]


def group_by_zone(members: Iterable[Member]) -> dict[str, list[Member]]:
    """Return members by availability zone."""
    members_by_zone: dict[str, list[Member]] = {}
    for member in members:
        members_by_zone.setdefault(member.zone, []).append(member)
    return members_by_zone


def choose_recipients(
    own: Member,
    members: Iterable[Member],
    skipped: Collection[str],
    rng: random.Random,
) -> Recipients:
    """Return the recipients of a notification.

    ``skipped`` names members that are notified in another way; they are not
    used as relays either.
    """
    direct: list[Member] = []
    relays: list[Member] = []
    notified = [
        member
        for member in members
        if member.name != own.name and member.name not in skipped
    ]
    for zone, neighbours in group_by_zone(notified).items():
        if zone == own.zone or len(neighbours) <= MAX_DIRECT:
            direct.extend(neighbours)
        else:
            relays.extend(rng.sample(neighbours, RELAYS_PER_ZONE))
    return Recipients(tuple(direct), tuple(relays))


def choose_hello_recipients(
    own: Member,
    members: Iterable[Member],
    welcomed: Collection[str],
    rng: random.Random,
) -> Recipients:
    """Return the recipients of the next hello of a member.

    In a large zone the welcome of one member is enough, as it forwards the
    hello. If it does not answer, another one is drawn the next time.
    """
    direct: list[Member] = []
    relays: list[Member] = []
    peers = [member for member in members if member.name != own.name]
    for zone, neighbours in group_by_zone(peers).items():
        pending = [each for each in neighbours if each.name not in welcomed]
        if zone == own.zone or len(neighbours) <= MAX_DIRECT:
            direct.extend(pending)
        elif len(pending) == len(neighbours):
            relays.append(rng.choice(pending))
    return Recipients(tuple(direct), tuple(relays))
