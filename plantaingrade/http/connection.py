"""State of one HTTP/1.1 connection, without I/O.

Combines a parser for the peer's messages with a writer for our own, and checks
that requests and responses alternate. The API follows that of h11.
"""

from typing import Any

from plantaingrade.http.messages import (
    ConnectionClosed,
    Data,
    EndOfMessage,
    Event,
    InformationalResponse,
    LocalProtocolError,
    NeedData,
    Part,
    Paused,
    RemoteProtocolError,
    Request,
    Response,
    Role,
    State,
)
from plantaingrade.http.reader import RequestReader, ResponseReader
from plantaingrade.http.writer import Writer

NEED_DATA = NeedData()
PAUSED = Paused()
CLOSED = ConnectionClosed()


class Connection:
    """One side of an HTTP/1.1 connection."""

    __slots__ = (
        '_expects_continue',
        '_is_eof',
        '_is_reusable',
        '_reader',
        '_writer',
        'our_state',
        'role',
        'their_state',
    )

    def __init__(self, role: Role, max_head_bytes: int) -> None:
        """Start before the first message.

        A message head longer than ``max_head_bytes`` is a protocol error.
        """
        self.role = role
        kind = RequestReader if role is Role.SERVER else ResponseReader
        self._reader: Any = kind(max_head_bytes)
        self._writer = Writer()
        self._is_eof = False
        # Whether the peer waits for a 100 response before it sends its body.
        self._expects_continue = False
        # Whether both messages of this cycle allow another cycle.
        self._is_reusable = True
        self.our_state = State.IDLE
        self.their_state = State.IDLE

    @property
    def awaits_continue(self) -> bool:
        """Return whether the caller waits for a 100 (Continue) response."""
        return self._expects_continue and not self._reader.parts

    @property
    def has_unread(self) -> bool:
        """Return whether bytes of a further message have arrived."""
        return not self._reader.is_between_messages

    @property
    def has_later_message(self) -> bool:
        """Return whether parts of a message after the current one were parsed.

        False while the peer's current message is not consumed.
        """
        return self.their_state is State.DONE and bool(self._reader.parts)

    @property
    def parsed_parts(self) -> int:
        """Return how many parts were parsed and not consumed."""
        return len(self._reader.parts)

    def receive(self, chunk: bytes, at: float = 0.0) -> None:
        """Parse bytes from the peer; empty bytes mean end of file.

        ``at`` is when they arrived.
        """
        if chunk:
            self._reader.feed(chunk, at)
        else:
            self._is_eof = True
            self._reader.feed_end()

    def next_event(self) -> Event:
        """Return the next part of the peer's message.

        Raises:
            RemoteProtocolError: the peer sent no valid message.
        """
        is_complete = self.their_state in {State.DONE, State.CLOSING}
        if is_complete and self.has_unread:
            return PAUSED
        if self._reader.parts:
            return self._update_their_state(self._reader.parts.popleft())
        error = self._reader.pending_error()
        if error is not None:
            raise error
        if not self._is_eof:
            return NEED_DATA
        if self._awaits_response():
            raise RemoteProtocolError('Connection closed without a response.')
        return CLOSED

    def find_later_message(self, number: int) -> list[Part] | None:
        """Return a message after the current one without consuming it.

        ``number`` counts these messages from 0. Return None if it has not
        arrived whole, or if the peer's current message is not consumed.
        """
        if self.their_state is not State.DONE:
            return None
        message: list[Part] = []
        for part in self._reader.parts:
            message.append(part)
            if isinstance(part, EndOfMessage):
                if not number:
                    return message
                number -= 1
                message = []
        return None

    def skip_body(self) -> None:
        """Consume the rest of the peer's message, as far as it has arrived."""
        while self.their_state is State.BODY:
            if self.next_event() is NEED_DATA:
                return

    def send(self, part: Part) -> bytes:
        """Return the bytes of the next part of our message.

        Raises:
            LocalProtocolError: the part is not allowed in the current state.
        """
        match part:
            case InformationalResponse():
                self._expects_continue = False
                return self._writer.informational(part)
            case Request():
                self._begin_message()
                self._reader.expect_response_to(part.method)
                raw = self._writer.request(part)
            case Response():
                self._begin_message()
                raw = self._writer.response(part, self._is_reusable)
            case Data():
                self._require_state(State.BODY)
                raw = self._writer.body(part)
            case EndOfMessage():
                self._require_state(State.BODY)
                raw = self._writer.end()
                self._end_our_message()
            case _:
                raise LocalProtocolError(f'Cannot send {part!r}.')
        return raw

    def start_next_cycle(self) -> None:
        """Prepare for another request and response.

        Raises:
            LocalProtocolError: a message is incomplete or was the last one.
        """
        if self.our_state is not State.DONE:
            raise LocalProtocolError('Our message is not done or was the last.')
        if self.their_state is not State.DONE:
            raise LocalProtocolError(
                'Their message is not done or was the last.'
            )
        self.our_state = State.IDLE
        self.their_state = State.IDLE
        self._is_reusable = True
        self._expects_continue = False
        if self.role is Role.SERVER:
            self._reader.unanswered -= 1

    def expect_another_response(self) -> None:
        """Read another response to the request that was sent."""
        self.their_state = State.IDLE

    def _awaits_response(self) -> bool:
        has_request = self.our_state is not State.IDLE
        has_response = self.their_state is not State.IDLE
        return self.role is Role.CLIENT and has_request and not has_response

    def _begin_message(self) -> None:
        self._require_state(State.IDLE)
        self.our_state = State.BODY
        self._expects_continue = False

    def _require_state(self, state: State) -> None:
        if self.our_state is not state:
            raise LocalProtocolError(
                f'Expected state {state.name}, found {self.our_state.name}.'
            )

    def _end_our_message(self) -> None:
        is_last = self._writer.is_last
        self._is_reusable = self._is_reusable and not is_last
        self.our_state = State.CLOSING if is_last else State.DONE

    def _update_their_state(self, part: Part) -> Part:
        match part:
            case Request(headers=headers):
                self.their_state = State.BODY
                self._is_reusable = self._keeps_alive()
                self._expects_continue = _has_expect_continue(headers)
                self._writer.set_request(part.method, self._reader.version)
            case Response():
                self.their_state = State.BODY
            case Data():
                self._expects_continue = False
            case EndOfMessage():
                self._end_their_message()
        return part

    def _end_their_message(self) -> None:
        keeps = self._keeps_alive()
        self._is_reusable = self._is_reusable and keeps
        self.their_state = State.DONE if keeps else State.CLOSING

    def _keeps_alive(self) -> bool:
        # The reader parses a further message only if this one is not the last.
        is_ahead = any(
            isinstance(part, Request | Response) for part in self._reader.parts
        )
        return self._reader.keeps_alive or is_ahead


def _has_expect_continue(headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    return any(
        name == b'expect' and text.lower() == b'100-continue'
        for name, text in headers
    )
