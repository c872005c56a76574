"""How many bytes of requests a server gets at a time, learned from crashes."""

import pytest

from plantaingrade.admission.entity import Start, Ticket, Wait
from plantaingrade.admission.estimate import WorkEstimate
from plantaingrade.admission.server_bytes import ServerBytes
from plantaingrade.admission.slots import SlotQueue

BODY = 60_000
MEMORY = 400_000


def crash(at_server: ServerBytes, now: float) -> None:
    """Break all connections of a server, then find that nothing listens."""
    at_server.on_broken(now)
    at_server.remove(at_server.running)
    at_server.on_crash(now)


def crashes_of_a_server(*, learns: bool) -> int:
    """Return how often a server with a memory bound crashes in 60 s.

    It is offered nine bodies at a time, which exceed its memory together.
    """
    at_server = ServerBytes()
    crashes = 0
    for now in range(60):
        sent = 0
        while sent < 9 and (not learns or at_server.admits(BODY, now)):
            at_server.add(BODY)
            sent += 1
        if at_server.running > MEMORY:
            crashes += 1
            crash(at_server, now)
        else:
            at_server.on_answer(at_server.running)
            at_server.remove(at_server.running)
    return crashes


def test_server_does_not_crash_again_and_again_from_what_it_holds() -> None:
    """A server crashes when it holds too many bytes. Sent the same again, it
    would never serve anything.
    """
    assert crashes_of_a_server(learns=False) == 60
    assert crashes_of_a_server(learns=True) <= 3


def test_crash_with_what_was_survived_before_limits_nothing() -> None:
    """A server crashes for another reason while it runs as many uploads as
    usual: uploads must not slow down afterwards.
    """
    at_server = ServerBytes()
    at_server.add(5 * BODY)
    at_server.on_answer(5 * BODY)
    crash(at_server, 1.0)
    assert at_server.limit_at(1.0) is None


def test_crash_with_short_requests_limits_nothing() -> None:
    at_server = ServerBytes()
    at_server.add(3_000)
    crash(at_server, 1.0)
    assert at_server.limit_at(1.0) is None


def test_limit_rises_and_ends_without_further_crashes() -> None:
    """The crash had another cause, or the next server has more memory."""
    at_server = ServerBytes()
    at_server.add(5 * BODY)
    crash(at_server, 1.0)
    first = at_server.limit_at(1.0)
    assert first < 5 * BODY
    assert at_server.limit_at(20.0) > first
    assert at_server.limit_at(100.0) is None


def test_a_body_above_the_limit_is_sent_alone() -> None:
    at_server = ServerBytes()
    at_server.add(2 * BODY)
    crash(at_server, 1.0)
    assert at_server.admits(10 * BODY, 1.0)
    at_server.add(10 * BODY)
    assert not at_server.admits(BODY, 1.0)
    assert at_server.admits(0, 1.0)


@pytest.fixture
def queue() -> SlotQueue:
    """Return a queue whose server crashed with three bodies."""
    queue = SlotQueue(9, WorkEstimate())
    memory = queue.limits.memory
    memory.add(3 * BODY)
    crash(memory, 0.0)
    return queue


def test_uploads_wait_for_bytes_and_leave_the_slots_to_others(queue) -> None:
    """Bytes are short, slots are not: an upload waits without polling, and
    starts when another one has ended.
    """
    first, second = (Ticket('u', 1, 9.0, 9.0, size=BODY) for _ in range(2))
    assert isinstance(queue.offer(first, 0.0), Start)
    assert isinstance(queue.offer(second, 0.0), Wait)
    assert queue.next_fill_s(0.0) is None
    other = Ticket('r', 2, 9.0, 9.0)
    queue.offer(other, 0.0)
    assert queue.fill(0.0) == [Start(other)]
    assert queue.release(first, 0.1) == [Start(second)]


def test_bytes_of_a_ticket_count_once(queue) -> None:
    ticket = Ticket('u', 1, 9.0, 9.0, size=BODY)
    queue.offer(ticket, 0.0)
    queue.release(ticket, 0.1)
    queue.release(ticket, 0.2)
    assert queue.limits.memory.running == 0
