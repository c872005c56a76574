"""Capacity queries between members."""

import asyncio

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.peers.capacity_queries import (
    RESPONSE_TIMEOUT_S,
    UNRESPONSIVE_PAUSE_S,
    CapacityQueries,
)
from plantaingrade.peers.entity import CapacityRequest, CapacityResponse, Member
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '10.0.0.1:1', 'b1')
NEAR = Member('s@2', 's', 'a', '10.0.0.2:1', 'b2')
FAR = Member('s@3', 's', 'b', '10.0.0.3:1', 'b3')
OWN_CAPACITY = FreeCapacity(0.0, 0.05)
DELAY_S = 0.002


class RecordingEndpoint:
    """Record what is sent."""

    def __init__(self) -> None:
        self.sent: list[CapacityResponse] = []

    def send(self, response: CapacityResponse, _: str) -> None:
        self.sent.append(response)


class FakeEndpoint:
    """Answer requests after a delay, for members with a response."""

    def __init__(
        self, response_by_address: dict[str, CapacityResponse]
    ) -> None:
        self.response_by_address = response_by_address
        self.queried: list[str] = []
        self.delay_s = DELAY_S
        self.queries: CapacityQueries | None = None

    def send_all(self, request: CapacityRequest, addresses: list[str]) -> None:
        loop = asyncio.get_running_loop()
        self.queried.extend(addresses)
        for address in addresses:
            response = self.response_by_address.get(address)
            if response is not None:
                answer = CapacityResponse(
                    request.number,
                    response.name,
                    response.wait_ms,
                    response.work_ms,
                )
                loop.call_later(self.delay_s, self.queries.on_datagram, answer)


def make_queries(endpoint: FakeEndpoint) -> CapacityQueries:
    endpoint.queries = CapacityQueries(
        OWN, endpoint, LoopClock(), lambda *_: OWN_CAPACITY
    )
    return endpoint.queries


def test_query_ends_as_soon_as_all_members_have_answered() -> None:
    endpoint = FakeEndpoint(
        {
            '10.0.0.2:1': CapacityResponse(0, 's@2', 30, 60),
            '10.0.0.3:1': CapacityResponse(0, 's@3'),
        }
    )

    async def scenario() -> None:
        queries = make_queries(endpoint)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        capacities = await queries.async_ask([OWN, NEAR, FAR], '1o', 1)
        # The third accepts no work; the own server needs no datagram.
        assert capacities == {
            's@1': OWN_CAPACITY,
            's@2': FreeCapacity(0.03, 0.06),
        }
        assert loop.time() - started_at < RESPONSE_TIMEOUT_S
        assert endpoint.queried == ['10.0.0.2:1', '10.0.0.3:1']

    run(scenario())


def test_unresponsive_member_delays_only_one_request() -> None:
    """Every request queried an instance that had lost power."""
    endpoint = FakeEndpoint({'10.0.0.2:1': CapacityResponse(0, 's@2', 0, 60)})

    async def scenario() -> None:
        queries = make_queries(endpoint)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert set(await queries.async_ask([NEAR, FAR], '1o', 1)) == {'s@2'}
        assert loop.time() - started_at >= RESPONSE_TIMEOUT_S
        endpoint.queried.clear()
        started_at = loop.time()
        assert set(await queries.async_ask([NEAR, FAR], '1o', 1)) == {'s@2'}
        assert loop.time() - started_at < RESPONSE_TIMEOUT_S
        assert endpoint.queried == ['10.0.0.2:1']
        await asyncio.sleep(UNRESPONSIVE_PAUSE_S)
        endpoint.queried.clear()
        await queries.async_ask([NEAR, FAR], '1o', 1)
        assert endpoint.queried == ['10.0.0.2:1', '10.0.0.3:1']

    run(scenario())


def test_late_response_only_makes_the_member_responsive_again() -> None:
    endpoint = FakeEndpoint({'10.0.0.2:1': CapacityResponse(0, 's@2', 0, 60)})
    endpoint.delay_s = 2 * RESPONSE_TIMEOUT_S

    async def scenario() -> None:
        queries = make_queries(endpoint)
        assert not await queries.async_ask([NEAR], '1o', 1)
        await asyncio.sleep(endpoint.delay_s)
        endpoint.delay_s = DELAY_S
        assert set(await queries.async_ask([NEAR], '1o', 1)) == {'s@2'}

    run(scenario())


def test_nobody_is_queried_without_members() -> None:
    endpoint = FakeEndpoint({})

    async def scenario() -> None:
        assert not await make_queries(endpoint).async_ask([], '1o', 1)
        assert not endpoint.queried

    run(scenario())


def test_request_for_the_previous_service_of_an_address_is_ignored() -> None:
    endpoint = RecordingEndpoint()
    queries = CapacityQueries(
        OWN, endpoint, LoopClock(), lambda *_: OWN_CAPACITY
    )
    queries.on_datagram(CapacityRequest(4, '10.0.0.2:1', 'other', '1o', 1))
    assert not endpoint.sent
    queries.on_datagram(CapacityRequest(5, '10.0.0.2:1', 's', '1o', 1))
    assert endpoint.sent == [CapacityResponse(5, 's@1', 0, 50)]


def test_request_with_an_invalid_address_is_ignored() -> None:
    endpoint = RecordingEndpoint()
    queries = CapacityQueries(
        OWN, endpoint, LoopClock(), lambda *_: OWN_CAPACITY
    )
    for address in ('', '10.0.0.2', 'x:1', '10.0.0.2:0', '10.0.0.2:99999'):
        queries.on_datagram(CapacityRequest(4, address, 's', '1o', 1))
    assert not endpoint.sent
