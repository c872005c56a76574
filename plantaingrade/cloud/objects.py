"""Client of the platform's object store, using the S3 REST API.

Requests are not signed.
"""

import asyncio

from plantaingrade.cloud.const import OBJECT_TIMEOUT_S
from plantaingrade.cloud.entity import PlatformUnavailableError
from plantaingrade.http.channel import ChannelClosedError
from plantaingrade.http.client import Call, fetch
from plantaingrade.http.const import STATUS_NOT_FOUND, STATUS_OK
from plantaingrade.http.pool import ConnectFailedError, Pool


class ObjectClient:
    """Read and write whole objects of one bucket."""

    __slots__ = ('_address', '_bucket', '_pool')

    def __init__(self, pool: Pool, address: str, bucket: str) -> None:
        """Use a bucket of the object store at an address."""
        self._pool = pool
        self._address = address
        self._bucket = bucket

    async def async_put(self, name: str, body: bytes) -> None:
        """Write an object; the content of a name never changes.

        Raises:
            PlatformUnavailableError: the object may not have been written.
        """
        status, _ = await self._call('PUT', name, body)
        if status != STATUS_OK:
            raise PlatformUnavailableError('Object store refused the write.')

    async def async_get(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist.

        Raises:
            PlatformUnavailableError: the object store did not answer.
        """
        status, body = await self._call('GET', name, b'')
        if status == STATUS_NOT_FOUND:
            return None
        if status != STATUS_OK:
            raise PlatformUnavailableError('Object store refused the read.')
        return body

    async def _call(
        self,
        method: str,
        name: str,
        body: bytes,
    ) -> tuple[int, bytes]:
        target = f'/{self._bucket}/{name}'
        call = Call(method, self._address, target, body=body)
        try:
            async with asyncio.timeout(OBJECT_TIMEOUT_S):
                reply = await fetch(self._pool, call)
        except (TimeoutError, ChannelClosedError, ConnectFailedError) as error:
            raise PlatformUnavailableError('Object store failed.') from error
        return reply.status, reply.body
