"""Datagrams and calls of other writers, and of other versions."""

import asyncio
import json
import os

import pytest
from hypothesis import given

from plantaingrade.balance.book import LoadBook
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.lease import MemberRow, encode_member_row
from plantaingrade.holds.rows import TABLE, member_row
from plantaingrade.keyspace.assign import reassign, split_evenly
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.announcer import CODEC
from plantaingrade.peers.calls import OFFER_CODEC, REPLY_CODEC
from plantaingrade.peers.coordinator import (
    HANDED_CODEC,
    PeerCoordinator,
    PeerHooks,
)
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Goodbye,
    Handed,
    Hello,
    Introduced,
    LoadTold,
    MapChanged,
    Member,
    Offer,
    OfferReply,
    Passed,
    Token,
    Welcome,
)
from plantaingrade.store.entity import (
    Committed,
    Conflict,
    Expected,
    Put,
    RangeRead,
    Row,
    RowName,
    RowsWanted,
    Transaction,
)
from plantaingrade.store.epochs import StoreEpochs
from plantaingrade.store.relay import (
    COMMIT_CODEC,
    READ_CODEC,
    TRANSACTION_CODEC,
    WANTED_CODEC,
)
from tests.strangers import BAD_BODIES, changed
from tests.virtual import LoopClock, run

OWN = Member('s@1', 's', 'a', '127.0.0.1:1', 'b1')
OTHER = Member('s@2', 's', 'a', '127.0.0.1:2', 'b2')
OWNERS = ('s@1', 's@2', 's@3')
FIRST = split_evenly(OWNERS).at_version(1)
SECOND = reassign(FIRST, {KeyRange(0, 9): 's@3'}).at_version(2)
CHANGE = MapChanged.from_maps('s', 's@2', FIRST, SECOND)
NAME = RowName('t', 'p', 'k')
ROW = Row(NAME, b'body', 7)
EXAMPLES = (
    (CODEC, Hello(OTHER)),
    (CODEC, Welcome(OTHER)),
    (CODEC, Goodbye('s@2', 'b2')),
    (CODEC, CHANGE),
    (CODEC, LoadTold('s@2', 0.5, 0.01, 4)),
    (CODEC, Introduced(OTHER)),
    (CODEC, Passed(CHANGE, ('s@3',))),
    (CODEC, Passed(Introduced(OTHER), ())),
    (HANDED_CODEC, Handed(CHANGE, (Token(KeyRange(0, 9), 't'),))),
    (OFFER_CODEC, Offer('s@2', 's', 0.9, 0.3, 0.02)),
    (REPLY_CODEC, OfferReply(True, 0.5, 0.01, 4)),
    (TRANSACTION_CODEC, Transaction((Expected(NAME, 1),), (Put(NAME, b'x'),))),
    (COMMIT_CODEC, Committed(3, 1.5)),
    (COMMIT_CODEC, Conflict((ROW,), 1.5)),
    (READ_CODEC, RangeRead((ROW,), 7, 1.5)),
    (WANTED_CODEC, RowsWanted('t', 'p')),
)
UNUSABLE = ('', 'x', ':1', '127.0.0.1', '127.0.0.1:0', '127.0.0.1:99999', 'a:1')


class OneStore:
    """Rows that are read, as they are."""

    def __init__(self, *rows: Row) -> None:
        self.rows = rows
        self.epochs = StoreEpochs()

    async def async_read(self, table: str, part: str) -> RangeRead:
        return RangeRead(self.rows, 9, 1.0)


def make(*rows: Row) -> tuple[PeerCoordinator, Directory, KeyMaps]:
    directory = Directory()
    directory.add(OTHER)
    maps = KeyMaps()
    maps.update_if_newer('s', FIRST)
    clock = LoopClock()
    peers = PeerCoordinator(
        OWN,
        directory,
        maps,
        OneStore(*rows),
        None,
        clock,
        EventLog('t', clock, os.open(os.devnull, os.O_WRONLY)),
        LoadBook(),
        PeerHooks(
            lambda: ['s'],
            lambda _: None,
            lambda _: None,
            lambda *_: None,
        ),
    )
    return peers, directory, maps


@pytest.mark.parametrize(('codec', 'message'), EXAMPLES)
def test_no_message_does_harm(codec: Codec, message) -> None:
    fields = json.loads(codec.encode(message))

    @given(changed(fields))
    def decode(odd) -> None:
        try:
            found = codec.decode(json.dumps(odd).encode())
        except MalformedMessageError:
            return
        # What is taken can be written again.
        codec.encode(found)

    decode()


@pytest.mark.parametrize(('codec', 'message'), EXAMPLES)
def test_bytes_that_are_no_message(codec: Codec, message) -> None:
    for body in BAD_BODIES:
        with pytest.raises(MalformedMessageError):
            codec.decode(body)


@pytest.mark.parametrize('odd', ['NaN', 'Infinity', '9' * 400])
def test_a_load_is_a_finite_number(odd: str) -> None:
    """A load of ``NaN`` is neither above nor below any other."""
    body = CODEC.encode(LoadTold('s@2', 0.5, 0.01, 4)).replace(
        b'0.5', odd.encode()
    )
    with pytest.raises(MalformedMessageError):
        CODEC.decode(body)


@pytest.mark.parametrize(
    'ranges',
    [
        ((0, 9, 7, 2),),
        ((0, 9, -1, 2),),
        ((9, 0, 0, 2),),
        ((-5, 9, 0, 2),),
        ((0, 65_536, 0, 2),),
        ((0, 9, 0, 99),),
    ],
)
def test_a_change_that_is_none_leaves_the_map(ranges) -> None:
    """A datagram tells of a change whose range has no owner on its list.

    It ended in an exception in the socket's callback; place -1 was taken for
    the last owner.
    """

    async def story() -> None:
        peers, _, maps = make()
        # Of a member that is not known, so that nobody is asked for the map.
        change = MapChanged('s', 's@8', 1, 2, 2, ('s@2', 's@3'), ranges)
        peers._on_datagram(change)
        assert maps.find('s') is FIRST

    run(story())


@pytest.mark.parametrize('address', UNUSABLE)
def test_members_without_a_usable_address_are_not_met(address: str) -> None:
    """A row and a datagram name a member whose address nobody can send to.

    The loop that tells all members of a change or a goodbye ended there, and
    with it the task that keeps up with the others.
    """

    async def story() -> None:
        odd = Member('s@9', 's', 'a', address, 'b9')
        good = Member('s@4', 's', 'a', '127.0.0.1:4', 'b4')
        body = encode_member_row(MemberRow(odd, 5.0, 'w'))
        foreign = Member('q@7', 'q', 'a', '127.0.0.1:7', 'b7')
        rows = (
            Row(member_row('s', 'q@7'), row_body(foreign), 3),
            Row(member_row('s', 's@2'), b'\xff', 4),
            Row(member_row('s', 's@9'), body, 5),
            Row(RowName(TABLE, 's', 'map'), b'[]', 6),
            Row(member_row('s', 's@4'), row_body(good), 7),
        )
        peers, directory, maps = make(*rows)
        assert await peers.async_refresh()
        peers._on_datagram(Hello(odd))
        peers._on_datagram(Welcome(odd))
        known = {member.name for member in directory.members()}
        # What was known before a row became unreadable is known still.
        assert known == {'s@2', 's@4'}
        assert maps.find('s') is FIRST
        peers.say_goodbye()
        await asyncio.sleep(0)

    run(story())


def row_body(member: Member) -> bytes:
    return encode_member_row(MemberRow(member, 5.0, 'w'))
