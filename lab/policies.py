"""Policies to compare: the product as it is, and with one mechanism off."""

import importlib
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import Any

from msgspec import Struct

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.peers.entity import Member

PRESENT = 'present'


class Patch(Struct, frozen=True):
    """Another value of a module's constant."""

    module: str
    name: str
    value: Any  # noqa: WPS110


class Policy(Struct, frozen=True):
    """A way to decide; ``asks_rooms`` places by what is free now."""

    name: str
    patches: tuple[Patch, ...] = ()
    asks_rooms: bool = True

    def choosing(self, instance: Any) -> tuple:
        """Return what the choice of servers is made with."""
        if self.asks_rooms:
            return (instance.peers.async_ask_rooms,)
        return (_async_ask_nobody,)

    @contextmanager
    def in_force(self) -> Iterator[None]:
        """Change the constants while the body of the ``with`` runs."""
        before = [_exchange(patch) for patch in self.patches]
        try:
            yield
        finally:
            for patch in before:
                _exchange(patch)


def _exchange(patch: Patch) -> Patch:
    """Set a constant; return the patch that sets it back."""
    module = importlib.import_module(f'plantaingrade.{patch.module}')
    before = getattr(module, patch.name)
    setattr(module, patch.name, patch.value)
    return Patch(patch.module, patch.name, before)


async def _async_ask_nobody(
    members: Sequence[Member], kind: str, priority: int
) -> dict[str, FreeCapacity]:
    return {}


def _without(name: str, module: str, constant: str, off: Any) -> Policy:
    return Policy(f'no-{name}', (Patch(module, constant, off),))


NEVER = float('inf')
POLICIES = (
    Policy(PRESENT),
    Policy('loads', asks_rooms=False),
    Policy('ask-one', (Patch('requests.selection', 'MAX_POLLED', 1),)),
    Policy('ask-six', (Patch('requests.selection', 'MAX_POLLED', 6),)),
    _without('crossing', 'requests.selection', 'CROSS_ZONE_FACTOR', 0.0),
    _without('spill', 'requests.coordinator', 'MAX_SPILLOVERS', 0),
    _without('ejection', 'requests.selection', 'MAX_EXCESS_FAILURE_RATE', 1.0),
    _without('brief-first', 'admission.slots', 'MAX_BRIEF_FRACTION', 0.0),
    _without('moves', 'balance.policy', 'MIN_LOAD_TO_MOVE', NEVER),
    _without('idle-telling', 'balance.coordinator', 'IDLE_LOAD', 0.0),
    _without('move-pauses', 'balance.backoff', 'MAX_PAUSE_S', 0.0),
)
POLICY_BY_NAME = {policy.name: policy for policy in POLICIES}
