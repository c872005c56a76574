"""State of one HTTP/1.1 connection, without I/O.

It joins a reader of the peer's messages with a writer of our own, and sees to
it that both take turns.
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
    """One side of a connection."""

    __slots__ = (
        '_can_go_on',
        '_is_ended',
        '_reader',
        '_waits_to_go_on',
        '_writer',
        'our_state',
        'role',
        'their_state',
    )

    def __init__(self, role: Role, max_head_bytes: int) -> None:
        """Begin before the first message; a longer head is a fault."""
        self.role = role
        kind = RequestReader if role is Role.SERVER else ResponseReader
        self._reader: Any = kind(max_head_bytes)
        self._writer = Writer()
        self._is_ended = False
        # Whether the peer waits for our word before it sends its body.
        self._waits_to_go_on = False
        # Whether both messages of this turn allow another turn.
        self._can_go_on = True
        self.our_state = State.IDLE
        self.their_state = State.IDLE

    @property
    def awaits_continue(self) -> bool:
        """Tell whether the caller sends its body only when told to."""
        return self._waits_to_go_on and not self._reader.parts

    @property
    def has_unread(self) -> bool:
        """Tell whether bytes of a further message have arrived."""
        return not self._reader.is_between

    def receive(self, chunk: bytes) -> None:
        """Take bytes of the peer; none mean that no more come."""
        if chunk:
            self._reader.feed(chunk)
        else:
            self._is_ended = True
            self._reader.feed_end()

    def next_event(self) -> Event:
        """Return the next part of the peer's message.

        Raises:
            RemoteProtocolError: what the peer sent is no message.
        """
        is_read = self.their_state in {State.DONE, State.CLOSING}
        if is_read and self.has_unread:
            return PAUSED
        if self._reader.parts:
            return self._follow(self._reader.parts.popleft())
        error = self._reader.take_error()
        if error is not None:
            raise error
        if not self._is_ended:
            return NEED_DATA
        if self._awaits_answer():
            raise RemoteProtocolError('Closed without an answer.')
        return CLOSED

    def send(self, part: Part) -> bytes:
        """Return the bytes of the next part of our message.

        Raises:
            LocalProtocolError: it may not be sent now.
        """
        match part:
            case InformationalResponse():
                self._waits_to_go_on = False
                return self._writer.informational(part)
            case Request():
                self._begin()
                self._reader.expect(part.method)
                raw = self._writer.request(part)
            case Response():
                self._begin()
                raw = self._writer.response(part, self._can_go_on)
            case Data():
                self._expect(State.BODY)
                raw = self._writer.body(part)
            case EndOfMessage():
                self._expect(State.BODY)
                raw = self._writer.end()
                self._end_ours()
            case _:
                raise LocalProtocolError(f'{part!r} cannot be sent.')
        return raw

    def start_next_cycle(self) -> None:
        """Begin another turn.

        Raises:
            LocalProtocolError: a message is not whole, or was the last one.
        """
        if self.our_state is not State.DONE:
            raise LocalProtocolError('Our message allows no other.')
        if self.their_state is not State.DONE:
            raise LocalProtocolError('Their message allows no other.')
        self.our_state = State.IDLE
        self.their_state = State.IDLE
        self._can_go_on = True
        self._waits_to_go_on = False

    def expect_another_answer(self) -> None:
        """Read on for another answer to the request that was sent."""
        self.their_state = State.IDLE

    def _awaits_answer(self) -> bool:
        has_asked = self.our_state is not State.IDLE
        is_answered = self.their_state is not State.IDLE
        return self.role is Role.CLIENT and has_asked and not is_answered

    def _begin(self) -> None:
        self._expect(State.IDLE)
        self.our_state = State.BODY
        self._waits_to_go_on = False

    def _expect(self, state: State) -> None:
        if self.our_state is not state:
            raise LocalProtocolError(f'Not now: {self.our_state.name}.')

    def _end_ours(self) -> None:
        is_last = self._writer.is_last
        self._can_go_on = self._can_go_on and not is_last
        self.our_state = State.CLOSING if is_last else State.DONE

    def _follow(self, part: Part) -> Part:
        match part:
            case Request(headers=headers):
                self.their_state = State.BODY
                self._can_go_on = self._keeps_alive()
                self._waits_to_go_on = _waits(headers)
                self._writer.answer_to(part.method, self._reader.version)
            case Response():
                self.their_state = State.BODY
            case Data():
                self._waits_to_go_on = False
            case EndOfMessage():
                self._end_theirs()
        return part

    def _end_theirs(self) -> None:
        keeps = self._keeps_alive()
        self._can_go_on = self._can_go_on and keeps
        self.their_state = State.DONE if keeps else State.CLOSING

    def _keeps_alive(self) -> bool:
        # The reader is a message ahead only if this one is not the last.
        is_ahead = any(
            isinstance(part, Request | Response) for part in self._reader.parts
        )
        return self._reader.keeps_alive or is_ahead


def _waits(headers: tuple[tuple[bytes, bytes], ...]) -> bool:
    return any(
        name == b'expect' and text.lower() == b'100-continue'
        for name, text in headers
    )
