"""Tests of requests that are sent on to the processes of other servers."""

import asyncio
import os

from plantaingrade.balance.entity import Load
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import BootClock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.client import read_body
from plantaingrade.http.pool import Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    Headers,
    Outcome,
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.hop import (
    KnownVersions,
    decode_hop,
    encode_load,
)
from plantaingrade.requests.peer_path import PeerPath
from plantaingrade.requests.process_end import ProcessEnd
from plantaingrade.sidecar.endpoints import refuse_malformed, send_answer

HOST = '127.0.0.1'
PORT = 18_781
MEMBER = Member('cases@b', 'cases', 'a', f'{HOST}:{PORT}', 'boot')


def serve_answered_with(
    headers: Headers,
    limits_s: list[float] | None = None,
    ends_in_s: float | None = None,
) -> Outcome:
    """Return the outcome of a request whose answer has these headers.

    The time that the receiver is given is added to ``limits_s``. The sender
    ends after ``ends_in_s``, if that is given.
    """

    async def async_answer(raw, channel) -> None:
        body = await read_body(channel)
        if limits_s is not None:
            routed, _ = decode_hop(raw, body, 0.0)
            limits_s.append(routed.until)
        send_answer(channel, Answer(200, headers, b'done'))

    async def scenario() -> Outcome:
        clock = BootClock()
        now = clock.now()
        caller = CallerRequest(
            b'id1', b'POST', b'/a', b'x.example', 5, (), b'', now, now + 2
        )
        routed = RoutedRequest(
            caller, 'letters', 'cases', False, 1, now + 2, now + 2
        )
        server = HttpServer(clock, async_answer, refuse_malformed)
        await server.async_listen(HOST, PORT)
        end = ProcessEnd()
        if ends_in_s is not None:
            end.plan(now, now + ends_in_s)
        with Pool(clock) as pool:
            path = PeerPath(
                Directory(),
                PeerLoads(),
                pool,
                BufferBudget(),
                clock,
                lambda _: KnownVersions(1, 1),
                end,
                EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
            )
            outcome = await path.async_serve(routed, MEMBER)
        await server.async_close()
        return outcome

    return asyncio.run(scenario())


def test_answer_of_a_server_is_sent_on() -> None:
    headers = (encode_load(Load(0.5, 0.01, 4)),)
    assert serve_answered_with(headers) == Answered(Answer(200, (), b'done'))


def test_answer_to_no_hop_is_not_taken_for_that_of_a_server() -> None:
    """Guards against a success for work that no server has done."""
    assert serve_answered_with(()) == Unknown(UnknownReason.PEER_BROKEN)


def test_work_for_a_process_that_stops_is_limited_by_its_end() -> None:
    """Guards against work that waits until nobody can receive its answer."""
    headers = (encode_load(Load(0.5, 0.01, 4)),)
    limits_s: list[float] = []
    serve_answered_with(headers, limits_s)
    serve_answered_with(headers, limits_s, ends_in_s=1)
    calm_s, limited_s = limits_s
    assert calm_s > 1
    assert limited_s <= 1
