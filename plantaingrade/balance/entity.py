"""Types for loads, free capacity and moves."""

from msgspec import Struct

from plantaingrade.keyspace.entity import KeyRange


class Load(Struct, frozen=True):
    """Load of the server of a member.

    ``share`` is the work requested per second divided by the number of slots;
    above 1 the server is overloaded. ``work_s`` is the mean duration of a
    request in seconds, used to compare the speeds of servers.
    """

    share: float
    work_s: float
    slots: int


class FreeCapacity(Struct, frozen=True):
    """How soon a server could complete a further request, in seconds.

    ``wait_s`` is the expected wait for a slot, ``work_s`` the expected duration
    of the request, and ``failures`` the share of recent requests that failed.
    """

    wait_s: float
    work_s: float
    failures: float = 0.0

    @property
    def completion_s(self) -> float:
        """Return the expected time until the request completes."""
        return self.wait_s + self.work_s


class KeyLoad(Struct, frozen=True):
    """Work requested for a key, in slot seconds per second."""

    key: int
    work: float


class Move(Struct, frozen=True):
    """A key range to move to another member, with its work per second."""

    keys: KeyRange
    target: str
    work: float
