"""Callbacks through which the peers reach the other parts of a process."""

from collections.abc import Callable, Iterable

from msgspec import Struct

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.operators.desired_state import DesiredState
from plantaingrade.peers.entity import ConfigFound


class PeerHooks(Struct, frozen=True):
    """Callbacks of the coordinator.

    ``services`` returns the names of all configured services.
    ``on_desired_state`` receives the operators' request for the own server, and
    ``on_crash`` the digests of the requests that another member's server was
    running when it crashed. ``free_capacity_of`` returns how soon the own
    server could run a request of a kind and priority, or None if it accepts no
    requests. ``on_config_found`` receives what names a configuration that this
    process may have missed.
    """

    services: Callable[[], Iterable[str]]
    on_desired_state: Callable[[DesiredState], None]
    on_crash: Callable[[tuple[str, ...]], None]
    free_capacity_of: Callable[[str, int], FreeCapacity | None]
    on_config_found: Callable[[ConfigFound], None]
