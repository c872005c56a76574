"""Members are asked how soon their servers could run a request."""

import asyncio

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.peers.entity import Member, RoomAsked, RoomTold
from plantaingrade.peers.rooms import (
    ANSWER_LIMIT_S,
    SILENT_PAUSE_S,
    RoomInquiries,
)
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '10.0.0.1:1', 'b1')
NEAR = Member('s@2', 's', 'a', '10.0.0.2:1', 'b2')
FAR = Member('s@3', 's', 'b', '10.0.0.3:1', 'b3')
OWN_ROOM = FreeCapacity(0.0, 0.05)
WAY_S = 0.002


class Sent:
    """Keep what is sent."""

    def __init__(self) -> None:
        self.told: list[RoomTold] = []

    def send(self, told: RoomTold, _: str) -> None:
        self.told.append(told)


class FakeEndpoint:
    """Answer questions after a while, for members that answer at all."""

    def __init__(self, told_by_address: dict[str, RoomTold]) -> None:
        self.told_by_address = told_by_address
        self.asked: list[str] = []
        self.way_s = WAY_S
        self.inquiries: RoomInquiries | None = None

    def send_all(self, question: RoomAsked, addresses: list[str]) -> None:
        loop = asyncio.get_running_loop()
        self.asked.extend(addresses)
        for address in addresses:
            told = self.told_by_address.get(address)
            if told is not None:
                answer = RoomTold(
                    question.number, told.name, told.wait_ms, told.work_ms
                )
                loop.call_later(self.way_s, self.inquiries.on_datagram, answer)


def inquire(endpoint: FakeEndpoint) -> RoomInquiries:
    endpoint.inquiries = RoomInquiries(
        OWN, endpoint, LoopClock(), lambda *_: OWN_ROOM
    )
    return endpoint.inquiries


def test_members_that_answer_are_known_as_soon_as_all_have() -> None:
    endpoint = FakeEndpoint(
        {
            '10.0.0.2:1': RoomTold(0, 's@2', 30, 60),
            '10.0.0.3:1': RoomTold(0, 's@3'),
        }
    )

    async def story() -> None:
        inquiries = inquire(endpoint)
        loop = asyncio.get_running_loop()
        began = loop.time()
        rooms = await inquiries.async_ask([OWN, NEAR, FAR], '1o', 1)
        # The third takes no work; the own server is asked without a datagram.
        assert rooms == {'s@1': OWN_ROOM, 's@2': FreeCapacity(0.03, 0.06)}
        assert loop.time() - began < ANSWER_LIMIT_S
        assert endpoint.asked == ['10.0.0.2:1', '10.0.0.3:1']

    run(story())


def test_a_lost_member_delays_one_request_and_not_the_next_ones() -> None:
    """An instance without power is asked for its room by every request."""
    endpoint = FakeEndpoint({'10.0.0.2:1': RoomTold(0, 's@2', 0, 60)})

    async def story() -> None:
        inquiries = inquire(endpoint)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert set(await inquiries.async_ask([NEAR, FAR], '1o', 1)) == {'s@2'}
        assert loop.time() - began >= ANSWER_LIMIT_S
        endpoint.asked.clear()
        began = loop.time()
        assert set(await inquiries.async_ask([NEAR, FAR], '1o', 1)) == {'s@2'}
        assert loop.time() - began < ANSWER_LIMIT_S
        assert endpoint.asked == ['10.0.0.2:1']
        await asyncio.sleep(SILENT_PAUSE_S)
        endpoint.asked.clear()
        await inquiries.async_ask([NEAR, FAR], '1o', 1)
        assert endpoint.asked == ['10.0.0.2:1', '10.0.0.3:1']

    run(story())


def test_an_answer_that_comes_late_ends_the_silence_only() -> None:
    endpoint = FakeEndpoint({'10.0.0.2:1': RoomTold(0, 's@2', 0, 60)})
    endpoint.way_s = 2 * ANSWER_LIMIT_S

    async def story() -> None:
        inquiries = inquire(endpoint)
        assert not await inquiries.async_ask([NEAR], '1o', 1)
        await asyncio.sleep(endpoint.way_s)
        endpoint.way_s = WAY_S
        assert set(await inquiries.async_ask([NEAR], '1o', 1)) == {'s@2'}

    run(story())


def test_nobody_is_asked_where_nobody_is_known() -> None:
    endpoint = FakeEndpoint({})

    async def story() -> None:
        assert not await inquire(endpoint).async_ask([], '1o', 1)
        assert not endpoint.asked

    run(story())


def test_a_question_for_a_service_that_had_this_address_is_left() -> None:
    endpoint = Sent()
    desk = RoomInquiries(OWN, endpoint, LoopClock(), lambda *_: OWN_ROOM)
    desk.on_datagram(RoomAsked(4, '10.0.0.2:1', 'other', '1o', 1))
    assert not endpoint.told
    desk.on_datagram(RoomAsked(5, '10.0.0.2:1', 's', '1o', 1))
    assert endpoint.told == [RoomTold(5, 's@1', 0, 50)]


def test_a_question_of_another_writer_is_answered_nowhere() -> None:
    endpoint = Sent()
    desk = RoomInquiries(OWN, endpoint, LoopClock(), lambda *_: OWN_ROOM)
    for address in ('', '10.0.0.2', 'x:1', '10.0.0.2:0', '10.0.0.2:99999'):
        desk.on_datagram(RoomAsked(4, address, 's', '1o', 1))
    assert not endpoint.told
