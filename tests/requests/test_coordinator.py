"""Tests of retries and of the outcomes returned to callers."""

import asyncio
import os
from collections import deque
from collections.abc import Mapping
from itertools import repeat
from types import MappingProxyType

import pytest

from plantaingrade.admission.service_retries import ServiceRetryBudget
from plantaingrade.balance.entity import FreeCapacity, Load
from plantaingrade.config.entity import (
    Limits,
    Route,
    RoutingConfig,
    ServiceShare,
)
from plantaingrade.config.lookup import RouteTable
from plantaingrade.eventlog import EventLog
from plantaingrade.keyspace.assign import split_evenly
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member
from plantaingrade.requests.coordinator import NoRoute, RequestCoordinator
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.process_end import ProcessEnd
from plantaingrade.requests.targets import TargetChooser
from plantaingrade.requests.usual_deadlines import UsualDeadlines
from tests.virtual import LoopClock, run

SERVED = Answered(Answer(200, (), b'done'))
BROKEN = Unknown(UnknownReason.BROKEN)
REFUSED = NotRun(NotRunReason.SERVER_REFUSED)
FULL = NotRun(NotRunReason.QUEUE_FULL, 0.2)
DOWN = NotRun(NotRunReason.PEER_DOWN)
OWN = Member('s@1', 's', 'a', '1', 'b1')
NEAR = Member('s@2', 's', 'a', '2', 'b2')
FAR = Member('s@3', 's', 'b', '3', 'b3')
KEYED = (Member('k@4', 'k', 'a', '4', 'b4'), Member('k@5', 'k', 'b', '5', 'b5'))

NO_LOADS: Mapping[str, Load] = MappingProxyType({})


async def async_poll_no_capacity(*_) -> dict[str, FreeCapacity]:
    """Return no free capacity of any member."""
    return {}


