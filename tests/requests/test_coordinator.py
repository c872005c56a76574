"""What is tried again, and what callers are told."""

import asyncio
import os
from collections import deque
from collections.abc import Mapping
from itertools import repeat
from types import MappingProxyType

import pytest

from plantaingrade.admission.repeats import RepeatBudget
from plantaingrade.balance.entity import Load, Room
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
from plantaingrade.requests.patience import Patience
from plantaingrade.requests.targets import TargetChooser
from tests.virtual import LoopClock, run

SERVED = Answered(Answer(200, (), b'done'))
BROKEN = Unknown(UnknownReason.BROKEN)
SHED = NotRun(NotRunReason.SERVER_REFUSED)
FULL = NotRun(NotRunReason.QUEUE_FULL, 0.2)
DOWN = NotRun(NotRunReason.PEER_DOWN)
OWN = Member('s@1', 's', 'a', '1', 'b1')
NEAR = Member('s@2', 's', 'a', '2', 'b2')
FAR = Member('s@3', 's', 'b', '3', 'b3')
KEYED = (Member('k@4', 'k', 'a', '4', 'b4'), Member('k@5', 'k', 'b', '5', 'b5'))

NO_LOADS: Mapping[str, Load] = MappingProxyType({})


async def async_ask_nobody(*_) -> dict[str, Room]:
    """Return no answer of any member."""
    return {}


class FakePath:
    """Answer with outcomes set by the test, and note who was asked."""

    def __init__(self, outcomes: list[Outcome]) -> None:
        self.outcomes = deque(outcomes)
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
    """A configuration that is in force, or none."""

    version = 3

    def __init__(self, *routes: Route) -> None:
        limits = Limits(16384, 1000, 3, 15)
        config = RoutingConfig(3, routes, {}, limits)
        self.routes = RouteTable(config) if routes else None


def route(service: str, *, is_idempotent: bool) -> Route:
    shares = (ServiceShare(service, 1),)
    prefix = '/i/' if is_idempotent else '/o/'
    return Route(
        prefix, 'x', f'/{service}{prefix}', shares, is_idempotent, 1, 1, 0, 2
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
) -> tuple[Outcome | NoRoute, list[str]]:
    """Return the outcome of one request, and who was asked for it."""
    paths = FakePath(outcomes)
    pulled = paths.on_pull
    directory = Directory()
    for member in members:
        directory.add(member)
    maps = KeyMaps()
    names = [member.name for member in KEYED]
    maps.update_if_newer('k', split_evenly(names).at_version(1))

    async def story():
        clock = LoopClock()
        now = clock.now()
        for name in unreachable:
            directory.on_unreachable(name, now)
        caller = CallerRequest(
            b'id', b'POST', path.encode(), b'x', key, (), b'', now, now + 0.5
        )
        coordinator = RequestCoordinator(
            OWN,
            FakeConfig(*routes),
            TargetChooser(
                OWN,
                directory,
                maps,
                clock,
                pulled,
                lambda _: None,
                lambda name, _: load_by_name.get(name),
                async_ask_nobody,
            ),
            paths,
            paths,
            RepeatBudget(0.2, 50, 10),
            clock,
            EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
            lambda *_: None,
        )
        return await coordinator.async_serve(caller)

    return run(story()), paths.asked


def test_a_server_in_the_own_zone_is_asked_first() -> None:
    outcome, asked = ask('/s/i/1', [SERVED])
    assert outcome == SERVED
    assert asked[0] in {OWN.name, NEAR.name}


def test_the_owner_of_the_key_is_asked() -> None:
    _, asked = ask('/k/o/1', [SERVED], key=10)
    assert asked == ['k@4']
    _, asked = ask('/k/o/1', [SERVED], key=60_000)
    assert asked == ['k@5']


def test_a_server_that_takes_no_work_is_asked_once() -> None:
    """Requests to services without keys carry keys too. A drained server is
    asked, refuses, and is asked again until the tries are spent.
    """
    drained = NotRun(NotRunReason.DRAINING)
    for _ in range(10):
        outcome, asked = ask('/s/o/1', [drained, SERVED], key=7)
        assert outcome == SERVED
        assert len(set(asked)) == 2


def test_a_redirect_is_followed_at_once() -> None:
    moved = NotRun(NotRunReason.NOT_OWNER, 0, 'k@5')
    outcome, asked = ask('/k/o/1', [moved, SERVED], key=10)
    assert outcome == SERVED
    assert asked == ['k@4', 'k@5']


@pytest.mark.parametrize('refusal', [DOWN, SHED])
def test_what_was_not_run_is_tried_elsewhere(refusal) -> None:
    outcome, asked = ask('/s/o/1', [refusal, SERVED])
    assert outcome == SERVED
    assert len(set(asked)) == 2


def test_what_may_have_run_is_repeated_only_if_idempotent() -> None:
    """A server's connection breaks in the middle of a request.

    A booking that may have been made must not be sent again; reading a
    listing may.
    """
    outcome, asked = ask('/s/o/1', [BROKEN, SERVED])
    assert outcome == BROKEN
    assert len(asked) == 1
    outcome, asked = ask('/s/i/1', [BROKEN, SERVED])
    assert outcome == SERVED
    assert len(asked) == 2


