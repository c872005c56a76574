"""Paths on which processes talk about themselves."""

import h11

from plantaingrade.peers.coordinator import (
    HEADER_VERSION,
    PATH_MAP,
    PeerCoordinator,
)
from plantaingrade.requests.entity import Answer

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class Control:
    """Answer what other processes ask."""

    __slots__ = ('_peers',)

    def __init__(self, peers: PeerCoordinator) -> None:
        """Answer from what is known of the peers."""
        self._peers = peers

    async def async_handle(self, raw: h11.Request, body: bytes) -> Answer:
        """Answer one question."""
        target = raw.target.decode('ascii', 'replace')
        if target.startswith(PATH_MAP):
            service = target.removeprefix(PATH_MAP)
            version, encoded = self._peers.encode_known_map(service)
            headers = ((HEADER_VERSION, str(version).encode()),)
            return Answer(STATUS_OK, headers, encoded)
        return Answer(STATUS_NOT_FOUND, (), b'')
