"""Exchange one request and its answer with the backend server."""

from collections.abc import Callable

from msgspec import Struct

from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.backends.report import ResponseNotice
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.http.channel import Channel, ChannelClosedError
from plantaingrade.http.exchange import read_response, send_request
from plantaingrade.http.messages import Response
from plantaingrade.http.pool import Pool
from plantaingrade.requests.answers import CountedAnswer
from plantaingrade.requests.bodies import BufferBudget
from plantaingrade.requests.const import (
    DEFAULT_RETRY_AFTER_S,
    MAX_IDLE_NON_IDEMPOTENT_S,
    MAX_REFUSED_IDS,
    MAX_SKIPPED_ANSWERS,
)
from plantaingrade.requests.entity import (
    Answer,
    Answered,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    ServerReply,
    Unknown,
    UnknownReason,
)
from plantaingrade.requests.errors import BufferBudgetExceededError

EncodeRequest = Callable[[RoutedRequest, str, float], list]
DecodeReply = Callable[[Response], ServerReply]


class ServerCodec(Struct, frozen=True):
    """Address of the server, and the encoding of its requests and responses."""

    address: str
    encode: EncodeRequest
    decode: DecodeReply


class ServerHooks(Struct, frozen=True):
    """Callbacks of the server path.

    ``is_keyed`` returns whether the server's service is partitioned by key, or
    None while no configuration is known. ``on_unexpected_incarnation`` receives
    an unexpected instance id from a response. ``observe`` receives the key of
    each request, or ``NO_KEY``, and its expected work in seconds. ``on_crash``
    receives the fingerprints of the requests that ran at the server when it
    crashed. ``on_response`` receives what the server says of itself in the
    response to a request.
    """

    is_keyed: Callable[[], bool | None]
    on_unexpected_incarnation: Callable[[str], None]
    observe: Callable[[int, float], None]
    on_crash: Callable[[tuple[str, ...]], None]
    on_response: Callable[[ResponseNotice], None]


class ServerProgress(Struct):
    """How far the exchange of one request with the server has come.

    ``head_at`` is when the head of its answer arrived.
    """

    began: float
    head_at: float | None = None

    def work_s(self, outcome: Outcome, now: float) -> float:
        """Return how long the server worked, in seconds.

        An answer that was cut off says nothing by its body, which may come
        without end.
        """
        if isinstance(outcome, Unknown) and self.head_at is not None:
            return self.head_at - self.began
        return now - self.began


class ServerExchange:
    """Sends requests to the server and reads its answers."""

    __slots__ = (
        '_budget',
        '_clock',
        '_codec',
        '_hooks',
        '_log',
        '_pool',
        '_tracker',
    )

    def __init__(
        self,
        codec: ServerCodec,
        tracker: IncarnationTracker,
        pool: Pool,
        budget: BufferBudget,
        clock: Clock,
        log: EventLog,
        hooks: ServerHooks,
    ) -> None:
        """Use a pool of connections to the server.

        ``budget`` limits the bytes of answers while they are read.
        """
        self._budget = budget
        self._clock = clock
        self._codec = codec
        self._hooks = hooks
        self._log = log
        self._pool = pool
        self._tracker = tracker

    def close_idle(self) -> None:
        """Close the idle connections, which may be dead or lead elsewhere."""
        self._pool.close_idle(self._codec.address)

    async def async_connect(self, routed: RoutedRequest) -> Channel:
        """Return a connection for a request.

        Raises:
            ConnectFailedError: no connection could be opened.
        """
        # A second copy of a refusal has the id of the retry as well, so only
        # on another connection is it not taken for the retry's answer.
        id_hash = hash(routed.caller.request_id)
        return await self._pool.acquire(
            self._codec.address,
            max_idle_s=(
                None if routed.is_idempotent else MAX_IDLE_NON_IDEMPOTENT_S
            ),
            accepts=lambda idle: id_hash not in idle.refused_ids,
        )

    def send(
        self,
        routed: RoutedRequest,
        channel: Channel,
        instance: str,
        left_s: float,
    ) -> None:
        """Send a request that the server has ``left_s`` seconds for.

        Raises:
            ChannelClosedError: nothing was sent.
        """
        caller = routed.caller
        headers = tuple(self._codec.encode(routed, instance, left_s))
        send_request(
            channel, caller.method, caller.target, headers, caller.body
        )

    async def async_read(
        self,
        routed: RoutedRequest,
        channel: Channel,
        instance: str,
        progress: ServerProgress,
    ) -> Outcome:
        """Return the outcome of a request that was sent.

        The connection is kept for reuse, or closed.
        """
        sent_at = self._clock.now()
        wanted = routed.caller.request_id
        reply = None

        def is_own(head: Response) -> bool:  # noqa: WPS430
            # The last head that was decoded belongs to the returned response.
            nonlocal reply  # noqa: WPS420
            reply = self._codec.decode(head)
            is_expected = not reply.request_id or reply.request_id == wanted
            if not is_expected:
                progress.head_at = None
            return is_expected

        async def async_read_body(  # noqa: WPS430
            _: Channel, head: Response
        ) -> bytes:
            progress.head_at = self._clock.now()
            return await answer.async_read(channel, head)

        try:
            with CountedAnswer(self._budget, channel) as answer:
                whole = await read_response(
                    channel, is_own, MAX_SKIPPED_ANSWERS, async_read_body
                )
        except ChannelClosedError:
            channel.abort()
            return Unknown(UnknownReason.BROKEN)
        except BufferBudgetExceededError as error:
            channel.abort()
            self._log_no_room(routed, answer, error)
            return Unknown(UnknownReason.NO_ROOM)
        except BaseException:
            # Closing the connection cancels the request at the server.
            channel.abort()
            raise
        if whole is None or reply is None:
            channel.abort()
            return Unknown(UnknownReason.MISMATCH)
        self._hooks.on_response(
            ResponseNotice(
                instance, wanted, sent_at, not reply.is_not_run, reply.notice
            )
        )
        self._release(channel, reply, wanted)
        return self._to_outcome(reply, whole.body)

    def _release(
        self, channel: Channel, reply: ServerReply, request_id: bytes
    ) -> None:
        """Keep the connection of a complete answer, unless it has to close."""
        if reply.is_not_run:
            channel.refused_ids.add(hash(request_id))
        if reply.closes or len(channel.refused_ids) >= MAX_REFUSED_IDS:
            channel.close()
        else:
            self._pool.release(self._codec.address, channel)

    def _log_no_room(
        self,
        routed: RoutedRequest,
        answer: CountedAnswer,
        error: BufferBudgetExceededError,
    ) -> None:
        self._log.write(
            'no-room-for-answer',
            id=routed.caller.request_id.decode('ascii', 'replace'),
            why=str(error),
            arrived=answer.arrived,
            held=self._budget.used_bytes,
            limit=self._budget.limit,
        )

    def _to_outcome(self, reply: ServerReply, body: bytes) -> Outcome:
        if reply.is_not_run:
            if reply.instance and reply.instance != self._tracker.instance:
                self._hooks.on_unexpected_incarnation(reply.instance)
            self._log.write(
                'server-refused',
                id=reply.request_id.decode('ascii', 'replace'),
                status=reply.status,
                named=reply.instance,
                load=reply.load,
            )
            return NotRun(NotRunReason.SERVER_REFUSED, DEFAULT_RETRY_AFTER_S)
        return Answered(Answer(reply.status, reply.headers, body))
