"""Write HTTP/1.1 messages as bytes."""

from plantaingrade.http.const import BODILESS_STATUSES
from plantaingrade.http.messages import (
    Data,
    InformationalResponse,
    LocalProtocolError,
    Pairs,
    Request,
    Response,
)

END = b'\r\n'
LAST_CHUNK = b'0\r\n\r\n'
CHUNKED_HEADER = (b'transfer-encoding', b'chunked')
CLOSE_HEADER = (b'connection', b'close')
# Reasons are for people who read along; no program goes by them.
REASONS = {
    100: b'Continue',
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    421: b'Misdirected Request',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Writer:
    """Frame the messages of one side, each in the way its head says."""

    __slots__ = ('_is_chunked', '_left', '_method', '_version', 'is_last')

    def __init__(self) -> None:
        """Write nothing yet."""
        self._is_chunked = False
        # Bytes of the body still to come, or nothing where no length is told.
        self._left: int | None = 0
        self._method = b''
        self._version = '1.1'
        # Whether the message says that no other follows.
        self.is_last = False

    def answer_to(self, method: bytes, version: str) -> None:
        """Know what the next answer is for."""
        self._method = method
        self._version = version

    def request(self, request: Request) -> bytes:
        """Return the head of a request; without a length it has no body."""
        self._frame(request.headers)
        if self._left is None and not self._is_chunked:
            self._left = 0
        line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return _head(line, request.headers)

    def response(self, response: Response, keeps_alive: bool) -> bytes:
        """Return the head of an answer, with what frames its body."""
        headers = response.headers
        self._frame(headers)
        if self._has_no_body(response.status_code):
            self._left = 0
            self._is_chunked = False
        elif self._left is None and not self._is_chunked:
            headers = self._frame_open_end(headers)
        if not keeps_alive and not self.is_last:
            headers = (*headers, CLOSE_HEADER)
            self.is_last = True
        status = response.status_code
        reason = response.reason or REASONS.get(status, b'')
        return _head(b'HTTP/1.1 %d %b' % (status, reason), headers)

    def informational(self, response: InformationalResponse) -> bytes:
        """Return an answer that another one follows."""
        status = response.status_code
        line = b'HTTP/1.1 %d %b' % (status, REASONS.get(status, b''))
        return _head(line, response.headers)

    def body(self, part: Data) -> bytes:
        """Return a part of the body.

        Raises:
            LocalProtocolError: the body would be longer than was told.
        """
        chunk = part.data
        if not chunk or self._has_head_answer():
            return b''
        if self._is_chunked:
            return b'%x\r\n%b\r\n' % (len(chunk), chunk)
        if self._left is not None:
            self._left -= len(chunk)
            if self._left < 0:
                raise LocalProtocolError('More body than was told.')
        return chunk

    def end(self) -> bytes:
        """Return the end of the message.

        Raises:
            LocalProtocolError: the body was shorter than was told.
        """
        if self._is_chunked:
            return LAST_CHUNK
        if self._left and not self._has_head_answer():
            raise LocalProtocolError('Less body than was told.')
        return b''

    def _frame(self, headers: Pairs) -> None:
        text_by_name = dict(headers)
        length = text_by_name.get(b'content-length')
        coding = text_by_name.get(b'transfer-encoding', b'')
        self._left = None if length is None else int(length)
        self._is_chunked = coding.lower() == b'chunked'
        closes = text_by_name.get(b'connection', b'').lower()
        self.is_last = b'close' in closes

    def _frame_open_end(self, headers: Pairs) -> Pairs:
        if self._version == '1.1':
            self._is_chunked = True
            return (*headers, CHUNKED_HEADER)
        self.is_last = True
        return (*headers, CLOSE_HEADER)

    def _has_no_body(self, status: int) -> bool:
        return status in BODILESS_STATUSES or self._has_head_answer()

    def _has_head_answer(self) -> bool:
        return self._method == b'HEAD'


def _head(line: bytes, headers: Pairs) -> bytes:
    """Return the bytes of a head.

    A line's end in a name or text would begin another header, or end the head.
    So the ends are counted.
    """
    lines = [line]
    lines.extend(b'%b: %b' % pair for pair in headers)
    raw = END.join((*lines, b'', b''))
    count = len(lines) + 1
    is_sound = raw.count(b'\n') == count == raw.count(b'\r')
    if not is_sound or b'\0' in raw:
        raise LocalProtocolError('A header holds the end of a line.')
    return raw