@pytest.mark.parametrize('refusal', [FULL, DOWN])
def test_a_refused_repeat_does_not_say_that_nothing_ran(refusal) -> None:
    """A server runs a read and is killed before it answers.

    The read is sent again, and the second try is refused. The caller must not
    be told that it has not run.
    """
    outcome, asked = ask('/k/i/1', [BROKEN, *repeat(refusal, 9)], key=10)
    assert outcome == BROKEN
    assert len(asked) > 1


def test_a_full_server_is_not_asked_again() -> None:
    """Each of the own zone's servers is full.

    Its process refuses before anything is sent. The same server is not asked
    again; another one that may have room is, but only one.
    """
    outcome, asked = ask('/s/i/1', [FULL, FULL, SERVED])
    assert outcome == FULL
    assert len(asked) == len(set(asked)) == 2
    outcome, asked = ask('/s/o/1', [FULL, SERVED])
    assert outcome == SERVED


def test_nobody_is_asked_after_a_refusal_if_all_are_full() -> None:
    full = {member.name: Load(1.5, 0.06, 6) for member in (OWN, NEAR, FAR)}
    outcome, asked = ask('/s/i/1', [FULL, SERVED], load_by_name=full)
    assert outcome == FULL
    assert len(asked) == 1


def test_a_full_owner_has_no_stand_in() -> None:
    """Only the owner of a key may serve it, so its refusal is final."""
    outcome, asked = ask('/k/o/1', [FULL, SERVED], key=10)
    assert outcome == FULL
    assert asked == ['k@4']


def test_requests_for_an_unreachable_owner_are_refused_at_once() -> None:
    """The owner's instance is cut off.

    Two requests in a row found no connection. Until it answers again, its
    callers are told at once to come back, rather than held until their time
    is up.
    """
    outcome, asked = ask('/k/o/1', [], key=10, unreachable=('k@4', 'k@4'))
    assert outcome.reason is NotRunReason.UNREACHABLE
    assert outcome.retry_after_s > 0
    assert asked == []


def test_one_lost_connection_does_not_make_an_owner_unreachable() -> None:
    outcome, _ = ask('/k/o/1', [SERVED], key=10, unreachable=('k@4',))
    assert outcome == SERVED


def test_repeats_at_servers_are_bounded() -> None:
    outcome, asked = ask('/s/i/1', list(repeat(SHED, 9)))
    assert outcome == SHED
    assert len(asked) <= 4


def test_nothing_is_tried_when_the_time_is_up() -> None:
    slow = list(repeat(DOWN, 9))
    outcome, asked = ask('/s/o/1', slow)
    assert isinstance(outcome, NotRun)
    assert len(asked) <= 4


def test_unknown_routes_and_missing_configurations_differ() -> None:
    """An operator's new route is not known to a process that has just
    started; it must not say that there is no such route.
    """
    assert ask('/nowhere/', [])[0] == NoRoute()
    outcome, _ = ask('/s/i/1', [], routes=())
    assert outcome.reason is NotRunReason.NO_CONFIG


def test_a_service_without_any_server_refuses() -> None:
    outcome, _ = ask('/s/i/1', [], members=())
    assert outcome.reason is NotRunReason.NO_SERVER


def test_patience_tells_who_comes_back() -> None:
    patience = Patience()
    for deadline_ms in (500, 500, 499, 500, 470, 500):
        patience.waited_s('r', deadline_ms)
    assert patience.waited_s('r', 500) == pytest.approx(0)
    assert patience.waited_s('r', 499) == pytest.approx(0)
    assert patience.waited_s('r', 380) == pytest.approx(0.12)
    assert patience.waited_s('other', 380) == pytest.approx(0)


def test_patience_follows_a_new_deadline() -> None:
    patience = Patience()
    for _ in range(100):
        patience.waited_s('r', 500)
    for _ in range(1000):
        patience.waited_s('r', 300)
    assert patience.waited_s('r', 300) == pytest.approx(0)
    assert patience.waited_s('r', 200) == pytest.approx(0.1)


def test_a_suspect_is_passed_over_for_a_while() -> None:
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


def test_an_unreachable_member_is_tried_now_and_then() -> None:
    """A member was cut off and has come back.

    One request in half a second tries it; the first answer ends the wait for
    all others. A new run of its process ends it too.
    """
    directory = Directory()
    directory.add(NEAR)
    assert not directory.on_unreachable(NEAR.name, 10.0)
    assert directory.may_ask(NEAR.name, 10.1)
    assert directory.on_unreachable(NEAR.name, 10.1)
    assert not directory.may_ask(NEAR.name, 10.2)
    assert directory.may_ask(NEAR.name, 10.7)
    assert not directory.may_ask(NEAR.name, 10.8)
    assert directory.trust(NEAR.name)
    assert directory.may_ask(NEAR.name, 10.9)
    assert not directory.trust(NEAR.name)
    directory.on_unreachable(NEAR.name, 11.0)
    directory.on_unreachable(NEAR.name, 11.0)
    directory.add(Member('s@2', 's', 'a', '2', 'again'))
    assert directory.may_ask(NEAR.name, 11.1)


def test_a_member_that_is_gone_for_good_is_tried_ever_more_rarely() -> None:
    """An instance was lost, and its row stays in the store.

    Each try holds a request up until no connection was made.
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
