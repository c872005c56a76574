"""Incarnations of the stand-in for a backend server, and its heartbeats."""

import random
import time
from dataclasses import dataclass
from typing import Any

from plantaingrade.platform.units import format_time

NS_PER_MS = 1_000_000
ID_BYTES = 4


@dataclass(slots=True, frozen=True)
class Incarnation:
    """One incarnation of a server: its id and Unix start time in ms.

    Incarnations under one id differ in ``started_at_ms`` alone.
    """

    instance: str
    started_at_ms: int

    @classmethod
    def from_seed(cls, seed: int) -> 'Incarnation':
        """Start an incarnation now, under an id drawn from a seed."""
        rng = random.Random(seed)
        return cls.with_id(f'i-{rng.getrandbits(8 * ID_BYTES):08x}')

    @classmethod
    def with_id(cls, instance: str) -> 'Incarnation':
        """Start an incarnation now, under a given id."""
        return cls(instance, time.time_ns() // NS_PER_MS)

    def next_incarnation(self) -> 'Incarnation':
        """Start the next incarnation under this id, with a later start time.

        In a test two incarnations may start in the same millisecond.
        """
        started = Incarnation.with_id(self.instance)
        return Incarnation(
            self.instance, max(started.started_at_ms, self.started_at_ms + 1)
        )


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """What a server reports in one heartbeat."""

    incarnation: Incarnation
    service: str
    address: str
    zone: str
    capacity: int
    state: str
    sequence: int
    cold_s: float = 0.0

    def fields(self) -> dict[str, Any]:
        """Return the fields as they are encoded on the wire."""
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
