"""Pass an answer's body on to the caller."""

from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import read_body
from plantaingrade.http.messages import Data, EndOfMessage, Response
from plantaingrade.http.pool import Pool
from plantaingrade.routing.entity import Head, Headers
from plantaingrade.routing.parse import forwardable


async def relay(
    pool: Pool,
    head: Head,
    caller: Channel,
    replaced: Headers,
) -> None:
    """Send the whole answer, or break the caller's connection off.

    Raises:
        ChannelClosedError: either side broke off before the end.
    """
    names = frozenset(name for name, _ in replaced)
    headers = [*forwardable(head.response.headers, names), *replaced]
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
        # Without the final chunk or the full length the caller's library knows
        # the answer for broken.
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
                raise ChannelClosedError('Answer broken off.')


async def discard(pool: Pool, head: Head) -> None:
    """Read an answer that is not passed on, to keep its connection."""
    try:
        await read_body(head.channel)
    except ChannelClosedError:
        head.channel.abort()
        return
    pool.release(head.address, head.channel)
