"""Move a key that is hotter than its server to a faster one; performs no I/O.

Load that this answers to: one key receives several times the work that any
server can do, for a few seconds. It cannot be divided, so the fastest server
serves the largest part of its requests. The other keys of that server are moved
away from it, as they are from any overloaded server.
"""

from collections.abc import Mapping, Sequence

from plantaingrade.balance.comparison import load_after, relative_work
from plantaingrade.balance.const import MIN_ISOLATED_SHARE, MIN_SPEED_GAIN
from plantaingrade.balance.entity import KeyLoad, Load, Move
from plantaingrade.keyspace.entity import KeyRange


def choose_isolation(
    own: Load,
    load_by_member: Mapping[str, Load],
    ranges: Sequence[KeyRange],
    key_loads: Sequence[KeyLoad],
) -> Move | None:
    """Return the move of a key that is too hot here to a faster server.

    Among servers of about the same speed it selects the least loaded one.
    """
    hottest = max(key_loads, key=lambda load: load.work, default=None)
    if hottest is None or hottest.work < MIN_ISOLATED_SHARE * own.slots:
        return None
    if all(hottest.key not in keys for keys in ranges):
        return None
    gain_by_member = {
        name: speed_gain(own, load)
        for name, load in load_by_member.items()
        if load_after(own, load, hottest.work) < own.share
    }
    best = max(gain_by_member.values(), default=0.0)
    if best < MIN_SPEED_GAIN:
        return None
    target = min(
        (
            name
            for name, gain in gain_by_member.items()
            if gain * MIN_SPEED_GAIN >= best
        ),
        key=lambda name: load_by_member[name].share,
    )
    return Move(KeyRange(hottest.key, hottest.key), target, hottest.work)


def speed_gain(own: Load, peer: Load) -> float:
    """Return how much more work per second a peer does than this server."""
    return peer.slots / max(1, own.slots) / relative_work(own, peer)