class FakePaths:
    """Return outcomes set by the test, and record which members were asked."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        self.outcomes = deque(outcomes)
        self.end = ProcessEnd()
        self.asked: list[str] = []
        self.pulled: list[str] = []

    def on_pull(self, service: str, member: Member) -> None:
        self.pulled.append(member.name)

    async def async_serve(self, routed, member=OWN, version=0) -> Outcome:
        await asyncio.sleep(0.01)
        name = member.name if isinstance(member, Member) else OWN.name
        self.asked.append(name)
        return self.outcomes.popleft()


class FakeConfig:
    """An active configuration, or none."""

    version = 3

    def __init__(self, *routes: Route, is_behind: bool = False) -> None:
        self.is_behind = is_behind
        limits = Limits(16384, 1000, 3, 15)
        config = RoutingConfig(3, routes, {}, limits)
        self.routes = RouteTable(config) if routes else None


def route(service: str, *, is_idempotent: bool, max_servers: int = 2) -> Route:
    shares = (ServiceShare(service, 1),)
    prefix = '/i/' if is_idempotent else '/o/'
    return Route(
        prefix,
        'x',
        f'/{service}{prefix}',
        shares,
        is_idempotent,
        1,
        1,
        0,
        max_servers,
    )


ROUTES = tuple(
    route(service, is_idempotent=kind)
    for service in ('s', 'k')
    for kind in (True, False)
)


def ask(
    path: str,
    outcomes: list[Outcome],
    *,
    key: int | None = None,
    routes: tuple[Route, ...] = ROUTES,
    members: tuple[Member, ...] = (OWN, NEAR, FAR, *KEYED),
    load_by_name: Mapping[str, Load] = NO_LOADS,
    unreachable: tuple[str, ...] = (),
    is_behind: bool = False,
) -> tuple[Outcome | NoRoute, list[str]]:
    """Return the outcome of one request and the members that were asked."""
    paths = FakePaths(outcomes)
    pulled = paths.on_pull
    directory = Directory()
    for member in members:
        directory.add(member)
    maps = KeyMaps()
    names = [member.name for member in KEYED]
    maps.update_if_newer('k', split_evenly(names).at_version(1))

    async def serve_once():
        clock = LoopClock()
        now = clock.now()
        for name in unreachable:
            directory.on_unreachable(name, now)
        caller = CallerRequest(
            b'id', b'POST', path.encode(), b'x', key, (), b'', now, now + 0.5
        )
        coordinator = RequestCoordinator(
            OWN,
            FakeConfig(*routes, is_behind=is_behind),
            TargetChooser(
                OWN,
                directory,
                maps,
                clock,
                pulled,
                lambda _: None,
                lambda name, _: load_by_name.get(name),
                async_poll_no_capacity,
            ),
            paths,
            paths,
            ServiceRetryBudget(0.2, 50, 10),
            clock,
            EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
            lambda *_: None,
        )
        return await coordinator.async_serve(caller)

    return run(serve_once()), paths.asked


def test_server_in_own_zone_is_tried_first() -> None:
    outcome, asked = ask('/s/i/1', [SERVED])
    assert outcome == SERVED
    assert asked[0] in {OWN.name, NEAR.name}


def test_request_goes_to_owner_of_key() -> None:
    _, asked = ask('/k/o/1', [SERVED], key=10)
    assert asked == ['k@4']
    _, asked = ask('/k/o/1', [SERVED], key=60_000)
    assert asked == ['k@5']


def test_drained_server_is_tried_once() -> None:
    """A drained server must not be tried again until all tries are used up.

    Requests to services without keys may carry a key as well.
    """
    drained = NotRun(NotRunReason.DRAINING)
    for _ in range(10):
        outcome, asked = ask('/s/o/1', [drained, SERVED], key=7)
        assert outcome == SERVED
        assert len(set(asked)) == 2


def test_redirect_is_followed() -> None:
    moved = NotRun(NotRunReason.NOT_OWNER, 0, 'k@5')
    outcome, asked = ask('/k/o/1', [moved, SERVED], key=10)
    assert outcome == SERVED
    assert asked == ['k@4', 'k@5']


@pytest.mark.parametrize('refusal', [DOWN, REFUSED])
def test_request_that_was_not_run_is_retried_elsewhere(refusal) -> None:
    outcome, asked = ask('/s/o/1', [refusal, SERVED])
    assert outcome == SERVED
    assert len(set(asked)) == 2


def test_unknown_outcome_is_retried_only_if_idempotent() -> None:
    """The connection to a server breaks in the middle of a request.

    A write that may have been run must not be sent again; a read may be.
    """
    outcome, asked = ask('/s/o/1', [BROKEN, SERVED])
    assert outcome == BROKEN
    assert len(asked) == 1
    outcome, asked = ask('/s/i/1', [BROKEN, SERVED])
    assert outcome == SERVED
    assert len(asked) == 2


@pytest.mark.parametrize('refusal', [FULL, DOWN])
def test_refused_retry_keeps_unknown_outcome(refusal) -> None:
    """A server is killed during a read, and the retry is refused.

    The caller must not receive the response that the request has not run.
    """
    outcome, asked = ask('/k/i/1', [BROKEN, *repeat(refusal, 9)], key=10)
    assert outcome == BROKEN
    assert len(asked) > 1


def test_full_server_is_not_tried_again() -> None:
    """All servers of the own zone are full.

    The process refuses before anything is sent. The same server is not tried
    again; one other server that may have free capacity is.
    """
    outcome, asked = ask('/s/i/1', [FULL, FULL, SERVED])
    assert outcome == FULL
    assert len(asked) == len(set(asked)) == 2
    outcome, asked = ask('/s/o/1', [FULL, SERVED])
    assert outcome == SERVED


def test_no_retry_if_all_servers_are_full() -> None:
    full = {member.name: Load(1.5, 0.06, 6) for member in (OWN, NEAR, FAR)}
    outcome, asked = ask('/s/i/1', [FULL, SERVED], load_by_name=full)
    assert outcome == FULL
    assert len(asked) == 1


def test_full_owner_has_no_substitute() -> None:
    """Only the owner may serve a key, so its refusal is final."""
    outcome, asked = ask('/k/o/1', [FULL, SERVED], key=10)
    assert outcome == FULL
    assert asked == ['k@4']


def test_requests_to_unreachable_owner_are_refused_immediately() -> None:
    """The owner's instance is unreachable.

    After two failed connections in a row, callers get Retry-After immediately
    until the owner responds again, instead of waiting for their deadline.
    """
    outcome, asked = ask('/k/o/1', [], key=10, unreachable=('k@4', 'k@4'))
    assert outcome.reason is NotRunReason.UNREACHABLE
    assert outcome.retry_after_s > 0
    assert asked == []


def test_one_lost_connection_does_not_make_owner_unreachable() -> None:
    outcome, _ = ask('/k/o/1', [SERVED], key=10, unreachable=('k@4',))
    assert outcome == SERVED


def test_retries_at_servers_are_bounded() -> None:
    outcome, asked = ask('/s/i/1', list(repeat(REFUSED, 9)))
    assert outcome == REFUSED
    assert len(asked) <= 4


@pytest.mark.parametrize('max_servers', [1, 2, 3])
@pytest.mark.parametrize('outcome', [BROKEN, REFUSED])
def test_request_reaches_no_more_servers_than_its_route_allows(
    outcome, max_servers
) -> None:
    """Guards against a read that runs on every server of a service."""
    routes = (route('s', is_idempotent=True, max_servers=max_servers),)
    final, asked = ask('/s/i/1', list(repeat(outcome, 9)), routes=routes)
    assert final == outcome
    assert len(set(asked)) == max_servers


def test_processes_that_refuse_do_not_count_as_servers() -> None:
    routes = (route('s', is_idempotent=True, max_servers=1),)
    outcome, asked = ask('/s/i/1', [DOWN, DOWN, SERVED], routes=routes)
    assert outcome == SERVED
    assert len(set(asked)) == 3


def test_key_that_moves_after_its_owner_was_reached_is_not_followed() -> None:
    routes = (route('k', is_idempotent=True, max_servers=1),)
    moved = NotRun(NotRunReason.NOT_OWNER, 0, 'k@5')
    outcome, asked = ask(
        '/k/i/1', [BROKEN, moved, SERVED], key=10, routes=routes
    )
    assert outcome == BROKEN
    assert asked == ['k@4', 'k@4']


def test_tries_are_bounded() -> None:
    slow = list(repeat(DOWN, 9))
    outcome, asked = ask('/s/o/1', slow)
    assert isinstance(outcome, NotRun)
    assert len(asked) <= 4


def test_unknown_route_differs_from_missing_configuration() -> None:
    """A process that has just started has no configuration yet; it must not
    respond that a route does not exist.
    """
    assert ask('/nowhere/', [])[0] == NoRoute()
    outcome, _ = ask('/s/i/1', [], routes=())
    assert outcome.reason is NotRunReason.NO_CONFIG


def test_route_that_a_newer_configuration_may_have_is_not_denied() -> None:
    """Guards against 404 for a route from a process that is behind."""
    outcome, _ = ask('/nowhere/', [], is_behind=True)
    assert outcome.reason is NotRunReason.OLD_CONFIG
    assert outcome.retry_after_s
    assert ask('/s/i/1', [SERVED], is_behind=True)[0] == SERVED


def test_service_without_servers_refuses() -> None:
    outcome, _ = ask('/s/i/1', [], members=())
    assert outcome.reason is NotRunReason.NO_SERVER


def test_shortened_deadlines_are_detected() -> None:
    usual = UsualDeadlines()
    for deadline_ms in (500, 500, 499, 500, 470, 500):
        usual.waited_s('r', deadline_ms)
    assert usual.waited_s('r', 500) == pytest.approx(0)
    assert usual.waited_s('r', 499) == pytest.approx(0)
    assert usual.waited_s('r', 380) == pytest.approx(0.12)
    assert usual.waited_s('other', 380) == pytest.approx(0)


def test_usual_deadline_follows_a_change() -> None:
    usual = UsualDeadlines()
    for _ in range(100):
        usual.waited_s('r', 500)
    for _ in range(1000):
        usual.waited_s('r', 300)
    assert usual.waited_s('r', 300) == pytest.approx(0)
    assert usual.waited_s('r', 200) == pytest.approx(0.1)


def test_suspect_member_is_skipped_for_a_while() -> None:
    directory = Directory()
    for member in (OWN, NEAR):
        directory.add(member)
    directory.suspect(NEAR.name, 10.0)
    assert directory.is_suspect(NEAR.name, 10.1)
    assert not directory.is_suspect(NEAR.name, 11.0)
    directory.suspect(NEAR.name, 20.0)
    assert directory.add(Member('s@2', 's', 'a', '2', 'again'))
    assert not directory.is_suspect(NEAR.name, 20.1)
    directory.remove(NEAR.name, 'b2')
    assert directory.find(NEAR.name) is not None
    directory.remove(NEAR.name, 'again')
    assert directory.find(NEAR.name) is None
    assert [member.name for member in directory.serving('s')] == [OWN.name]


def test_unreachable_member_is_probed() -> None:
    """A member was unreachable and is reachable again.

    One request every half second probes it; its first response or a new
    start of its process makes it available for all requests again.
    """
    directory = Directory()
    directory.add(NEAR)
    assert not directory.on_unreachable(NEAR.name, 10.0)
    assert directory.may_ask(NEAR.name, 10.1)
    assert directory.on_unreachable(NEAR.name, 10.1)
    assert not directory.may_ask(NEAR.name, 10.2)
    assert directory.may_ask(NEAR.name, 10.7)
    assert not directory.may_ask(NEAR.name, 10.8)
    assert directory.clear_suspicion(NEAR.name)
    assert directory.may_ask(NEAR.name, 10.9)
    assert not directory.clear_suspicion(NEAR.name)
    directory.on_unreachable(NEAR.name, 11.0)
    directory.on_unreachable(NEAR.name, 11.0)
    directory.add(Member('s@2', 's', 'a', '2', 'again'))
    assert directory.may_ask(NEAR.name, 11.1)


def test_probes_of_a_lost_member_back_off() -> None:
    """An instance is lost, but its row stays in the store.

    Each probe delays a request until the connection attempt fails.
    """
    directory = Directory()
    directory.add(NEAR)
    tries = 0
    for tick in range(300):
        now = tick / 10
        if directory.may_ask(NEAR.name, now):
            directory.on_unreachable(NEAR.name, now)
            tries += 1
    assert tries <= 20


def test_owner_that_keeps_its_keys_until_its_end_is_asked_once() -> None:
    """Guards against four requests where the owner has told when to return."""
    refusal = NotRun(NotRunReason.LEAVING, 2.8)
    outcome, asked = ask('/k/o/1', [refusal, SERVED], key=10)
    assert outcome == refusal
    assert asked == ['k@4']
