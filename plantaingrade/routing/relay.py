"""Forward a response to the caller."""

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Data, EndOfMessage, Response
from plantaingrade.http.pool import Pool
from plantaingrade.routing.entity import Head, Headers
from plantaingrade.routing.parse import forwardable_headers


async def relay(
    pool: Pool,
    head: Head,
    caller: Channel,
    replaced: Headers,
) -> None:
    """Forward the whole response, or abort the caller's connection.

    Raises:
        ChannelClosedError: either side closed the connection early.
    """
    names = frozenset(name for name, _ in replaced)
    headers = [*forwardable_headers(head.response.headers, names), *replaced]
    try:
        caller.send(
            Response(
                status_code=head.response.status_code,
                headers=headers,
                reason=head.response.reason,
            ),
        )
        await _relay_body(head.channel, caller)
    except BaseException:
        # Without the final chunk or the full length, the caller's HTTP library
        # detects that the response is incomplete.
        caller.abort()
        head.channel.abort()
        raise
    pool.release(head.address, head.channel)


async def _relay_body(upstream: Channel, caller: Channel) -> None:
    while True:
        match await upstream.next_event(caller.flush):
            case Data() as event:
                caller.send(Data(bytes(event.data)))
                await caller.drain()
            case EndOfMessage():
                caller.send(EndOfMessage())
                return
            case _:
                raise ChannelClosedError('Upstream closed during a response.')


async def discard(pool: Pool, head: Head) -> None:
    """Read and drop a response, so that its connection can be reused."""
    try:
        await read_body(head.channel)
    except ChannelClosedError:
        head.channel.abort()
        return
    pool.release(head.address, head.channel)
