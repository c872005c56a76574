"""Compare the cost of leases per node for three designs by cluster size.

Witnesses: renewals by datagram with three witnesses, five times a second.
Table: one conditional write to the table service per second.
Decider: one gRPC call to a single granting process five times a second.
"""

import asyncio
import json
import random
from dataclasses import asdict, dataclass
from time import process_time

from bench.measure import MICROS, Line
from plantaingrade.clock import BootClock
from plantaingrade.cloud.entity import Row
from plantaingrade.cloud.table import TableClient
from plantaingrade.http.pool import Pool
from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.journal.entity import MapState, MemberRow, MemberState
from plantaingrade.leases.const import RENEW_EVERY_S
from plantaingrade.leases.coordinator import LeaseCoordinator, choose_witnesses
from plantaingrade.membership.datagrams import DATAGRAM_CODEC, DatagramEndpoint
from plantaingrade.membership.rpc import async_pull, make_server
from standins.platform import async_serve

SECONDS = 4.0
SIZES = (10, 20, 40, 80)
TWO_YEAR_NODES = 530
TABLE = '127.0.0.1:9600'
STORE = '127.0.0.1:9601'
RPC_PORT = 9602


@dataclass(slots=True)
class Cost:
    """Cost of one design at one size."""

    design: str
    nodes: int
    cpu_share_per_node: float
    messages_per_s_per_node: float | None = None
    bytes_per_s_per_node: float | None = None


def make_state(nodes: int) -> MapState:
    """Return a map with members on loopback ports."""
    state = MapState()
    for number in range(nodes):
        name = f's{number}#0'
        state.members[name] = MemberRow(
            member=name,
            server=f's{number}',
            service='casebook',
            zone=f'z{number % 5}',
            http='',
            udp=f'127.0.0.1:{9700 + number}',
            rpc='',
            slots=6,
            checks_fence=True,
            state=MemberState.READY,
        )
    for row in state.members.values():
        row.witnesses = choose_witnesses(state, row)
    return state


async def open_member(
    row: MemberRow,
    state: MapState,
    clock: BootClock,
) -> tuple[DatagramEndpoint, LeaseCoordinator]:
    """Return the leases of a member, with a separate socket."""
    received: list[LeaseCoordinator] = []
    endpoint = DatagramEndpoint(lambda message: received[0].on_message(message))
    host, _, port = row.udp.rpartition(':')
    await endpoint.async_open(host, int(port))
    leases = LeaseCoordinator(row, lambda: state, clock, endpoint.send)
    received.append(leases)
    return endpoint, leases


async def witnesses(nodes: int) -> Cost:
    """Run the leases of all members in this process, over real sockets."""
    state = make_state(nodes)
    clock = BootClock()
    endpoints = []
    members = []
    for row in state.members.values():
        endpoint, leases = await open_member(row, state, clock)
        endpoints.append(endpoint)
        members.append(leases)
    await asyncio.sleep(random.random() * RENEW_EVERY_S)
    started_at = process_time()
    until = clock.now() + SECONDS
    while clock.now() < until:
        for leases in members:
            leases.tick()
        await asyncio.sleep(0.02)
    cpu = process_time() - started_at
    held = sum(leases.expires_at() > clock.now() for leases in members)
    assert held == nodes, 'leases were lost; the machine was too slow'
    for endpoint in endpoints:
        endpoint.close()
    await asyncio.sleep(0.2)
    return Cost(
        'witnesses',
        nodes,
        cpu / SECONDS / nodes,
        sum(each.sent for each in endpoints) / SECONDS / nodes,
        sum(each.bytes_sent for each in endpoints) / SECONDS / nodes,
    )


async def table(nodes: int) -> Cost:
    """Renew each lease by one write per second.

    The result includes the cost of the stand-in of the table service.
    """
    clock = BootClock()
    serving = asyncio.create_task(async_serve(TABLE, STORE))
    await asyncio.sleep(0.2)
    with Pool(clock) as pool:
        client = TableClient(pool, TABLE, 'leases')
        for number in range(nodes):
            await client.async_put_new(Row('lease', number, 'x' * 100, 1))
        started_at = process_time()
        for turn in range(1, int(SECONDS) + 1):
            for number in range(nodes):
                row = Row('lease', number, 'x' * 100, turn + 1)
                await client.async_replace(row, turn)
        cpu = process_time() - started_at
    serving.cancel()
    return Cost('table', nodes, cpu / SECONDS / nodes)


async def decider(nodes: int) -> Cost:
    """Call a process over gRPC; client and server run in this process."""
    server = make_server(JournalCoordinator(None, None, 'decider'))
    await server.start('127.0.0.1', RPC_PORT)
    calls = int(nodes / RENEW_EVERY_S)
    started_at = process_time()
    for _ in range(calls):
        await async_pull(f'127.0.0.1:{RPC_PORT}', 0)
    cpu = process_time() - started_at
    server.close()
    await server.wait_closed()
    return Cost('decider', nodes, cpu / nodes)


def codec_us() -> float:
    """Return the processor time for encoding and decoding a renewal."""
    from bench.measure import cpu_us  # noqa: WPS433
    from plantaingrade.leases.entity import Renew  # noqa: WPS433

    renew = Renew(
        'casebook-17#a1b2c3d4',
        3,
        'booking-5#01020304',
        12345.678901,
        '127.0.0.1:7001',
    )
    return cpu_us(
        lambda: DATAGRAM_CODEC.decode(DATAGRAM_CODEC.encode(renew)),
        5000,
    )


async def main() -> None:
    """Measure each design at each size, and extrapolate to two years."""
    for design in (witnesses, table, decider):
        costs = [await design(size) for size in SIZES]
        for cost in costs:
            print(json.dumps(asdict(cost)))
        line = Line.through(
            [cost.nodes for cost in costs],
            [cost.cpu_share_per_node * cost.nodes for cost in costs],
        )
        print(
            json.dumps(
                {
                    'design': costs[0].design,
                    'cpu_us_per_node_and_s': line.slope * MICROS,
                    'cores_at_530_nodes_together': line.at(TWO_YEAR_NODES),
                }
            ),
        )
    print(json.dumps({'codec_us': codec_us()}))


if __name__ == '__main__':
    asyncio.run(main())
