"""What the memory and the link of one instance have room for."""

from msgspec import Struct
from msgspec.structs import replace

from plantaingrade.balance.entity import FreeCapacity
from plantaingrade.clock import Clock
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.body_turn_gate import BodyTurnGate
from plantaingrade.requests.body_turns import BodyTurns
from plantaingrade.requests.held_bytes import budget_bytes
from plantaingrade.sidecar.settings import InstanceSettings


class InstanceBytes(Struct, frozen=True):
    """Limits of the bytes that a process holds, and lets in at a time."""

    budget: BufferBudget
    body_turn_gate: BodyTurnGate

    @classmethod
    def from_settings(
        cls, settings: InstanceSettings, clock: Clock
    ) -> 'InstanceBytes':
        """Return the limits that follow from an instance's size."""
        return cls(
            BufferBudget(budget_bytes(settings.memory_mb)),
            BodyTurnGate(BodyTurns(settings.link_mbps), clock),
        )

    def delay(
        self, capacity: FreeCapacity | None, kind: str
    ) -> FreeCapacity | None:
        """Return free capacity of the server as far as the link lets it be."""
        if capacity is None:
            return None
        link_s = self.body_turn_gate.turns.expected_wait_s(kind)
        return replace(capacity, wait_s=max(capacity.wait_s, link_s))
