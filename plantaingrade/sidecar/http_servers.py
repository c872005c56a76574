"""HTTP servers on the listeners of one process."""

from plantaingrade.addresses import split_address
from plantaingrade.clock import Clock
from plantaingrade.http.read_ahead import ReadAheadHooks, RequestHandler
from plantaingrade.http.server import HttpServer
from plantaingrade.sidecar.const import INTERNAL_IDLE_S
from plantaingrade.sidecar.endpoints import refuse_malformed


class HttpServers:
    """Opens the HTTP servers of a process, and closes them together."""

    __slots__ = ('_clock', '_servers')

    def __init__(self, clock: Clock) -> None:
        """Start without servers."""
        self._clock = clock
        self._servers: list[HttpServer] = []

    @property
    def busy(self) -> int:
        """Return how many requests are being served."""
        return sum(server.active_requests for server in self._servers)

    async def async_listen(
        self,
        address: str,
        serve: RequestHandler,
        read_ahead: ReadAheadHooks | None = None,
    ) -> HttpServer:
        """Open a server; requests are pipelined if ``read_ahead`` is given."""
        server = HttpServer(
            self._clock, serve, refuse_malformed, INTERNAL_IDLE_S, read_ahead
        )
        await server.async_listen(*split_address(address))
        self._servers.append(server)
        return server

    def end_connections(self) -> None:
        """Close each connection after its next response."""
        for server in self._servers:
            server.end_connections()

    async def async_close(self) -> None:
        """Close all servers and cancel their requests."""
        for server in self._servers:
            await server.async_close()
