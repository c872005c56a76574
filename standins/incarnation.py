"""Lives of the stand-in for a backend server, and what it says of itself."""

import random
import time
from dataclasses import dataclass
from typing import Any

from plantaingrade.platform.units import format_time

NS_PER_MS = 1_000_000
ID_BYTES = 4


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One life of a server: its id, and the Unix millisecond of its start.

    Lives under one id are told apart by ``started_at_ms`` alone.
    """

    instance: str
    started_at_ms: int

    @classmethod
    def from_seed(cls, seed: int) -> 'Incarnation':
        """Begin a life now, under an id of its own."""
        chooser = random.Random(seed)
        return cls.under_id(f'i-{chooser.getrandbits(8 * ID_BYTES):08x}')

    @classmethod
    def under_id(cls, instance: str) -> 'Incarnation':
        """Begin a life now, under a given id."""
        return cls(instance, time.time_ns() // NS_PER_MS)

    def next_incarnation(self) -> 'Incarnation':
        """Begin the next life under this id; it is the later one.

        In a test two lives may begin in one millisecond.
        """
        begun = Incarnation.under_id(self.instance)
        return Incarnation(
            self.instance, max(begun.started_at_ms, self.started_at_ms + 1)
        )


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """What a server says of itself in one heartbeat."""

    incarnation: Incarnation
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    sequence: int
    cold_s: float = 0.0

    def fields(self) -> dict[str, Any]:
        """Return the fields as they go over the wire."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.capacity,
            'state': self.state,
            'coldRemaining': format_time(self.cold_s),
            'sequence': self.sequence,
            'born': self.incarnation.started_at_ms,
        }
