"""HTTP endpoints of one process.

They serve callers, peers, the local backend server and the platform.
"""

from collections.abc import Awaitable, Callable

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
)
from plantaingrade.balance.entity import Load
from plantaingrade.clock import Clock
from plantaingrade.errors import PlantaingradeError
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import Channel
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
from plantaingrade.requests.bodies import BufferBudget
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
    RoutedRequest,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.errors import (
    BodyTooLongError,
    BufferBudgetExceededError,
    MalformedRequestError,
)
from plantaingrade.requests.hop import (
    KnownVersions,
    decode_hop,
    decode_leaving,
    encode_leaving,
    encode_load,
    encode_outcome,
)
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.sidecar.server_watch import ServerWatch

STATUS_OK = 200
STATUS_HEAD_TOO_LARGE = 431
# Bytes around the name and value of one header.
SEPARATOR_BYTES = 4
# Maximum length of the logged reason for rejecting a report.
MAX_REASON_CHARS = 200
DecodeRequest = Callable[[Request, bytes, float], CallerRequest]
AnswerHeaders = Callable[[bytes], Headers]
DecodeReport = Callable[[Request, bytes], Heartbeat | Farewell | None]


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
    ) -> None:
        """Serve requests with a coordinator."""
        self.buffer_budget = BufferBudget()
        self.is_closed = False
        self._coordinator = coordinator
        self._decode = decode
        self._answer_headers = answer_headers
        self._clock = clock
        self.limits = None

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Serve one request."""
        arrived = raw.arrived or self._clock.now()
        refused = self._refuse_by_length(raw)
        if refused:
            send_answer(channel, Answer(refused, (), b''))
            return
        limit = None if self.limits is None else self.limits.max_body_bytes
        try:
            async with self.buffer_budget.read_body(channel, limit) as body:
                caller = self._decode(raw, body, arrived)
                await self._async_answer(caller, channel)
        except BodyTooLongError:
            send_answer(channel, Answer(STATUS_TOO_LARGE, (), b''))
        except BufferBudgetExceededError:
            refusal = NotRun(
                NotRunReason.NO_BUFFER_BUDGET, DEFAULT_RETRY_AFTER_S
            )
            send_answer(channel, _to_answer(refusal))
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
        length = dict(pairs).get(b'content-length', b'0')
        if length.isdigit() and int(length) > self.limits.max_body_bytes:
            return STATUS_TOO_LARGE
        return 0


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


class PeerEndpoint:
    """Serves requests of other processes."""

    __slots__ = (
        '_clock',
        '_control',
        '_load',
        '_on_known',
        '_server',
        '_server_watch',
        '_service',
    )

    def __init__(
        self,
        service: str,
        server: ServerPath,
        server_watch: ServerWatch,
        clock: Clock,
        control: Callable[[Request, bytes], Awaitable[Answer]],
        load: Callable[[], Load],
        on_known: Callable[[KnownVersions], None],
    ) -> None:
        """Serve with the local server, and other paths with ``control``.

        Each answer includes ``load``; ``on_known`` is called with the versions
        of configuration and map that a sender uses.
        """
        self._server_watch = server_watch
        self._load = load
        self._on_known = on_known
        self._service = service
        self._server = server
        self._clock = clock
        self._control = control

    async def async_handle(self, raw: Request, channel: Channel) -> None:
        """Serve one request."""
        body = await read_body(channel)
        if raw.target.startswith(b'/-/'):
            send_answer(channel, await self._control(raw, body))
            return
        try:
            routed, known = decode_hop(raw, body, self._clock.now())
        except PlantaingradeError:
            send_answer(channel, Answer(STATUS_BAD_REQUEST, (), b''))
            return
        self._on_known(known)
        told_leaving = decode_leaving(raw.headers)
        if told_leaving is not None:
            self._server_watch.notices.on_peer_notice(told_leaving)
        outcome = await self._async_serve(routed, known.key_map)
        answer = encode_outcome(outcome)
        headers = (
            *answer.headers,
            encode_load(self._load()),
            *encode_leaving(self._server_watch.leaving_incarnation),
        )
        send_answer(channel, Answer(answer.status, headers, answer.body))

    async def _async_serve(
        self, routed: RoutedRequest, map_version: int
    ) -> Outcome:
        """Serve a request if it is for the service of this process.

        The address may have belonged to a process of another service before.
        """
        if routed.service != self._service:
            return NotRun(NotRunReason.OTHER_SERVICE)
        return await self._server.async_serve(routed, map_version)


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
