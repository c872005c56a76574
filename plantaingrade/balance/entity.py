"""Typed loads and moves."""

from msgspec import Struct

from plantaingrade.keyspace.entity import KeyRange


class Load(Struct, frozen=True):
    """Load of one member's server.

    ``share`` is the work asked for in a second, as a share of the seconds
    that its slots have; above 1 it cannot keep up. ``work_s`` is how long an
    average request takes there, which compares the speeds of servers.
    """

    share: float
    work_s: float
    slots: int


class FreeCapacity(Struct, frozen=True):
    """How soon a server could run one more request, in seconds.

    ``wait_s`` is the expected wait for a slot, ``work_s`` how long such a
    request takes there, and ``failures`` the share that failed there lately.
    """

    wait_s: float
    work_s: float
    failures: float = 0.0

    @property
    def completion_s(self) -> float:
        """Return when the request would have ended."""
        return self.wait_s + self.work_s


class KeyLoad(Struct, frozen=True):
    """Work that one key asked for in a second, in seconds of a slot."""

    key: int
    work: float


class Move(Struct, frozen=True):
    """A range that should pass to another member, with the work it brings."""

    keys: KeyRange
    target: str
    work: float
