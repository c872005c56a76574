"""Serialization of HTTP/1.1 messages."""

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
# Reason phrases are informative only; clients ignore them.
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
    """Serializes the messages of one side, framed as their heads declare."""

    __slots__ = ('_is_chunked', '_method', '_remaining', '_version', 'is_last')

    def __init__(self) -> None:
        """Create a writer for a new connection."""
        self._is_chunked = False
        # Bytes of the body still to be sent, None without a content length.
        self._remaining: int | None = 0
        self._method = b''
        self._version = '1.1'
        # Whether the message announces that the connection will be closed.
        self.is_last = False

    def set_request(self, method: bytes, version: str) -> None:
        """Set the request that the next response answers."""
        self._method = method
        self._version = version

    def request(self, request: Request) -> bytes:
        """Return the head of a request; without framing it has no body."""
        self._frame(request.headers)
        if self._remaining is None and not self._is_chunked:
            self._remaining = 0
        line = b'%b %b HTTP/1.1' % (request.method, request.target)
        return _head(line, request.headers)

    def response(self, response: Response, keeps_alive: bool) -> bytes:
        """Return the head of a response, with headers that frame its body."""
        headers = response.headers
        self._frame(headers)
        if self._has_no_body(response.status_code):
            self._remaining = 0
            self._is_chunked = False
        elif self._remaining is None and not self._is_chunked:
            headers = self._frame_unknown_length(headers)
        if not keeps_alive and not self.is_last:
            headers = (*headers, CLOSE_HEADER)
            self.is_last = True
        status = response.status_code
        reason = response.reason or REASONS.get(status, b'')
        return _head(b'HTTP/1.1 %d %b' % (status, reason), headers)

    def informational(self, response: InformationalResponse) -> bytes:
        """Return an interim (1xx) response."""
        status = response.status_code
        line = b'HTTP/1.1 %d %b' % (status, REASONS.get(status, b''))
        return _head(line, response.headers)

    def body(self, part: Data) -> bytes:
        """Return a part of the body.

        Raises:
            LocalProtocolError: the body exceeds its content length.
        """
        chunk = part.data
        if not chunk or self._is_response_to_head():
            return b''
        if self._is_chunked:
            return b'%x\r\n%b\r\n' % (len(chunk), chunk)
        if self._remaining is not None:
            self._remaining -= len(chunk)
            if self._remaining < 0:
                raise LocalProtocolError('Body exceeds its content length.')
        return chunk

    def end(self) -> bytes:
        """Return the end of the message.

        Raises:
            LocalProtocolError: the body is shorter than its content length.
        """
        if self._is_chunked:
            return LAST_CHUNK
        if self._remaining and not self._is_response_to_head():
            raise LocalProtocolError('Body shorter than its content length.')
        return b''

    def _frame(self, headers: Pairs) -> None:
        text_by_name = dict(headers)
        length = text_by_name.get(b'content-length')
        coding = text_by_name.get(b'transfer-encoding', b'')
        self._remaining = None if length is None else int(length)
        self._is_chunked = coding.lower() == b'chunked'
        closes = text_by_name.get(b'connection', b'').lower()
        self.is_last = b'close' in closes

    def _frame_unknown_length(self, headers: Pairs) -> Pairs:
        if self._version == '1.1':
            self._is_chunked = True
            return (*headers, CHUNKED_HEADER)
        self.is_last = True
        return (*headers, CLOSE_HEADER)

    def _has_no_body(self, status: int) -> bool:
        return status in BODILESS_STATUSES or self._is_response_to_head()

    def _is_response_to_head(self) -> bool:
        return self._method == b'HEAD'


def _head(line: bytes, headers: Pairs) -> bytes:
    """Return the bytes of a message head.

    A line break in a header name or value would start another header or end
    the head (header injection). So the line breaks are counted.
    """
    lines = [line]
    lines.extend(b'%b: %b' % pair for pair in headers)
    raw = END.join((*lines, b'', b''))
    count = len(lines) + 1
    is_valid = raw.count(b'\n') == count == raw.count(b'\r')
    if not is_valid or b'\0' in raw:
        raise LocalProtocolError('Header contains a line break or null byte.')
    return raw
