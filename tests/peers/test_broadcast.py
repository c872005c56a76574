"""Notifications to hundreds of members in several availability zones."""

import random
from collections import Counter

import pytest

from plantaingrade.peers.announcer import CODEC, Announcer
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import (
    Forwarded,
    Goodbye,
    Hello,
    Introduced,
    Member,
    Welcome,
)
from plantaingrade.peers.recipients import MAX_DIRECT, choose_recipients

ZONES = ('a', 'b', 'c', 'd', 'e')
# Rounds of hellos before a member introduces itself to all.
HELLO_ROUNDS = 5


class FakeNetwork:
    """Queue of datagrams, counted by whether they cross zones."""

    def __init__(self, members: list[Member], loss: float = 0.0) -> None:
        self.member_by_address = {each.address: each for each in members}
        self.node_by_address: dict[str, Node] = {}
        self.queue: list[tuple[str, bytes]] = []
        self.sent_by_crossing: Counter[bool] = Counter()
        self.bytes_by_crossing: Counter[bool] = Counter()
        self.loss = loss
        self.rng = random.Random(5)

    def send(self, sender: Member, raw: bytes, address: str) -> None:
        crosses = self.member_by_address[address].zone != sender.zone
        self.sent_by_crossing[crosses] += 1
        self.bytes_by_crossing[crosses] += len(raw)
        if self.rng.random() >= self.loss:
            self.queue.append((address, raw))

    def deliver_all(self) -> None:
        while self.queue:
            address, raw = self.queue.pop(0)
            node = self.node_by_address.get(address)
            if node is not None:
                node.receive(CODEC.decode(raw))


class Transport:
    """The sending side of one member's socket."""

    def __init__(self, network: FakeNetwork, sender: Member) -> None:
        self.network = network
        self.sender = sender

    def sendto(self, raw: bytes, target: tuple[str, int]) -> None:
        self.network.send(self.sender, raw, f'{target[0]}:{target[1]}')


class Node:
    """A member that handles messages as its coordinator would."""

    def __init__(
        self, network: FakeNetwork, own: Member, known: list[Member]
    ) -> None:
        self.own = own
        self.directory = Directory()
        self.received: Counter = Counter()
        self.announcer = Announcer(own, self.directory, self.receive)
        self.announcer.endpoint.connection_made(Transport(network, own))
        for member in (own, *known):
            self.directory.add(member)
        network.node_by_address[own.address] = self

    def receive(self, message) -> None:
        match message:
            case Hello(member):
                self.add_member(member)
                self.announcer.send(Welcome(self.own), (member.name,))
            case Welcome(member):
                self.add_member(member)
                self.announcer.on_welcome(member.name)
            case Introduced(member):
                self.add_member(member)
            case Forwarded(Introduced(member)):
                self.announcer.forward(message)
                self.add_member(member)
                self.announcer.send(Welcome(self.own), (member.name,))
            case Forwarded(notification):
                self.announcer.forward(message)
                self.received[notification] += 1
            case _:
                self.received[message] += 1

    def add_member(self, member: Member) -> None:
        if self.directory.add(member):
            self.announcer.on_discovered(member.name)

    def count_unknown(self, members: list[Member]) -> int:
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


def start_together(
    count: int, loss: float = 0.0
) -> tuple[FakeNetwork, list[Node]]:
    """Start members one by one; each knows those started before it."""
    members = make_members(count)
    network = FakeNetwork(members, loss)
    nodes = [
        Node(network, member, members[:number])
        for number, member in enumerate(members)
    ]
    for _ in range(HELLO_ROUNDS):
        for node in nodes:
            node.announcer.send_hello()
        network.deliver_all()
    for node in nodes:
        node.announcer.introduce()
    network.deliver_all()
    return network, nodes


@pytest.mark.parametrize('loss', [0.0, 0.02])
def test_members_that_start_together_know_each_other(loss) -> None:
    """Members refuse requests for keys whose owner they do not know.

    Each member reads the rows written before its own, and sends a hello to one
    member of each other zone. A relay may forward a hello before it knows all
    its neighbours, or the datagram may be lost.
    """
    _, nodes = start_together(100, loss)
    members = [node.own for node in nodes]
    assert not sum(node.count_unknown(members) for node in nodes)


def test_hellos_between_zones_grow_linearly() -> None:
    """Sent directly, the hellos of 195 members cross zones 30,000 times."""
    counts = [
        start_together(count)[0].sent_by_crossing[True] / count
        for count in (50, 195)
    ]
    assert counts[1] < 1.5 * counts[0]
    assert counts[1] < 30


def test_broadcast_reaches_all_with_few_datagrams_between_zones() -> None:
    """Sent to each member directly, it takes 156 datagrams across zones."""
    network, nodes = start_together(195)
    network.sent_by_crossing.clear()
    notification = Goodbye('s@10.0.0.9', 'old')
    nodes[0].announcer.broadcast(notification)
    network.deliver_all()
    assert all(node.received[notification] for node in nodes[1:])
    assert network.sent_by_crossing[True] == 8
    assert network.sent_by_crossing[False] < 2 * len(nodes)


def test_broadcast_reaches_zones_that_lost_a_relay() -> None:
    """One relay in each zone just lost power, unnoticed by the others."""
    network, nodes = start_together(100)
    notification = Goodbye('s@10.0.0.9', 'old')
    nodes[0].announcer.broadcast(notification)
    lost = {}
    for address, _ in network.queue:
        member = network.member_by_address[address]
        if member.zone != nodes[0].own.zone:
            lost.setdefault(member.zone, address)
    for address in lost.values():
        network.node_by_address.pop(address)
    network.deliver_all()
    alive = list(network.node_by_address.values())
    assert len(lost) == len(ZONES) - 1
    assert all(
        node.received[notification] for node in alive if node is not nodes[0]
    )


def test_skipped_members_receive_nothing_from_relays() -> None:
    """A new key owner notified without its token would grant without it."""
    network, nodes = start_together(100)
    notification = Goodbye('s@10.0.0.9', 'old')
    skipped = nodes[51].own.name
    nodes[0].announcer.broadcast(notification, (skipped,))
    network.deliver_all()
    assert not nodes[51].received[notification]
    assert nodes[56].received[notification]


def test_small_zones_are_notified_directly() -> None:
    members = make_members(MAX_DIRECT * len(ZONES))
    found = choose_recipients(members[0], members, (), random.Random(1))
    assert not found.relays
    assert len(found.direct) == len(members) - 1
