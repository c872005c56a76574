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
    """A replacement value for a module's constant."""

    module: str
    name: str
    value: Any  # noqa: WPS110


class Policy(Struct, frozen=True):
    """A set of decisions; ``polls_capacity`` places by free capacity."""

    name: str
    patches: tuple[Patch, ...] = ()
    polls_capacity: bool = True

    def chooser_arguments(self, instance: Any) -> tuple:
        """Return the further arguments of an instance's ``TargetChooser``."""
        if self.polls_capacity:
            return (instance.peers.async_poll_capacity,)
        return (_async_poll_nobody,)

    @contextmanager
    def applied(self) -> Iterator[None]:
        """Replace the constants during the ``with`` block."""
        previous = [_apply(patch) for patch in self.patches]
        try:
            yield
        finally:
            for patch in previous:
                _apply(patch)


def _apply(patch: Patch) -> Patch:
    """Set a constant; return the patch that restores it."""
    module = importlib.import_module(f'plantaingrade.{patch.module}')
    previous = getattr(module, patch.name)
    setattr(module, patch.name, patch.value)
    return Patch(patch.module, patch.name, previous)


async def _async_poll_nobody(
    members: Sequence[Member], kind: str, priority: int
) -> dict[str, FreeCapacity]:
    return {}


def _without(name: str, module: str, constant: str, off: Any) -> Policy:
    return Policy(f'no-{name}', (Patch(module, constant, off),))


NEVER = float('inf')
POLICIES = (
    Policy(PRESENT),
    Policy('loads', polls_capacity=False),
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
