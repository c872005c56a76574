"""Plan the moves of one round of balancing; performs no I/O.

Load that this answers to: a server is overloaded by many keys, which receivers
can relieve it of, or by one key, which they cannot.
"""

from collections.abc import Mapping, Sequence

from msgspec import Struct

from plantaingrade.balance.entity import KeyLoad, Load, Move
from plantaingrade.balance.isolation import choose_isolation
from plantaingrade.balance.policy import choose_moves
from plantaingrade.keyspace.entity import KeyRange


class MovePlan(Struct, frozen=True):
    """Moves to start now.

    ``isolated`` is the move of a key too hot for its server, ``balancing``
    are those that even out loads.
    """

    isolated: Move | None
    balancing: Sequence[Move]

    @property
    def moves(self) -> list[Move]:
        """Return all moves."""
        isolated = [] if self.isolated is None else [self.isolated]
        return [*isolated, *self.balancing]


def plan_moves(
    own: Load,
    load_by_member: Mapping[str, Load],
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
) -> MovePlan:
    """Return the moves that a load calls for.

    ``ranges`` are the ranges that may be moved, ``key_loads`` the loads of
    their keys in key order.
    """
    isolated = choose_isolation(own, load_by_member, ranges, key_loads)
    if isolated is None:
        balancing = choose_moves(own, load_by_member, ranges, key_loads)
        return MovePlan(None, balancing)
    candidates = {
        name: load
        for name, load in load_by_member.items()
        if name != isolated.target
    }
    key_loads = [load for load in key_loads if load.key not in isolated.keys]
    ranges = [rest for keys in ranges for rest in keys.without(isolated.keys)]
    return MovePlan(isolated, choose_moves(own, candidates, ranges, key_loads))
