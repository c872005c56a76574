"""Which account may have more bytes held, and that nothing is lost count of."""

import pytest

from plantaingrade.requests.const import MAX_BODIES_BYTES
from plantaingrade.requests.held_bytes import (
    Account,
    HeldBytes,
    Room,
    Side,
    budget_bytes,
)

LIMIT = 1_000_000
GREEDY = Account(Side.CALLERS, '10.0.0.1', 1)
OTHER = Account(Side.CALLERS, '10.0.0.2', 1)
PEER = Account(Side.PEERS, '10.0.0.2', 1)


def test_one_account_cannot_take_all_of_the_budget() -> None:
    """A single caller sends bodies without end: others still have room."""
    held = HeldBytes(LIMIT)
    while held.room_for(GREEDY, 50_000) is Room.FREE:
        held.add(GREEDY, 50_000)
    assert held.used_bytes == LIMIT / 2
    assert held.room_for(OTHER, 200_000) is Room.FREE


def test_room_never_exceeds_the_budget_whoever_asks() -> None:
    """Many callers at once: together they stay within the limit, and each has
    about the same share.
    """
    held = HeldBytes(LIMIT)
    accounts = [Account(Side.CALLERS, f'10.0.0.{host}', 1) for host in range(9)]
    for _ in range(100):
        for account in accounts:
            if held.room_for(account, 10_000) is Room.FREE:
                held.add(account, 10_000)
    assert held.used_bytes <= LIMIT
    assert {held.held_for(account) for account in accounts} <= {
        90_000,
        100_000,
    }


def test_connections_of_a_lone_host_are_told_apart() -> None:
    """All callers come through one proxy: one connection cannot starve the
    others of the same address.
    """
    held = HeldBytes(LIMIT)
    held.add(GREEDY, 500_000)
    second = Account(Side.CALLERS, GREEDY.host, 2)
    assert held.room_for(GREEDY, 50_000) is Room.LATER
    assert held.room_for(second, 50_000) is Room.FREE
    held.add(OTHER, 1)
    assert held.room_for(second, 50_000) is Room.LATER


@pytest.mark.parametrize(
    ('size', 'room'),
    [(LIMIT, Room.NEVER), (LIMIT // 2, Room.FREE), (0, Room.FREE)],
)
def test_what_can_never_fit_does_not_wait(size, room) -> None:
    assert HeldBytes(LIMIT).room_for(GREEDY, size) is room


def test_released_bytes_leave_no_trace() -> None:
    """Accounts come and go for weeks: none of them is kept."""
    held = HeldBytes(LIMIT)
    held.add(GREEDY, 10)
    held.add(PEER, 20)
    assert (held.held_by(Side.CALLERS), held.held_by(Side.PEERS)) == (10, 20)
    assert held.largest() == (PEER.host, 20)
    held.remove(GREEDY, 10)
    held.remove(PEER, 20)
    assert held.used_bytes == 0
    assert held.largest() == ('', 0)


def test_budget_follows_the_memory_of_the_instance() -> None:
    assert budget_bytes(200) == 50_000_000
    assert budget_bytes(552) > 2 * budget_bytes(200)
    assert budget_bytes(0) == MAX_BODIES_BYTES
