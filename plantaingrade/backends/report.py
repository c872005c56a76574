"""Heartbeats of the backend server beside this process, typed."""

from dataclasses import dataclass
from enum import StrEnum


class ReportedState(StrEnum):
    """What a backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """One heartbeat.

    ``instance`` names one life of the server, ``sequence`` rises with each
    heartbeat of that life, and ``cold_s`` is how long it will stay slow.
    """

    instance: str
    service: str
    address: str
    slots: int
    state: ReportedState
    cold_s: float
    sequence: int


@dataclass(slots=True, frozen=True)
class Farewell:
    """The server says that this life of it leaves."""

    instance: str
