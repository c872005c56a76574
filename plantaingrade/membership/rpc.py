"""Pull records from another process over gRPC.

The messages are JSON in gRPC framing, so no generated code is needed.
"""

import asyncio
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.errors import PlantaingradeError
from plantaingrade.http.pool import split_address
from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.membership.const import PULL_PATH, PULL_TIMEOUT_S
from plantaingrade.membership.entity import PullReply, PullRequest

REQUEST_CODEC = Codec(PullRequest)
REPLY_CODEC = Codec(PullReply)
NO_ANSWER = (OSError, TimeoutError, GRPCError, StreamTerminatedError)
CODEC_BY_TYPE = {PullRequest: REQUEST_CODEC, PullReply: REPLY_CODEC}


class PullFailedError(PlantaingradeError):
    """Report that a peer did not hand over its records."""

    advice = 'Another peer or the table service will be asked.'


class JsonCodec(CodecBase):
    """Encode gRPC messages as JSON."""

    __content_subtype__ = 'json'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the message's bytes."""
        return CODEC_BY_TYPE[message_type].encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the message held in the bytes."""
        return CODEC_BY_TYPE[message_type].decode(data)


class JournalService:
    """Answer pulls from this process's copy of the journal."""

    def __init__(self, journal: JournalCoordinator) -> None:
        """Serve one journal."""
        self._journal = journal

    def __mapping__(self) -> dict[str, Handler]:
        """Return the methods that grpclib serves."""
        return {
            PULL_PATH: Handler(
                self.async_pull,
                Cardinality.UNARY_UNARY,
                PullRequest,
                PullReply,
            ),
        }

    async def async_pull(self, stream: Stream[PullRequest, PullReply]) -> None:
        """Send the records after the generation asked for."""
        request = await stream.recv_message()
        after = 0 if request is None else request.after
        records = self._journal.records_after(after)
        if records is None:
            await stream.send_message(PullReply((), self._journal.state))
        else:
            await stream.send_message(PullReply(tuple(records), None))


def make_server(journal: JournalCoordinator) -> Server:
    """Return the gRPC server of this process."""
    return Server([JournalService(journal)], codec=JsonCodec())


async def async_pull(address: str, after: int) -> PullReply:
    """Return what a peer has after a generation.

    Raises:
        PullFailedError: the peer did not answer in time.
    """
    host, port = split_address(address)
    channel = Channel(host, port, codec=JsonCodec())
    method = UnaryUnaryMethod(channel, PULL_PATH, PullRequest, PullReply)
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            return await method(PullRequest(after))
    except NO_ANSWER as error:
        raise PullFailedError('Peer did not answer a pull.') from error
    except MalformedMessageError as error:
        raise PullFailedError('Peer answered nonsense.') from error
    finally:
        channel.close()
