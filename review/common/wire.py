"""HTTP/1.1 messages of the stand-ins, over asyncio streams."""

import asyncio
from dataclasses import dataclass, field

HEAD_END = b'\r\n\r\n'
CHUNKED = 'chunked'


class BrokenMessageError(Exception):
    """The connection ended, or a message is not valid HTTP/1.1."""


@dataclass(slots=True)
class Message:
    """One request or response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(' ', 2)[1])


def encode(start: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f'{name}: {text}' for name, text in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + HEAD_END + body


async def async_read(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message | None:
    """Return the next message, or None if the peer closed before it.

    Raises:
        BrokenMessageError: the connection ended within the message.
    """
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError('closed within a head') from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError) as error:
        raise BrokenMessageError(str(error)) from error
    start, *lines = head[: -len(HEAD_END)].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    message = Message(start, headers)
    try:
        message.body = await _async_read_body(
            reader, headers, is_response=is_response
        )
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        raise BrokenMessageError('closed within a body') from error
    return message


async def _async_read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, is_response: bool
) -> bytes:
    if headers.get('transfer-encoding', '').lower() == CHUNKED:
        return await _async_read_chunks(reader)
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    return await reader.read() if is_response else b''


async def _async_read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body
