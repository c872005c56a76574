"""Members that take turns, with faults of the member that grants them."""

import asyncio
import os

from plantaingrade.eventlog import EventLog
from plantaingrade.holds.map_turn_queue import (
    TURN_LIMIT_S,
    USUAL_TURN_S,
    MapTurnRank,
)
from plantaingrade.keyspace.assign import reassign, split_evenly
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.entity import MapChanged, Member, TurnAnswer, TurnEnded
from plantaingrade.peers.map_turn_taking import MapTurn
from plantaingrade.peers.map_turns import ANSWER_TIMEOUT_S
from tests.holds.fakes import FakeTurnNetwork
from tests.virtual import LoopClock, run

MEMBERS = [
    Member(f's@{number}', 's', 'a', f'10.0.0.{number}:7', f'b{number}')
    for number in range(6)
]
NAMES = [member.name for member in MEMBERS]
GRANTER = MEMBERS[0].address
LIMIT_S = 0.4
# Longest loss of time to a member that grants no turns.
MAX_LOSS_S = 0.1


class Service:
    """Members of one service that know the same map."""

    def __init__(self) -> None:
        """Connect all members; the first owner grants the turns."""
        self.network = FakeTurnNetwork()
        self.maps = [KeyMaps() for _ in MEMBERS]
        log = EventLog('t', LoopClock(), os.open(os.devnull, os.O_WRONLY))
        self.turns = [
            self.network.connect(member, maps, log)
            for member, maps in zip(MEMBERS, self.maps, strict=True)
        ]
        self.set_map(NAMES)

    def set_map(self, owners: list[str], version: int = 1) -> None:
        for maps in self.maps:
            key_map = split_evenly(tuple(owners)).at_version(version)
            maps.update_if_newer('s', key_map)

    async def async_take(
        self, index: int, rank: MapTurnRank = MapTurnRank.UNSERVED
    ) -> MapTurn | None:
        return await self.turns[index].async_take(rank, LIMIT_S)


def now() -> float:
    return asyncio.get_running_loop().time()


def test_turns_follow_each_other() -> None:
    async def scenario() -> None:
        service = Service()
        running: list[int] = []

        async def change(index: int) -> None:
            turn = await service.async_take(index)
            assert turn is not None
            assert not running
            running.append(index)
            await asyncio.sleep(USUAL_TURN_S)
            running.remove(index)
            service.turns[index].give_back(turn, None)

        await asyncio.gather(*(change(index) for index in range(6)))
        assert sum(turns.taken for turns in service.turns) == 6

    run(scenario())


def test_a_lost_granter_costs_a_tenth_of_a_second() -> None:
    """The member that grants turns is lost, or its process is stopped."""

    async def scenario() -> None:
        service = Service()
        service.network.unreachable.add(GRANTER)
        started_at = now()
        assert await service.async_take(1) is None
        assert now() - started_at < MAX_LOSS_S
        # The next owner in the order of keys is asked from now on.
        assert (await service.async_take(1)).granter == NAMES[1]

    run(scenario())


def test_a_granter_lost_while_others_wait_is_noticed_at_their_turn() -> None:
    async def scenario() -> None:
        service = Service()
        assert await service.async_take(1)
        waiting = asyncio.create_task(service.async_take(2))
        await asyncio.sleep(ANSWER_TIMEOUT_S / 2)
        service.network.unreachable.add(GRANTER)
        started_at = now()
        assert await waiting is None
        assert now() - started_at < 2 * MAX_LOSS_S

    run(scenario())


def test_a_granter_that_was_stopped_gets_late_turns_back() -> None:
    """Its process is stopped with a queue, and goes on seconds later."""

    async def scenario() -> None:
        service = Service()
        held = await service.async_take(1)
        waiting = asyncio.create_task(service.async_take(2))
        await asyncio.sleep(ANSWER_TIMEOUT_S / 2)
        service.network.unreachable.add(GRANTER)
        assert await waiting is None
        service.network.unreachable.clear()
        service.turns[1].give_back(held, None)
        started_at = now()
        assert await service.async_take(3)
        assert now() - started_at < MAX_LOSS_S

    run(scenario())


