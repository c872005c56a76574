"""Choose who is told of a change directly, and who passes it on. Pure.

Load that answers: hundreds of members, and each change of a key map, each
start and each end is told to all of them. Told by one sender, nearly all of
these datagrams cross availability zones, and members that start together greet
each other in numbers that grow with the square. So other zones are told through
a few of their members, who pass it on to their neighbours.
"""

import random
from collections.abc import Collection, Iterable

from msgspec import Struct

from plantaingrade.peers.entity import Member

# Members of another zone up to which each is told directly: two relays save
# hardly any datagrams there, and cost one more hop.
MAX_DIRECT = 4
# Members of a larger zone that are asked to pass a change on. One may be down
# or its datagram lost; a zone that misses a change asks for the whole map, some
# 20 KB for each of its members.
RELAYS_A_ZONE = 2


class Recipients(Struct, frozen=True):
    """Members that are told themselves, and those that also pass it on."""

    direct: tuple[Member, ...]
    relays: tuple[Member, ...]


def by_zone(members: Iterable[Member]) -> dict[str, list[Member]]:
    """Return members by their availability zone."""
    members_by_zone: dict[str, list[Member]] = {}
    for member in members:
        members_by_zone.setdefault(member.zone, []).append(member)
    return members_by_zone


def choose_recipients(
    own: Member,
    members: Iterable[Member],
    skipped: Collection[str],
    chance: random.Random,
) -> Recipients:
    """Return who is told of a change; ``skipped`` names those told otherwise.

    Whoever is skipped passes nothing on either.
    """
    direct: list[Member] = []
    relays: list[Member] = []
    told = [
        member
        for member in members
        if member.name != own.name and member.name not in skipped
    ]
    for zone, neighbours in by_zone(told).items():
        if zone == own.zone or len(neighbours) <= MAX_DIRECT:
            direct.extend(neighbours)
        else:
            relays.extend(chance.sample(neighbours, RELAYS_A_ZONE))
    return Recipients(tuple(direct), tuple(relays))


def choose_greeted(
    own: Member,
    members: Iterable[Member],
    welcomed: Collection[str],
    chance: random.Random,
) -> Recipients:
    """Return whom a member greets that not all have welcomed.

    Of a large zone one member is enough: it welcomes for its zone. If it does
    not answer, another one is drawn the next time.
    """
    direct: list[Member] = []
    relays: list[Member] = []
    others = [member for member in members if member.name != own.name]
    for zone, neighbours in by_zone(others).items():
        strangers = [each for each in neighbours if each.name not in welcomed]
        if zone == own.zone or len(neighbours) <= MAX_DIRECT:
            direct.extend(strangers)
        elif len(strangers) == len(neighbours):
            relays.append(chance.choice(strangers))
    return Recipients(tuple(direct), tuple(relays))
