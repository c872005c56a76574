"""HTTP endpoints of one process.

They serve callers, peers, the local backend server and the platform.
"""

from collections.abc import Callable

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
)
from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.client import read_body
from plantaingrade.http.const import BODILESS_STATUSES
from plantaingrade.http.messages import (
    Data,
    EndOfMessage,
    RemoteProtocolError,
    Request,
    Response,
    State,
)
from plantaingrade.requests.bodies import BufferBudget, account_of
from plantaingrade.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_TOO_LARGE,
    STATUS_UNAVAILABLE,
)
from plantaingrade.requests.coordinator import NoRoute, RequestCoordinator
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    CallerRequest,
    Headers,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.errors import (
    BodyTooLongError,
    BufferBudgetExceededError,
    MalformedRequestError,
)
from plantaingrade.requests.held_bytes import Account, Side

STATUS_OK = 200
STATUS_HEAD_TOO_LARGE = 431
# Bytes around the name and value of one header.
SEPARATOR_BYTES = 4
# Maximum length of the logged reason for rejecting a report.
MAX_REASON_CHARS = 200
DecodeRequest = Callable[[Request, bytes, float], CallerRequest]
AnswerHeaders = Callable[[bytes], Headers]
DecodeReport = Callable[[Request, bytes], Heartbeat | Farewell | None]


NO_ROOM = NotRun(NotRunReason.NO_BUFFER_BUDGET, DEFAULT_RETRY_AFTER_S)


def log_no_room(
    log: EventLog,
    raw: Request,
    account: Account,
    budget: BufferBudget,
    error: BufferBudgetExceededError,
) -> None:
    """Log a request that the memory of this process has no room for."""
    host, most = budget.held.largest()
    log.write(
        'no-room-for-body',
        why=str(error),
        side=account.side.value,
        account=account.host,
        length=declared_length(raw),
        held=budget.used_bytes,
        limit=budget.limit,
        most=most,
        most_by=host,
    )


def require_sender(
    log: EventLog, channel: Channel, account: Account, caller: CallerRequest
) -> None:
    """Check that whoever sent a request still waits for its answer.

    Raises:
        ChannelClosedError: the sender has left.
    """
    if not channel.is_peer_gone():
        return
    log.write(
        'request-withdrawn',
        id=caller.request_id.decode('ascii', 'replace'),
        side=account.side.value,
        account=account.host,
    )
    raise ChannelClosedError('The sender left before its request was read.')


def send_answer(channel: Channel, answer: Answer) -> None:
    """Send a complete answer."""
    headers = list(answer.headers)
    if answer.status not in BODILESS_STATUSES:
        headers.append((b'content-length', str(len(answer.body)).encode()))
    channel.send(Response(status_code=answer.status, headers=headers))
    if answer.body:
        channel.send(Data(answer.body))
    channel.send(EndOfMessage())


def refuse_malformed(channel: Channel, error: RemoteProtocolError) -> None:
    """Refuse bytes that are not an HTTP request, if an answer can be sent."""
    if channel.closed or channel.http.our_state is not State.IDLE:
        return
    status = error.status
    send_answer(channel, Answer(status, ((b'connection', b'close'),), b''))


