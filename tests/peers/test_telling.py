"""Words to hundreds of members in several availability zones."""

import random
from collections import Counter

import pytest

from plantaingrade.peers.announcer import CODEC, Announcer
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Goodbye,
    Hello,
    Introduced,
    Member,
    Passed,
    Welcome,
)
from plantaingrade.peers.telling import MAX_DIRECT, choose_recipients

ZONES = ('a', 'b', 'c', 'd', 'e')
# Times that a member greets before it introduces itself to all.
GREETINGS = 5


class Net:
    """Datagrams between members of one network, counted by zones crossed."""

    def __init__(self, members: list[Member], loss: float = 0.0) -> None:
        self.member_by_address = {each.address: each for each in members}
        self.node_by_address: dict[str, Node] = {}
        self.queue: list[tuple[str, bytes]] = []
        self.sent_by_crossing: Counter[bool] = Counter()
        self.bytes_by_crossing: Counter[bool] = Counter()
        self.loss = loss
        self.chance = random.Random(5)

    def carry(self, sender: Member, raw: bytes, address: str) -> None:
        crosses = self.member_by_address[address].zone != sender.zone
        self.sent_by_crossing[crosses] += 1
        self.bytes_by_crossing[crosses] += len(raw)
        if self.chance.random() >= self.loss:
            self.queue.append((address, raw))

    def settle(self) -> None:
        while self.queue:
            address, raw = self.queue.pop(0)
            node = self.node_by_address.get(address)
            if node is not None:
                node.receive(CODEC.decode(raw))


class Transport:
    """The sending side of one member's socket."""

    def __init__(self, net: Net, sender: Member) -> None:
        self.net = net
        self.sender = sender

    def sendto(self, raw: bytes, target: tuple[str, int]) -> None:
        self.net.carry(self.sender, raw, f'{target[0]}:{target[1]}')


class Node:
    """A member that meets others, as its coordinator would."""

    def __init__(self, net: Net, own: Member, known: list[Member]) -> None:
        self.own = own
        self.directory = Directory()
        self.heard: Counter = Counter()
        self.announcer = Announcer(own, self.directory, self.receive)
        self.announcer.endpoint.connection_made(Transport(net, own))
        for member in (own, *known):
            self.directory.add(member)
        net.node_by_address[own.address] = self

    def receive(self, message) -> None:
        match message:
            case Hello(member):
                self.meet(member)
                self.announcer.tell(Welcome(self.own), (member.name,))
            case Welcome(member):
                self.meet(member)
                self.announcer.on_welcome(member.name)
            case Introduced(member):
                self.meet(member)
            case Passed(Introduced(member)):
                self.announcer.pass_on(message)
                self.meet(member)
                self.announcer.tell(Welcome(self.own), (member.name,))
            case Passed(word):
                self.announcer.pass_on(message)
                self.heard[word] += 1
            case _:
                self.heard[message] += 1

    def meet(self, member: Member) -> None:
        if self.directory.add(member):
            self.announcer.on_met(member.name)

    def strangers(self, members: list[Member]) -> int:
        return sum(not self.directory.find(each.name) for each in members)


def make_members(count: int) -> list[Member]:
    return [
        Member(
            f's@10.0.{number // 250}.{number % 250}',
            's',
            ZONES[number % len(ZONES)],
            f'10.0.{number // 250}.{number % 250}:7',
            f'b{number}',
        )
        for number in range(count)
    ]


def start_together(count: int, loss: float = 0.0) -> tuple[Net, list[Node]]:
    """Start members one after the other; each knows those before it."""
    members = make_members(count)
    net = Net(members, loss)
    nodes = [
        Node(net, member, members[:number])
        for number, member in enumerate(members)
    ]
    for _ in range(GREETINGS):
        for node in nodes:
            node.announcer.greet()
        net.settle()
    for node in nodes:
        node.announcer.introduce()
    net.settle()
    return net, nodes


@pytest.mark.parametrize('loss', [0.0, 0.02])
def test_members_that_start_together_come_to_know_each_other(loss) -> None:
    """Keys whose owner is unknown to some members are refused there.

    Each member reads those that wrote their rows before it, and greets one of
    each other zone. A relay may pass a greeting on before it knows all its
    neighbours, or the datagram may be lost.
    """
    _, nodes = start_together(100, loss)
    members = [node.own for node in nodes]
    assert not sum(node.strangers(members) for node in nodes)


def test_greetings_between_zones_grow_with_the_members_only() -> None:
    """Told to each, 195 members greet each other 30,000 times across zones."""
    counts = [
        start_together(count)[0].sent_by_crossing[True] / count
        for count in (50, 195)
    ]
    assert counts[1] < 1.5 * counts[0]
    assert counts[1] < 30


def test_a_word_reaches_all_with_few_datagrams_between_zones() -> None:
    """A change of a map that each member is told of takes 156 across zones."""
    net, nodes = start_together(195)
    net.sent_by_crossing.clear()
    word = Goodbye('s@10.0.0.9', 'old')
    nodes[0].announcer.tell_all(word)
    net.settle()
    assert all(node.heard[word] for node in nodes[1:])
    assert net.sent_by_crossing[True] == 8
    assert net.sent_by_crossing[False] < 2 * len(nodes)


def test_a_word_reaches_zones_whose_relay_is_gone() -> None:
    """One relay a zone has just lost power, and nobody knows of it yet."""
    net, nodes = start_together(100)
    word = Goodbye('s@10.0.0.9', 'old')
    nodes[0].announcer.tell_all(word)
    gone = {}
    for address, _ in net.queue:
        member = net.member_by_address[address]
        if member.zone != nodes[0].own.zone:
            gone.setdefault(member.zone, address)
    for address in gone.values():
        net.node_by_address.pop(address)
    net.settle()
    alive = list(net.node_by_address.values())
    assert len(gone) == len(ZONES) - 1
    assert all(node.heard[word] for node in alive if node is not nodes[0])


def test_who_is_told_otherwise_hears_nothing_from_relays() -> None:
    """A receiver of keys that hears of them first grants without a token."""
    net, nodes = start_together(100)
    word = Goodbye('s@10.0.0.9', 'old')
    skipped = nodes[51].own.name
    nodes[0].announcer.tell_all(word, (skipped,))
    net.settle()
    assert not nodes[51].heard[word]
    assert nodes[56].heard[word]


def test_small_zones_are_told_directly() -> None:
    members = make_members(MAX_DIRECT * len(ZONES))
    found = choose_recipients(members[0], members, (), random.Random(1))
    assert not found.relays
    assert len(found.direct) == len(members) - 1
