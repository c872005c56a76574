"""Measure cost by cluster size, for the projection in docs/CAPACITY.md."""

import json
from dataclasses import asdict, dataclass

from bench.measure import Line, allocated, cpu_us
from plantaingrade.clock import BootClock
from plantaingrade.journal.coordinator import RECORD_CODEC, STATE_CODEC
from plantaingrade.journal.entity import (
    DeclarationApplied,
    MapState,
    MemberJoined,
    MemberRow,
    MemberState,
    OwnerRequested,
    Record,
    ServiceRow,
)
from plantaingrade.journal.keys import find_slice
from plantaingrade.journal.rules import apply_record
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.placement.policy import plan

SIZES = (66, 132, 264, 530)
SLICES_PER_NODE = 16
TWO_YEAR_NODES = 530
SERVICE = 'casebook'


@dataclass(slots=True)
class Measurement:
    """Memory and processor time at one cluster size."""

    nodes: int
    map_bytes: int
    snapshot_bytes: int
    record_bytes: int
    lookup_us: float
    record_us: float
    plan_idle_us: float
    plan_after_loss_us: float


def append(state: MapState, *changes: object) -> Record:
    """Apply a record with the changes and return it."""
    record = Record(state.generation + 1, 'w' * 32, 'bench#1', changes)
    apply_record(state, record)
    return record


def make_map(nodes: int) -> MapState:
    """Return a map in which each slice has an owner and a successor."""
    state = MapState()
    service = ServiceRow(SERVICE, nodes * SLICES_PER_NODE, True, 400)
    append(state, DeclarationApplied('', 0, (service,)))
    for number in range(nodes):
        address = f'10.{number % 5}.{number // 250}.{number % 250}'
        row = MemberRow(
            member=f'casebook-{number}#a1b2c3d4',
            server=f'casebook-{number}',
            service=SERVICE,
            zone=f'zone-{number % 5}',
            http=f'{address}:7000',
            udp=f'{address}:7001',
            rpc=f'{address}:7002',
            slots=6,
            checks_fence=True,
            state=MemberState.READY,
            witnesses=('casebook-1#a', 'casebook-2#b', 'casebook-3#c'),
        )
        append(state, MemberJoined(row))
    while changes := plan(state):
        append(state, *changes)
    return state


def measure(nodes: int) -> Measurement:
    """Measure one cluster size."""
    size, state = allocated(lambda: make_map(nodes))
    row = next(iter(state.members.values()))
    clock = BootClock()
    ownership = OwnershipCoordinator(
        row,
        lambda: state,
        clock,
        lambda *_: None,
        lambda: clock.now() + 1,
    )
    record = append(state, OwnerRequested('casebook/0', 'nobody', 'c1'))
    plan_idle = cpu_us(lambda: plan(state), 5)
    loss = STATE_CODEC.decode(STATE_CODEC.encode(state))
    for part in loss.slices.values():
        if part.successor == row.member:
            part.successor = None
    return Measurement(
        nodes=nodes,
        map_bytes=size,
        snapshot_bytes=len(STATE_CODEC.encode(state)),
        record_bytes=len(RECORD_CODEC.encode(record)),
        lookup_us=cpu_us(lambda: find_slice(state, SERVICE, '4711'), 5000),
        record_us=cpu_us(lambda: ownership.on_record(record, []), 20),
        plan_idle_us=plan_idle,
        plan_after_loss_us=cpu_us(lambda: plan(loss), 5),
    )


def main() -> None:
    """Print measurements, fitted lines and their values at two-year size."""
    measured = [measure(size) for size in SIZES]
    for measurement in measured:
        print(json.dumps(asdict(measurement)))
    for name in asdict(measured[0]):
        line = Line.through(
            [measurement.nodes for measurement in measured],
            [getattr(measurement, name) for measurement in measured],
        )
        print(
            json.dumps(
                {
                    'figure': name,
                    'base': line.base,
                    'per_node': line.slope,
                    'at_530': line.at(TWO_YEAR_NODES),
                }
            ),
        )


if __name__ == '__main__':
    main()
