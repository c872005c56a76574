"""Typed members and the datagrams between them."""

from dataclasses import dataclass

from plantaingrade.keyspace.entity import Assignment


@dataclass(slots=True, frozen=True)
class Member:
    """One process as others know it.

    ``name`` is the IP address of its instance; ``boot`` names one run of the
    process; ``address`` is where it takes requests of other processes.
    """

    name: str
    service: str
    zone: str
    address: str
    boot: str


@dataclass(slots=True, frozen=True)
class Hello:
    """A member tells that it runs; it is answered by a welcome."""

    member: Member


@dataclass(slots=True, frozen=True)
class Welcome:
    """Answer to a hello."""

    member: Member


@dataclass(slots=True, frozen=True)
class Goodbye:
    """A member leaves."""

    name: str
    boot: str


@dataclass(slots=True, frozen=True)
class MapChanged:
    """The map of a service went from one version to the next.

    ``changes`` holds each assignment that differs.
    """

    service: str
    before: int
    version: int
    fence: int
    changes: tuple[Assignment, ...]


Datagram = Hello | Welcome | Goodbye | MapChanged
