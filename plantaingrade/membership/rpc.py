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

from plantaingrade.addresses import InvalidAddressError, split_address
from plantaingrade.codec import Codec, MalformedMessageError
from plantaingrade.errors import PlantaingradeError
from plantaingrade.journal.coordinator import JournalCoordinator
from plantaingrade.membership.const import PULL_PATH, PULL_TIMEOUT_S
from plantaingrade.membership.entity import PullReply, PullRequest

REQUEST_CODEC = Codec(PullRequest)
REPLY_CODEC = Codec(PullReply)
CALL_ERRORS = (OSError, TimeoutError, GRPCError, StreamTerminatedError)
CODEC_BY_TYPE = {PullRequest: REQUEST_CODEC, PullReply: REPLY_CODEC}


class PullFailedError(PlantaingradeError):
    """Report that pulling records from a peer failed."""

    advice = 'The records will be read from another peer or the table service.'


class JsonCodec(CodecBase):
    """JSON codec for gRPC messages."""

    __content_subtype__ = 'json'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        return CODEC_BY_TYPE[message_type].encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the decoded message."""
        return CODEC_BY_TYPE[message_type].decode(data)


class JournalService:
    """gRPC service that answers pulls from the local journal."""

    def __init__(self, journal: JournalCoordinator) -> None:
        """Serve records of one journal."""
        self._journal = journal

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as required by grpclib."""
        return {
            PULL_PATH: Handler(
                self.async_pull,
                Cardinality.UNARY_UNARY,
                PullRequest,
                PullReply,
            ),
        }

    async def async_pull(self, stream: Stream[PullRequest, PullReply]) -> None:
        """Send the records after the requested generation."""
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
    """Fetch the records after a generation from a peer.

    Raises:
        PullFailedError: the peer did not answer in time, or not properly.
    """
    try:
        host, port = split_address(address)
    except InvalidAddressError as error:
        raise PullFailedError('The peer has no valid address.') from error
    channel = Channel(host, port, codec=JsonCodec())
    method = UnaryUnaryMethod(channel, PULL_PATH, PullRequest, PullReply)
    try:
        async with asyncio.timeout(PULL_TIMEOUT_S):
            return await method(PullRequest(after))
    except CALL_ERRORS as error:
        raise PullFailedError(
            'The peer did not answer the pull request.'
        ) from error
    except MalformedMessageError as error:
        raise PullFailedError('The peer sent a malformed reply.') from error
    finally:
        channel.close()
