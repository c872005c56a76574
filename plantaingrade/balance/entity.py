"""Typed loads and moves."""

from dataclasses import dataclass

from plantaingrade.keyspace.entity import KeyRange


@dataclass(slots=True, frozen=True)
class Load:
    """Load of one member's server.

    ``share`` is the work asked for in a second, as a share of the seconds
    that its slots have; above 1 it cannot keep up. ``work_s`` is how long an
    average request takes there, which compares the speeds of servers.
    """

    share: float
    work_s: float
    slots: int


@dataclass(slots=True, frozen=True)
class KeyLoad:
    """Work that one key asked for in a second, in seconds of a slot."""

    key: int
    work: float


@dataclass(slots=True, frozen=True)
class Move:
    """A range that should pass to another member, with the work it brings."""

    keys: KeyRange
    target: str
    work: float
