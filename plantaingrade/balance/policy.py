"""Decide which key ranges to move to which server; performs no I/O.

Handles a hot range, where a few neighbouring keys receive a third or more of
the requests of a service, a server that slows down, and a new server without
load. The least loaded server receives about half of the load difference, as the
shortest run of keys with enough load. Keys with few requests stay where they
are.
"""

from collections.abc import Mapping, Sequence

from plantaingrade.balance.comparison import (
    min_significant_difference,
    work_to_move,
)
from plantaingrade.balance.const import (
    MAX_MOVES,
    MIN_LOAD_TO_MOVE,
    MIN_MOVED_LOAD,
    MIN_MOVED_SHARE,
)
from plantaingrade.balance.entity import KeyLoad, Load, Move
from plantaingrade.keyspace.entity import KeyRange

# Among runs of keys with at least this fraction of the wanted work, the one
# with the fewest keys is preferred.
ENOUGH_FRACTION = 0.6


def choose_moves(
    own: Load,
    load_by_member: Mapping[str, Load],
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
) -> list[Move]:
    """Return moves to different members that together even out loads."""
    moves: list[Move] = []
    candidates = dict(load_by_member)
    while len(moves) < MAX_MOVES:
        move = choose_move(own, candidates, ranges, key_loads)
        if move is None:
            break
        moves.append(move)
        candidates.pop(move.target)
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
    """Return the move that best evens out loads, or None if none is needed.

    ``ranges`` are the ranges that may be moved, ``key_loads`` the loads of
    their keys in key order.
    """
    if own.share < MIN_LOAD_TO_MOVE or not load_by_member:
        return None
    target = min(load_by_member, key=lambda name: load_by_member[name].share)
    peer = load_by_member[target]
    if own.share - peer.share < min_significant_difference(
        own, len(load_by_member)
    ):
        return None
    wanted_work = work_to_move(own, peer)
    run = densest_run(ranges, key_loads, wanted_work)
    if run is None:
        return None
    keys, work = run
    if work < MIN_MOVED_SHARE * own.slots:
        return None
    return Move(keys, target, work)


def densest_run(
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
    wanted_work: float,
) -> tuple[KeyRange, float] | None:
    """Return the shortest run of keys in one range with the wanted work.

    Runs never contain a key with more than the wanted work: a single key cannot
    be split, and moving it would only move the overload to another server.
    """
    best: tuple[KeyRange, float] | None = None
    for keys in ranges:
        inside = [load for load in key_loads if load.key in keys]
        run = _shortest_run(inside, wanted_work)
        if run is None:
            continue
        if best is None or _is_better(run, best, wanted_work):
            best = run
    if best is None or best[1] < MIN_MOVED_LOAD:
        return None
    return best


def _shortest_run(
    loads: Sequence[KeyLoad], wanted_work: float
) -> tuple[KeyRange, float] | None:
    """Return the best run of one range, found with a sliding window."""
    best: tuple[KeyRange, float] | None = None
    start = 0
    total = 0.0
    for end, load in enumerate(loads):
        total += load.work
        while total > wanted_work and start <= end:
            total -= loads[start].work
            start += 1
        if start > end:
            continue
        run = (KeyRange(loads[start].key, load.key), total)
        if best is None or _is_better(run, best, wanted_work):
            best = run
    return best


def _is_better(
    first: tuple[KeyRange, float],
    second: tuple[KeyRange, float],
    wanted_work: float,
) -> bool:
    """Return whether a run has more of the work, or enough in fewer keys."""
    enough_work = wanted_work * ENOUGH_FRACTION
    if first[1] >= enough_work and second[1] >= enough_work:
        return len(first[0]) < len(second[0])
    return first[1] > second[1]


def assign_ranges(
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
    load_by_member: Mapping[str, Load],
) -> dict[KeyRange, str]:
    """Return the receiver of each range of a leaving server.

    Ranges are assigned in order of decreasing load, each to the member with the
    least load at that point.
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
