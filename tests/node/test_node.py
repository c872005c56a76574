"""Complete nodes in one event loop: join, serve, command and leave."""

import asyncio
import json
import socket
from pathlib import Path

from plantaingrade.clock import BootClock
from plantaingrade.http.client import Call, Reply, fetch
from plantaingrade.http.pool import ConnectFailedError, Pool
from plantaingrade.http.server import HttpServer
from plantaingrade.node.runtime import Node
from plantaingrade.node.settings import Settings
from plantaingrade.routing.respond import refuse_malformed
from standins.backend import BackendSettings, BackendStandIn, ExecutionLog
from standins.platform import ObjectStandIn, TableStandIn
from tests.harness import HOST, listen_address

DECLARATION = b'services:\n  casebook:\n    slices: 4\n'
SIZE = 3


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    """Return an address with a port that is free at the moment."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return f'{HOST}:{probe.getsockname()[1]}'


class NodeCluster:
    """Three nodes with stand-ins of their servers and of the platform."""

    def __init__(self, folder: Path) -> None:
        """Prepare an empty cluster."""
        self.clock = BootClock()
        self.pool = Pool(self.clock)
        self.folder = folder
        self.table = TableStandIn()
        self.servers: list[HttpServer] = []
        self.nodes: list[Node] = []
        self.addresses: list[str] = []

    async def __aenter__(self) -> 'NodeCluster':
        """Start the stand-ins and the nodes, and declare the service."""
        table = await self._serve(self.table.async_handle)
        store = await self._serve(ObjectStandIn().async_handle)
        for number in range(SIZE):
            backend = await self._serve(self._backend(number).async_handle)
            settings = self._settings(number, backend, table, store)
            self.addresses.append(settings.http)
            self.nodes.append(Node(settings))
        joining = [
            asyncio.ensure_future(node.async_setup()) for node in self.nodes
        ]
        await self._declare()
        await asyncio.gather(*joining)
        while not all(map(self._is_settled, self.nodes)):
            await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the nodes and the stand-ins."""
        for node in self.nodes:
            await node.async_unload()
        self.pool.close()
        for server in self.servers:
            await server.async_close()

    async def send(
        self,
        method: str,
        number: int,
        target: str,
        body: bytes = b'',
        **headers: str,
    ) -> Reply:
        """Send a request to one node."""
        named = tuple(
            (name.replace('_', '-'), text) for name, text in headers.items()
        )
        call = Call(method, self.addresses[number], target, named, body)
        return await fetch(self.pool, call, fresh=True)

    def _is_settled(self, node: Node) -> bool:
        slices = node.state.slices.values()
        return bool(slices) and all(
            part.owner and part.successor and not part.wanted_owner
            for part in slices
        )

    async def _declare(self) -> None:
        while True:
            try:
                reply = await self.send(
                    'POST',
                    0,
                    '/-/declaration',
                    DECLARATION,
                )
            except ConnectFailedError:
                await asyncio.sleep(0.02)
                continue
            assert reply.status == 200
            return

    async def _serve(self, respond: object) -> str:
        server = HttpServer(self.clock, respond, refuse_malformed)
        await server.async_listen(HOST, 0)
        self.servers.append(server)
        return listen_address(server)

    def _backend(self, number: int) -> BackendStandIn:
        path = str(self.folder / f'{number}.jsonl')
        settings = BackendSettings(
            name=f's{number}',
            slots=6,
            dialect='status',
            checks_fence=True,
            work_s=0.001,
            warm_s=0.0,
            log_path=path,
        )
        return BackendStandIn(settings, self.clock, ExecutionLog(path))

    def _settings(
        self,
        number: int,
        backend: str,
        table: str,
        store: str,
    ) -> Settings:
        return Settings(
            server=f's{number}',
            service='casebook',
            zone=f'z{number}',
            http=free_address(),
            udp=free_address(socket.SOCK_DGRAM),
            rpc=free_address(),
            backend=backend,
            table=table,
            objects=store,
            slots=6,
            dialect='status',
            checks_fence=True,
        )


def test_cluster_serves_commands_and_leaves(tmp_path: Path) -> None:
    """Every node must serve every key while members join and leave.

    A command to move a key is sent twice and must run once. Then a node leaves
    while the table service is down, and the others must serve its keys.
    """

    async def scenario() -> None:
        async with NodeCluster(tmp_path) as cluster:
            for number in range(SIZE):
                reply = await cluster.send(
                    'POST', number, '/casebook/4711', b'x'
                )
                assert reply.headers[b'x-outcome'] == b'answered'
                assert json.loads(reply.body)['key'] == '4711'
            await _send_move_twice(cluster)
            cluster.table.faults.down = True
            await cluster.nodes[0].async_leave()
            for number in (1, 2):
                for key in range(8):
                    reply = await cluster.send(
                        'POST', number, f'/casebook/{key}'
                    )
                    assert reply.headers[b'x-outcome'] == b'answered'

    asyncio.run(scenario())


async def _send_move_twice(cluster: NodeCluster) -> None:
    served = await cluster.send('GET', 0, '/casebook/4711')
    owner = json.loads(served.body)['server']
    target_server = 's2' if owner == 's1' else 's1'
    text = f'move key 4711 in casebook to {target_server}'.encode()
    path = '/-/statement'
    first = await cluster.send('POST', 0, path, text, x_command_id='c1')
    again = await cluster.send('POST', 2, path, text, x_command_id='c1')
    assert json.loads(first.body)['outcome'] == 'accepted'
    assert json.loads(again.body)['outcome'] == 'alreadydone'
    while owner != target_server:
        reply = await cluster.send('GET', 0, '/casebook/4711')
        if reply.status == 200:
            owner = json.loads(reply.body)['server']


def test_control_endpoints_reject_invalid_input(tmp_path: Path) -> None:
    """Invalid requests must be explained and must not stop the node."""

    async def scenario() -> None:
        async with NodeCluster(tmp_path) as cluster:
            path = '/-/statement'
            misspelt = await cluster.send('POST', 0, path, b'drop everything')
            assert (misspelt.status, b'Not understood' in misspelt.body) == (
                400,
                True,
            )
            without_id = await cluster.send('POST', 0, path, b'drain s1')
            assert without_id.status == 400
            document = await cluster.send(
                'POST', 0, '/-/declaration', b'services: ['
            )
            assert document.status == 400
            assert (await cluster.send('GET', 0, '/-/nothing')).status == 404
            assert (
                await cluster.send('GET', 0, '/-/routes/none')
            ).status == 404
            routes = await cluster.send('GET', 0, '/-/routes/casebook')
            assert len(json.loads(routes.body)['routes']) == 4
            status = await cluster.send('GET', 0, '/-/status')
            assert json.loads(status.body)['state'] == 'ready'
            await cluster.send('GET', 0, '/casebook/1')
            metrics = await cluster.send('GET', 0, '/-/metrics')
            assert b'plantaingrade.request.duration' in metrics.body

    asyncio.run(scenario())
