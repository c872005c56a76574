"""Requests through whole processes, with servers that misbehave."""

import asyncio

import pytest

from tests.sidecar.harness import KEYED, PLAIN, Harness


def story_of(net: int, services: tuple[str, ...], story) -> None:
    async def play() -> None:
        async with Harness(net) as rig:
            for service in services:
                await rig.async_add(service)
            if KEYED in services:
                await rig.async_until_served()
            else:
                await rig.async_until(
                    lambda: all(place.process.is_ready for place in rig.nodes)
                )
                await asyncio.sleep(0.5)
            await story(rig)
            assert not rig.record.two_owners

    asyncio.run(play())


def test_work_whose_answer_is_lost_is_not_run_again() -> None:
    """A server runs a booking, and its connection breaks before the answer.

    The caller is told that nobody knows, and the booking is not made twice.
    """

    async def story(rig: Harness) -> None:
        for place in rig.nodes:
            place.server.faults.reset_answers = 1
        reply = await rig.async_ask(rig.nodes[0], '/cases/1', 'r1', 5)
        assert reply.status == 502
        assert b'retry-after' not in reply.headers
        assert rig.record.times_run('r1') == 1

    story_of(61, (KEYED, KEYED), story)


def test_reading_whose_answer_is_lost_is_repeated() -> None:
    async def story(rig: Harness) -> None:
        for place in rig.nodes:
            place.server.faults.reset_answers = 1
        reply = await rig.async_ask(
            rig.nodes[0], '/read/1', 'r1', 5, method='GET'
        )
        assert reply.status == 200
        assert rig.record.times_run('r1') == 2

    story_of(62, (KEYED, KEYED), story)


def test_a_repeated_answer_never_reaches_another_caller() -> None:
    """Servers send a second answer to each request, which arrives where the
    next answer on the same connection is due.
    """

    async def story(rig: Harness) -> None:
        for place in rig.nodes:
            place.server.faults.repeat_answers = 10
        for number in range(20):
            name = f'r{number}'
            reply = await rig.async_ask(rig.nodes[0], '/cases/1', name, 5)
            assert reply.status == 200
            assert reply.body == f'done {name}'.encode()
            assert reply.headers[b'attempt-id'] == name.encode()

    story_of(63, (KEYED,), story)


def test_a_refusing_server_is_passed_over() -> None:
    async def story(rig: Harness) -> None:
        for place in rig.nodes:
            place.server.faults.refuse = 1
        reply = await rig.async_ask(rig.nodes[0], '/letters/1', 'r1', 5)
        times_by_status = {200: 1, 503: 0}
        assert rig.record.times_run('r1') == times_by_status[reply.status]

    story_of(64, (PLAIN, PLAIN, PLAIN), story)


def test_silence_of_a_server_ends_at_the_deadline() -> None:
    """A server takes a booking and never answers. The caller gets its final
    answer at its deadline, and it promises nothing.
    """

    async def story(rig: Harness) -> None:
        place = rig.nodes[0]
        place.server.faults.lose_answers = 1
        reply = await rig.async_ask(place, '/cases/1', 'r1', 5, deadline_ms=300)
        assert reply.status == 504
        assert rig.record.times_run('r1') == 1

    story_of(65, (KEYED,), story)


@pytest.mark.parametrize(
    ('path', 'status'), [('/nowhere/1', 404), ('/cases', 404)]
)
def test_unknown_routes_are_refused(path, status) -> None:
    async def story(rig: Harness) -> None:
        reply = await rig.async_ask(rig.nodes[0], path, 'r1', 5)
        assert reply.status == status

    story_of(66, (PLAIN,), story)


def test_a_server_that_restarts_is_served_again_without_its_heartbeat() -> None:
    """A server crashes and starts again at once. The next request names the
    old life, and the server's refusal tells of the new one.
    """

    async def story(rig: Harness) -> None:
        place = rig.nodes[0]
        await place.server.async_crash()
        await rig.async_start_server(place)
        await rig.async_until_served()
        reply = await rig.async_ask(place, '/cases/1', 'r1', 5)
        assert reply.status == 200
        assert rig.record.runs[-1].instance == place.server.instance

    story_of(67, (KEYED,), story)


def test_a_killed_process_takes_its_keys_up_again() -> None:
    async def story(rig: Harness) -> None:
        place = rig.nodes[0]
        await rig.async_kill(place)
        await rig.async_start(place)
        await rig.async_until_served()
        for key in (0, 40_000, 65_535):
            reply = await rig.async_ask(place, '/cases/1', f'k{key}', key)
            assert reply.status == 200

    story_of(68, (KEYED, KEYED), story)


def test_a_hot_spot_is_spread_over_servers() -> None:
    """A few neighbouring keys bring more than one server can serve.

    Some of them pass to the other server, and callers are answered all the
    while.
    """

    async def story(rig: Harness) -> None:
        for place in rig.nodes:
            place.server.plan = place.plan

        async def press(place, number: int) -> int:
            key = number % 20
            reply = await rig.async_ask(
                place, '/read/1', f'h{number}', key, method='GET'
            )
            return reply.status

        served: set[str] = set()
        number = 0
        while len(served) < 2:
            numbers = range(number, number + 30)
            number += 30
            await asyncio.gather(
                *(press(rig.nodes[each % 2], each) for each in numbers)
            )
            served = {
                run.instance for run in rig.record.runs if run.key in range(20)
            }
            assert number < 6000

    story_of(69, (KEYED, KEYED), story)


def test_requests_for_keys_of_a_crashed_server_are_refused_at_once() -> None:
    """A server crashes and stays away for a while.

    Each request for its keys was tried four times, 20 ms apart, or waited for
    the keys to be held; its caller could have been told at once when to come
    back, and the process spent a fifth of a core on the tries.
    """

    async def story() -> tuple[int, bytes, int]:
        async with Harness(71) as rig:
            place = await rig.async_add(KEYED)
            await rig.async_until_served()
            await place.server.async_crash()
            await rig.async_until(lambda: not place.process._orders.session)
            refused = []
            place.process._log.count_by(refused.append)
            reply = await rig.async_ask(place, '/cases/1', 'crashed', 5)
            headers = dict(reply.headers)
            return reply.status, headers[b'retry-after'], len(refused)

    status, retry_after, events = asyncio.run(story())
    assert status == 503
    assert float(retry_after) > 0
    # One line of the process beside the server, one of the caller's.
    assert events == 2
