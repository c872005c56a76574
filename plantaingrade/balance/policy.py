"""Decide which keys should pass to which server. Pure.

Load that answers: a few neighbouring keys bring a third or more of a service's
requests, a server turns slow, a new server has nothing to do. The receiver
with the least load takes half of the difference, as the smallest run of keys
that brings it: keys that hardly anybody asks for stay where they are.
"""

import math
from collections.abc import Mapping, Sequence

from plantaingrade.balance.const import (
    MAX_MOVES,
    MIN_DIFFERENCE,
    MIN_LOAD_TO_MOVE,
    MIN_MOVED_LOAD,
    MIN_MOVED_SHARE,
    SHARE_OF_DIFFERENCE,
    WINDOW_S,
)
from plantaingrade.balance.entity import KeyLoad, Load, Move
from plantaingrade.keyspace.entity import KeyRange

# The range of ``n`` samples of a normal distribution is close to this times the
# square root of ``ln n``, in standard deviations: 2.7 for 7, 4.7 for 67.
EXTREMES = 2.2
# A run that brings this part of what is wanted is good enough to prefer one
# with fewer keys.
ENOUGH = 0.6


def choose_moves(
    own: Load,
    load_by_member: Mapping[str, Load],
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
) -> list[Move]:
    """Return moves to different members that even out loads together."""
    moves: list[Move] = []
    others = dict(load_by_member)
    while len(moves) < MAX_MOVES:
        move = choose_move(own, others, ranges, key_loads)
        if move is None:
            break
        moves.append(move)
        others.pop(move.target)
        share = own.share - move.work / max(1, own.slots)
        own = Load(share, own.work_s, own.slots)
        key_loads = [load for load in key_loads if load.key not in move.keys]
        ranges = [rest for keys in ranges for rest in keys.without(move.keys)]
    return moves


def choose_move(
    own: Load,
    load_by_member: Mapping[str, Load],
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
) -> Move | None:
    """Return the move that evens out loads best, if one is worth it.

    ``ranges`` are those that may be moved now, ``key_loads`` what their keys
    ask for, in key order.
    """
    if own.share < MIN_LOAD_TO_MOVE or not load_by_member:
        return None
    target = min(load_by_member, key=lambda name: load_by_member[name].share)
    other = load_by_member[target]
    if own.share - other.share < least_difference(own, len(load_by_member)):
        return None
    wanted = work_to_move(own, other)
    found = densest_run(ranges, key_loads, wanted)
    if found is None:
        return None
    keys, work = found
    if work < MIN_MOVED_SHARE * own.slots:
        return None
    return Move(keys, target, work)


def least_difference(own: Load, others: int) -> float:
    """Return the difference from which loads differ for certain.

    A load is counted over a window, so it strays like a sample of as many
    requests. Of many members with the same load the highest and the lowest
    lie the further apart the more there are.
    """
    strays = math.sqrt(own.share * own.work_s / (max(1, own.slots) * WINDOW_S))
    extremes = EXTREMES * math.sqrt(math.log(max(1, others)))
    return max(MIN_DIFFERENCE, strays * extremes)


def work_to_move(own: Load, other: Load) -> float:
    """Return the work, in seconds of an own slot, that evens out two loads.

    Moving ``w`` lowers the own share by ``w / slots`` and raises the other's
    by ``w * ratio / other.slots``, where the ratio compares their speeds.
    """
    ratio = other.work_s / own.work_s if own.work_s > 0 else 1.0
    effect = 1 / max(1, own.slots) + ratio / max(1, other.slots)
    difference = own.share - other.share
    return SHARE_OF_DIFFERENCE * difference / effect


def densest_run(
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
    wanted: float,
) -> tuple[KeyRange, float] | None:
    """Return the shortest run of keys in one range that brings the work.

    A single key that brings more than is wanted cannot be cut; it would only
    carry the overload elsewhere, so runs go round it.
    """
    best: tuple[KeyRange, float] | None = None
    for keys in ranges:
        inside = [load for load in key_loads if load.key in keys]
        found = _shortest_run(inside, wanted)
        if found is None:
            continue
        if best is None or _is_better(found, best, wanted):
            best = found
    if best is None or best[1] < MIN_MOVED_LOAD:
        return None
    return best


def _shortest_run(
    loads: Sequence[KeyLoad], wanted: float
) -> tuple[KeyRange, float] | None:
    """Slide over the keys of one range."""
    best: tuple[KeyRange, float] | None = None
    start = 0
    total = 0.0
    for end, load in enumerate(loads):
        total += load.work
        while total > wanted and start <= end:
            total -= loads[start].work
            start += 1
        if start > end:
            continue
        found = (KeyRange(loads[start].key, load.key), total)
        if best is None or _is_better(found, best, wanted):
            best = found
    return best


def _is_better(
    one: tuple[KeyRange, float], other: tuple[KeyRange, float], wanted: float
) -> bool:
    """Compare runs: enough of the work first, then fewer keys."""
    enough = wanted * ENOUGH
    if one[1] >= enough and other[1] >= enough:
        return len(one[0]) < len(other[0])
    return one[1] > other[1]


def share_out(
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
    load_by_member: Mapping[str, Load],
) -> dict[KeyRange, str]:
    """Return who should take each range of a server that leaves.

    Ranges that bring much go first, each to the member that then has least.
    """
    if not load_by_member:
        return {}
    work_by_keys = {
        keys: sum(load.work for load in key_loads if load.key in keys)
        for keys in ranges
    }
    share_by_member = {
        name: load.share for name, load in load_by_member.items()
    }
    target_by_keys = {}
    heaviest_first = sorted(ranges, key=work_by_keys.__getitem__, reverse=True)
    for keys in heaviest_first:
        target = min(share_by_member, key=share_by_member.__getitem__)
        slots = max(1, load_by_member[target].slots)
        share_by_member[target] += max(
            work_by_keys[keys] / slots, MIN_MOVED_LOAD
        )
        target_by_keys[keys] = target
    return target_by_keys