class CallerEndpoint:
    """Serves the requests of callers on this instance."""

    __slots__ = (
        '_clock',
        '_coordinator',
        '_decode',
        '_answer_headers',
        '_log',
        'buffer_budget',
        'is_closed',
        'limits',
    )

    def __init__(
        self,
        coordinator: RequestCoordinator,
        decode: DecodeRequest,
        answer_headers: AnswerHeaders,
        clock: Clock,
        budget: BufferBudget,
        log: EventLog,
    ) -> None:
        """Serve requests with a coordinator, within a budget of memory."""
        self.buffer_budget = budget
        self._log = log
        self.is_closed = False
        self._coordinator = coordinator
        self._decode = decode
        self._answer_headers = answer_headers
        self._clock = clock
        self.limits = None

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Serve one request, and wait until its caller has read the answer."""
        account = account_of(Side.CALLERS, channel)
        await self._async_handle(raw, channel, account)
        await self.buffer_budget.async_flush(channel, account)

    async def _async_handle(
        self, raw: Request, channel: Channel, account: Account
    ) -> None:
        arrived = raw.arrived or self._clock.now()
        refused = self._refuse_by_length(raw)
        if refused:
            send_answer(channel, Answer(refused, (), b''))
            return
        limit = None if self.limits is None else self.limits.max_body_bytes
        declared = declared_length(raw)
        try:
            async with self.buffer_budget.read_body(
                channel, limit, account, declared
            ) as body:
                caller = self._decode(raw, body, arrived)
                require_sender(self._log, channel, account, caller)
                await self._async_answer(caller, channel)
        except BodyTooLongError:
            send_answer(channel, Answer(STATUS_TOO_LARGE, (), b''))
        except BufferBudgetExceededError as error:
            log_no_room(self._log, raw, account, self.buffer_budget, error)
            send_answer(channel, _to_answer(NO_ROOM))
        except MalformedRequestError:
            send_answer(channel, Answer(STATUS_BAD_REQUEST, (), b''))

    async def _async_answer(
        self, caller: CallerRequest, channel: Channel
    ) -> None:
        answer = _to_answer(await self._async_serve(caller))
        headers = (*self._answer_headers(caller.request_id), *answer.headers)
        send_answer(channel, Answer(answer.status, headers, answer.body))

    async def _async_serve(self, caller: CallerRequest) -> Outcome | NoRoute:
        if self.is_closed:
            return NotRun(NotRunReason.LEAVING, DEFAULT_RETRY_AFTER_S)
        return await self._coordinator.async_serve(caller)

    def _refuse_by_length(self, raw: Request) -> int:
        """Return the status for a request that is too long, or 0.

        The parser limits only heads that arrive in several pieces.
        """
        if self.limits is None:
            return 0
        pairs = raw.headers
        head = sum(
            len(name) + len(text) + SEPARATOR_BYTES for name, text in pairs
        )
        if head + len(raw.target) > self.limits.max_header_bytes:
            return STATUS_HEAD_TOO_LARGE
        if declared_length(raw) > self.limits.max_body_bytes:
            return STATUS_TOO_LARGE
        return 0


def declared_length(raw: Request) -> int:
    """Return the declared length of a body in bytes, or 0 without one."""
    length = dict(raw.headers).get(b'content-length', b'')
    return int(length) if length.isdigit() else 0


def _to_answer(outcome: Outcome | NoRoute) -> Answer:
    """Return the answer to a caller for an outcome."""
    match outcome:
        case Answered(answer):
            return answer
        case NoRoute():
            return Answer(STATUS_NOT_FOUND, (), b'')
        case NotRun(retry_after_s=after_s):
            after = f'{max(after_s, DEFAULT_RETRY_AFTER_S):.2f}'.encode()
            headers = ((b'retry-after', after),)
            return Answer(STATUS_UNAVAILABLE, headers, b'')
        case Unknown(reason=UnknownReason.TIMEOUT):
            return Answer(STATUS_GATEWAY_TIMEOUT, (), b'')
        case Unknown():
            return Answer(STATUS_BAD_GATEWAY, (), b'')


class ReadinessEndpoint:
    """Reports to the platform whether this process accepts work."""

    __slots__ = ('_is_ready',)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Call ``is_ready`` for each request."""
        self._is_ready = is_ready

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Answer one request."""
        await read_body(channel)
        status = STATUS_OK if self._is_ready() else STATUS_UNAVAILABLE
        send_answer(channel, Answer(status, (), b''))


class MetricsEndpoint:
    """Serves the metrics of this process."""

    __slots__ = ('_to_text',)

    def __init__(self, to_text: Callable[[], bytes]) -> None:
        """Call ``to_text`` for each request."""
        self._to_text = to_text

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Answer one request."""
        await read_body(channel)
        plain = ((b'content-type', b'text/plain; version=0.0.4'),)
        send_answer(channel, Answer(STATUS_OK, plain, self._to_text()))


class ReportEndpoint:
    """Receives heartbeats of the local server."""

    __slots__ = ('_decode', '_log', '_on_report')

    def __init__(
        self,
        decode: DecodeReport,
        on_report: Callable[[Heartbeat | Farewell], bool],
        log: EventLog,
    ) -> None:
        """Pass decoded reports to ``on_report``.

        It returns whether a report was from the local server.
        """
        self._decode = decode
        self._on_report = on_report
        self._log = log

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Receive one report and acknowledge it."""
        body = await read_body(channel)
        try:
            report = self._decode(raw, body)
        except PlantaingradeError as error:
            self._reject(channel, str(error))
            return
        if report is None:
            send_answer(channel, Answer(STATUS_NOT_FOUND, (), b''))
            return
        if not self._on_report(report):
            self._reject(channel, 'The report names another server.')
            return
        json_type = ((b'content-type', b'application/json'),)
        send_answer(channel, Answer(STATUS_OK, json_type, b'{}'))

    def _reject(self, channel: Channel, reason: str) -> None:
        """Log and refuse an invalid report."""
        self._log.write('report-rejected', why=reason[:MAX_REASON_CHARS])
        send_answer(channel, Answer(STATUS_BAD_REQUEST, (), b''))