def test_a_lost_answer_is_asked_for_again() -> None:
    async def scenario() -> None:
        service = Service()
        lost = []

        def is_lost(message) -> bool:
            if isinstance(message, TurnAnswer) and not lost:
                lost.append(message)
                return True
            return False

        service.network.is_lost = is_lost
        started_at = now()
        assert await service.async_take(1)
        assert now() - started_at < MAX_LOSS_S
        assert lost

    run(scenario())


def test_a_lost_return_of_a_turn_is_repeated() -> None:
    """The datagram that returns a turn is lost, so nobody gets the next."""

    async def scenario() -> None:
        service = Service()
        lost = []

        def is_lost(message) -> bool:
            if isinstance(message, TurnEnded) and not lost:
                lost.append(message)
                return True
            return False

        service.network.is_lost = is_lost
        service.turns[1].give_back(await service.async_take(1), None)
        started_at = now()
        assert await service.async_take(2)
        assert now() - started_at < MAX_LOSS_S
        assert lost

    run(scenario())


def test_a_turn_lapses_if_its_member_is_lost() -> None:
    async def scenario() -> None:
        service = Service()
        assert await service.async_take(1)
        service.network.unreachable.add(MEMBERS[1].address)
        started_at = now()
        assert await service.async_take(2)
        assert now() - started_at < TURN_LIMIT_S + MAX_LOSS_S
        assert service.turns[0].granter.lapsed == 1

    run(scenario())


def test_two_granters_grant_a_turn_each() -> None:
    """Two members know different maps, so they ask different members.

    Both get a turn: their changes conflict in the store as without turns.
    """

    async def scenario() -> None:
        service = Service()
        other = split_evenly(tuple(NAMES[4:])).at_version(2)
        service.maps[2].update_if_newer('s', other)
        first = await service.async_take(1)
        second = await service.async_take(2)
        assert (first.granter, second.granter) == (NAMES[0], NAMES[4])

    run(scenario())


def test_a_change_that_can_be_deferred_does_not_wait_in_vain() -> None:
    """Its keys are released, and it would come too late anyway."""

    async def scenario() -> None:
        service = Service()
        granter = service.turns[0].granter
        for number in range(30):
            granter._queue.request(f'x{number}', GRANTER, 1, 0, now() + LIMIT_S)
        started_at = now()
        assert await service.async_take(1, MapTurnRank.DEFERRABLE) is None
        assert now() - started_at < ANSWER_TIMEOUT_S
        assert service.turns[1].expected_wait_s() > LIMIT_S

    run(scenario())


def test_the_next_turn_waits_for_the_map_of_the_one_before() -> None:
    async def scenario() -> None:
        service = Service()
        turn = await service.async_take(1)
        key_map = split_evenly(tuple(NAMES)).at_version(2)
        service.maps[1].update_if_newer('s', key_map)
        service.turns[1].give_back(turn, None)
        taking = asyncio.create_task(service.async_take(2))
        started_at = now()
        await asyncio.sleep(USUAL_TURN_S / 2)
        assert not taking.done()
        service.maps[2].update_if_newer('s', key_map)
        turn = await taking
        assert turn.version == 2
        assert now() - started_at < USUAL_TURN_S

    run(scenario())


def test_a_change_comes_with_the_next_turn() -> None:
    """Its announcement is late or lost, so the next change would fail."""

    async def scenario() -> None:
        service = Service()
        turn = await service.async_take(1)
        before = service.maps[1].find('s')
        after = reassign(before, {KeyRange(0, 9): NAMES[3]}).at_version(2)
        change = MapChanged.from_maps('s', NAMES[1], before, after)
        service.turns[1].give_back(turn, change)
        await service.async_take(2)
        assert service.maps[2].find('s').assignments == after.assignments

    run(scenario())
