"""Connection pools of one process."""

from plantaingrade.clock import Clock
from plantaingrade.http.pool import Pool
from plantaingrade.sidecar.const import PEER_TRUSTED_S, REGION_CONNECT_TIMEOUT_S


class Pools:
    """One pool per kind of remote end, each with its own timeouts."""

    __slots__ = ('orders', 'peers', 'server', 'store')

    def __init__(self, clock: Clock, source: str | None) -> None:
        """Create empty pools; connect from ``source`` if it is given."""
        self.server = Pool(
            clock, source, connect_timeout_s=REGION_CONNECT_TIMEOUT_S
        )
        self.peers = Pool(
            clock,
            source,
            tcp_keepalive=True,
            connect_timeout_s=REGION_CONNECT_TIMEOUT_S,
            max_idle_s=PEER_TRUSTED_S,
        )
        self.store = Pool(clock, source, tcp_keepalive=True)
        self.orders = Pool(clock)

    def close(self) -> None:
        """Close every idle connection."""
        for pool in (self.server, self.peers, self.store, self.orders):
            pool.close()
