"""TCP keepalive of idle connections."""

from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
)
from typing import Any

# TCP keepalive of an idle connection, in whole seconds as the system requires.
# A dead connection is detected within three seconds.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2


def enable_tcp_keepalive(transport: Any) -> None:
    """Enable TCP keepalive probes while a connection is idle.

    If a network device drops the state of the connection, no end notices and a
    read would wait forever.
    """
    sock = transport.get_extra_info('socket')
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
