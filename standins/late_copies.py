"""Answers of a faulty server that are sent a second time, late."""

from plantaingrade.http.channel import Channel

# Answer that a server sends a second time after it refused a request.
COPY_OF_REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nattempt-id: %b\r\n'
    b'not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)


class LateCopies:
    """Copies of refusals that are due with the next request."""

    def __init__(self) -> None:
        """Create without copies."""
        self.sent = 0
        self._copy_by_channel: dict[Channel, bytes] = {}

    def keep(self, channel: Channel, request_id: bytes) -> None:
        """Send a copy when the next request has arrived on a connection."""
        self._copy_by_channel[channel] = COPY_OF_REFUSAL % request_id

    def send(self, channel: Channel) -> None:
        """Send the copy that is due on a connection, if any."""
        copy = self._copy_by_channel.pop(channel, None)
        if copy is not None:
            channel.transport.write(copy)
            self.sent += 1
